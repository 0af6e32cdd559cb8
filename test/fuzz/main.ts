/**
 * Long fuzz runs: `npm run fuzz -- --seed N --runs N`.
 *
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { checkFleet, PROFILES } from "./fleet_property.ts";

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number", default: 1 })
  .option("runs", { type: "number", default: 500 })
  .option("profile", { choices: Object.keys(PROFILES), default: "all" })
  .option("shrink-ms", { type: "number", default: 60_000 })
  .option("path", {
    type: "string",
    describe: "Path of one failing run to repeat",
  })
  .strict()
  .parseAsync();
const startedAt = Date.now();
const { seed, runs, profile, path, shrinkMs } = options;
const report = await checkFleet({ seed, runs, profile, path, shrinkMs });
const seconds = (Date.now() - startedAt) / 1_000;
process.stdout.write(`${report.text}\n`);
process.stdout.write(
  `${report.runs} runs in ${seconds.toFixed(1)} s, ` +
    `${(report.runs / seconds).toFixed(1)} runs a second\n`,
);
process.stdout.write(`Covered: ${JSON.stringify(report.covered)}\n`);
process.exitCode = report.isBroken ? 1 : 0;
