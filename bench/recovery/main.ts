/**
 * `npm run recovery`: measures how fast eight real daemons detect failures,
 * take over and restart. Prints a table or, with `--json`, JSON; `--save FILE`
 * writes the JSON to `bench/results/`.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import { basename, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { buildDaemon } from "../../test/support/daemon_build.ts";
import { setProgram } from "./bench_fleet.ts";
import { runCallers } from "./callers.ts";
import { runChanges } from "./changes.ts";
import { runCosts } from "./costs.ts";
import { runLeaving } from "./leaving.ts";
import { runLosses } from "./losses.ts";
import { type RecoveryFigures, renderFigures } from "./report.ts";
import { runRestarts } from "./restarts.ts";

const RESULTS = fileURLToPath(new URL("../results", import.meta.url));
const PARTS = [
  "changes",
  "losses",
  "leaving",
  "callers",
  "restarts",
  "costs",
] as const;
type Part = typeof PARTS[number];

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName("npm run recovery --")
    .option("only", {
      choices: PARTS,
      array: true,
      default: [...PARTS],
      describe: "Measurements to run",
    })
    .option("changes", {
      type: "number",
      default: 200,
      describe:
        "Number of configurations published in each state of the service",
    })
    .option("trials", {
      type: "number",
      default: 10,
      describe: "Number of VM losses, and of leaving engines of each kind",
    })
    .option("restarts", {
      type: "number",
      default: 3,
      describe: "Number of restarts of each kind",
    })
    .option("json", { type: "boolean", default: false, describe: "Print JSON" })
    .option("save", {
      type: "string",
      describe: "File in bench/results/ to which the JSON is also written",
    })
    .strict()
    .parseAsync();
  const build = await buildDaemon();
  setProgram(build.program);
  const figures: RecoveryFigures = { loadAverage: { before: loadavg()[0]! } };
  try {
    const has = (part: Part) => args.only.includes(part);
    if (has("changes")) figures.changes = await runChanges(args.changes);
    if (has("losses")) figures.losses = await runLosses(args.trials);
    if (has("leaving")) figures.leaving = await runLeaving(args.trials);
    if (has("callers")) figures.callers = await runCallers();
    if (has("restarts")) figures.restarts = await runRestarts(args.restarts);
    if (has("costs")) figures.costs = await runCosts();
    figures.loadAverage.after = loadavg()[0]!;
  } finally {
    build.remove();
  }
  const json = JSON.stringify(figures, undefined, 2);
  process.stdout.write(`${args.json ? json : renderFigures(figures)}\n`);
  if (args.save === undefined) return;
  mkdirSync(RESULTS, { recursive: true });
  writeFileSync(join(RESULTS, basename(args.save)), `${json}\n`);
}

await main();
