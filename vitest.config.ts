/**
 * Test files and time limits.
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

// Vitest reads its configuration only from the default export.
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
          // Limited, because the machine may be shared.
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
          // Each test starts several daemons. Their files run one at a time,
          // after all others, so that load does not delay the daemons' timers.
          maxWorkers: 1,
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
