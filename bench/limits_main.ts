/**
 * Prints the figures of the workspace limits. Run with `--expose-gc` for exact
 * heap figures.
 *
 * @module
 */
import {
  LIMIT_SCENARIOS,
  runLimitScenario,
  runManyWorkspaces,
} from "./limits.ts";

const SEED = 1;

for (const requestsPerMinute of [1_200, 60, 6]) {
  for (const scenario of LIMIT_SCENARIOS) {
    const figures = await runLimitScenario(scenario, {
      seed: SEED,
      requestsPerMinute,
    });
    writeLine({ requestsPerMinute, ...figures });
  }
}
writeLine(await runManyWorkspaces(SEED));

function writeLine(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
