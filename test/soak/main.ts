/**
 * Randomized soak tests of the daemon: `npm run soak -- --seed N --minutes M`.
 *
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runSoak } from "./run_soak.ts";

const MS_PER_MINUTE = 60_000;
const LARGEST_SEED = 1_000_000;

const options = await yargs(hideBin(process.argv))
  .option("seed", {
    type: "number",
    describe: "Seed of the first soak; random by default",
  })
  .option("seeds", {
    type: "number",
    default: 1,
    describe: "Number of consecutive seeds",
  })
  .option("minutes", {
    type: "number",
    default: 1,
    describe: "Duration for each seed",
  })
  .option("vms", { type: "number", default: 4 })
  .option("replicas", { type: "number", default: 3 })
  .option("callers", { type: "number", default: 12 })
  .option("whole-logs", {
    type: "boolean",
    default: false,
    describe: "Print the whole logs of the VMs if a check fails",
  })
  .strict()
  .parseAsync();

// An explicit exit, so that the exit handlers end the soak's processes.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.on(signal, () => process.exit(1));
}

const first = options.seed ?? Math.floor(Math.random() * LARGEST_SEED);
for (let seed = first; seed < first + options.seeds; seed++) {
  const { vms, replicas, callers, minutes, wholeLogs: hasWholeLogs } = options;
  const forMs = minutes * MS_PER_MINUTE;
  const report = await runSoak({
    seed,
    forMs,
    vms,
    replicas,
    callers,
    hasWholeLogs,
  });
  const { broken, logs, ...figures } = report;
  process.stdout.write(`${JSON.stringify({ seed, ...figures })}\n`);
  for (const each of broken) {
    process.stdout.write(`BROKEN seed ${seed}: ${JSON.stringify(each)}\n`);
  }
  if (broken.length === 0) continue;
  process.stdout.write(`${logs}\n`);
  process.exitCode = 1;
}
