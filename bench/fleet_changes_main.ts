/**
 * Prints how long changes take to propagate, one line of JSON per measure and
 * fleet size.
 *
 * @module
 */
import {
  collectDrainTimes,
  collectFalseDeaths,
  collectLeavingTimes,
  collectOwnerLostTimes,
  collectRestartTimes,
  collectSilenceTimes,
  collectVersionTimes,
} from "./fleet_changes.ts";

const SEED = 1;
const VERSIONS = 200;
const RUNS = 50;
const SIZES = [8, 32];
const LOSS_RATES = [0, 0.01, 0.05, 0.1, 0.2, 0.3];
const LOSS_RUN_MS = 600_000;

for (const vms of SIZES) {
  const options = { vms, runs: RUNS, seed: SEED };
  const versions = { vms, runs: VERSIONS, seed: SEED };
  writeLine(
    "version in force everywhere",
    vms,
    await collectVersionTimes(versions),
  );
  writeLine(
    "the same, two VMs reach the service",
    vms,
    await collectVersionTimes({ ...versions, readers: 2 }),
  );
  writeLine(
    "owner lost, another everywhere",
    vms,
    await collectOwnerLostTimes(options),
  );
  writeLine(
    "silent VM dead everywhere",
    vms,
    await collectSilenceTimes(options),
  );
  writeLine("drain known everywhere", vms, await collectDrainTimes(options));
  writeLine(
    "upstream left out everywhere",
    vms,
    await collectLeavingTimes(options),
  );
  writeLine(
    "restarted VM ready, service down",
    vms,
    await collectRestartTimes(options),
  );
}
for (const lossRate of LOSS_RATES) {
  const figures = await collectFalseDeaths({
    vms: 8,
    seed: SEED,
    lossRate,
    ms: LOSS_RUN_MS,
  });
  writeLine("false deaths", 8, { lossRate, ...figures });
}

function writeLine(measure: string, vms: number, figures: object): void {
  const line = JSON.stringify({ measure, vms, ...figures });
  process.stdout.write(`${line}\n`);
}
