/**
 * Which files hold tests, and how long one may take.
 *
 * @module
 */
import { defineConfig } from "vitest/config";

const TEST_TIMEOUT_MS = 60_000;
const PROCESS_TIMEOUT_MS = 120_000;
const PROCESS_TESTS = [
  "test/failures/processes/*_test.ts",
  "test/soak/soak_test.ts",
];

// Vitest reads its settings from a default export and nothing else.
export default defineConfig({
  test: {
    testTimeout: TEST_TIMEOUT_MS,
    hookTimeout: TEST_TIMEOUT_MS,
    projects: [
      {
        extends: true,
        test: {
          name: "modules",
          include: ["test/**/*_test.ts"],
          exclude: PROCESS_TESTS,
          // Other work may share the machine.
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: "processes",
          include: PROCESS_TESTS,
          globalSetup: "test/support/daemon_build_setup.ts",
          testTimeout: PROCESS_TIMEOUT_MS,
          hookTimeout: PROCESS_TIMEOUT_MS,
          // Each test starts several daemons: one file at a time, after the
          // others, so that their timers run on a calm machine.
          maxWorkers: 1,
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
