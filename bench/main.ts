/**
 * `npm run bench`: runs scenarios in virtual time and compares this project's
 * router with a naive one and with itself with one scheduler feature off.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
  ALL_FEATURES,
  type SchedulerFeatures,
} from "../src/process/scheduler/scheduler_features.ts";
import type { RunFigures } from "./figures.ts";
import { renderComparison, renderFigures } from "./report.ts";
import {
  buildNaiveRouter,
  type BuildRouter,
  buildRuntimeRouter,
  runScenario,
} from "./run_scenario.ts";
import { SCENARIOS } from "./scenarios.ts";
import { type User, USERS } from "./support/example_records.ts";

const FEATURES = Object.keys(ALL_FEATURES) as (keyof SchedulerFeatures)[];
const EACH = "each";

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option("scenario", {
      type: "string",
      array: true,
      choices: Object.keys(SCENARIOS),
      default: Object.keys(SCENARIOS),
      describe: "Scenarios to run (default: all)",
    })
    .option("user", {
      type: "string",
      array: true,
      choices: USERS,
      default: USERS,
      describe: "User whose records are run (default: both)",
    })
    .option("seed", { type: "number", default: 1 })
    .option("router", {
      choices: ["both", "ours", "naive"] as const,
      default: "both" as const,
    })
    .option("ablate", {
      type: "string",
      array: true,
      choices: [...FEATURES, EACH],
      default: [] as string[],
      describe: "Scheduler features to turn off, one run for each",
    })
    .option("json", { type: "boolean", default: false })
    .option("save", {
      type: "string",
      describe: "File to which the figures are written",
    })
    .option("against", {
      type: "string",
      describe: "File with saved figures to compare with",
    })
    .strict()
    .parseAsync();
  const routers = listRouters(args.router, args.ablate);
  const figures: RunFigures[] = [];
  for (const scenario of args.scenario) {
    for (const user of args.user as User[]) {
      for (const [router, buildRouter] of routers) {
        const options = { scenario, user, seed: args.seed };
        const one = await runScenario({ ...options, router, buildRouter });
        figures.push(one);
        if (!args.json) process.stdout.write(`${renderFigures(one)}\n`);
      }
    }
  }
  const text = JSON.stringify(figures, null, 2);
  if (args.json) process.stdout.write(`${text}\n`);
  if (args.save !== undefined) writeFileSync(args.save, `${text}\n`);
  if (args.against !== undefined) printComparisons(figures, args.against);
}

function listRouters(
  router: "both" | "ours" | "naive",
  ablate: readonly string[],
): [string, BuildRouter][] {
  const names = ablate.includes(EACH) ? FEATURES : ablate;
  const routers: [string, BuildRouter][] = [];
  if (router !== "naive") routers.push(["ours", buildRuntimeRouter()]);
  if (router !== "ours") routers.push(["naive", buildNaiveRouter]);
  for (const name of names) {
    routers.push([`without ${name}`, buildRuntimeRouter({ [name]: false })]);
  }
  return routers;
}

function printComparisons(
  figures: readonly RunFigures[],
  file: string,
): void {
  const saved = JSON.parse(readFileSync(file, "utf8")) as RunFigures[];
  for (const one of figures) {
    const before = saved.find((other) =>
      other.scenario === one.scenario && other.user === one.user &&
      other.router === one.router
    );
    if (before === undefined) continue;
    process.stdout.write(`${renderComparison(before, one)}\n`);
  }
}

await main();
