/**
 * Which files hold tests, and how long one may take.
 *
 * @module
 */
import { defineConfig } from "vitest/config";

const TEST_TIMEOUT_MS = 60_000;

// Vitest reads its settings from a default export and nothing else.
export default defineConfig({
  test: {
    include: ["test/**/*_test.ts"],
    testTimeout: TEST_TIMEOUT_MS,
    hookTimeout: TEST_TIMEOUT_MS,
    // Other work may share the machine.
    maxWorkers: 4,
  },
});
