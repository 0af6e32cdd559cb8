/**
 * Soak at a deployment's size: `npm run soak:size -- --seed N --minutes M`.
 *
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runAtSize } from "./run_at_size.ts";

const MS_PER_MINUTE = 60_000;
/** Requests with a part that crashes replicas that may still reach them. */
const MAX_LATE_POISON = 3;

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number", default: 1 })
  .option("minutes", { type: "number", default: 1 })
  .option("vms", { type: "number", default: 89 })
  .option("replicas", { type: "number", default: 102 })
  .option("at-once", {
    type: "number",
    default: 4,
    describe: "Replicas that leave at the same time",
  })
  .option("gap-ms", {
    type: "number",
    default: 2_000,
    describe: "Time between two groups of leaving replicas",
  })
  .option("deaf-gap-ms", {
    type: "number",
    default: 0,
    describe:
      "Time between two spells of watches that hear nothing; 0 for none",
  })
  .option("deafness", {
    choices: ["asked_revision", "newest_revision", "unanswered"] as const,
    default: "asked_revision" as const,
    describe: "How watches that hear nothing end",
  })
  .option("central-pause", {
    type: "boolean",
    default: true,
    describe:
      "Pause the VMs that watch the store and those that place requests",
  })
  .option("drain-ms", {
    type: "number",
    default: 3_000,
    describe: "Time for which a replica that leaves may get requests",
  })
  .option("requests-per-s", { type: "number", default: 300 })
  .option("fault-gap-ms", {
    type: "number",
    default: 500,
    describe: "Mean time between two faults; 0 for none",
  })
  .option("herd-gap-ms", {
    type: "number",
    default: 0,
    describe: "Time between two herds of VMs that are killed; 0 for none",
  })
  .option("herd-share", { type: "number", default: 0.55 })
  .option("cut-gap-ms", {
    type: "number",
    default: 0,
    describe: "Time between two cuts of all links of some VMs; 0 for none",
  })
  .option("poison-gap-ms", {
    type: "number",
    default: 0,
    describe: "Time between two requests that crash replicas; 0 for none",
  })
  .option("quota-share", {
    type: "number",
    default: 1,
    describe: "Share of its time for which a VM runs",
  })
  .option("busy-loops", { type: "number", default: 0 })
  .strict()
  .parseAsync();

// An explicit exit, so that the exit handlers end the soak's processes.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.on(signal, () => process.exit(1));
}

const report = await runAtSize({
  ...options,
  forMs: options.minutes * MS_PER_MINUTE,
});
process.stdout.write(`${JSON.stringify(report, undefined, 1)}\n`);
process.stdout.write(
  `${report.droppedDatagrams} datagrams dropped by the kernel\n`,
);
const broken = report.late.filter(({ isInTouch }) => isInTouch);
process.stdout.write(
  `${report.late.length} late arrivals, ${broken.length} from VMs in touch; ` +
    `${report.lateVms.length} VMs in touch knew too late, ` +
    `${report.unseen} can't be told for lines left out\n`,
);
for (const cut of report.badCuts) process.stdout.write(`BROKEN ${cut}\n`);
const { takenUp, wentOn, mixed } = report.streams;
process.stdout.write(`${takenUp} streams taken up, ${wentOn} went on\n`);
for (const each of mixed) process.stdout.write(`BROKEN mixed ${each}\n`);
const { poison } = report;
process.stdout.write(
  `${poison.arrivals} requests with a bad part, ${poison.crashes} crashes\n`,
);
const badParts = [
  ...poison.late.slice(MAX_LATE_POISON),
  ...poison.heldSound,
];
for (const each of badParts) process.stdout.write(`BROKEN part ${each}\n`);
const count = badParts.length + broken.length + report.lateVms.length +
  report.badCuts.length +
  mixed.length;
if (count > 0) process.exitCode = 1;
process.exit();
