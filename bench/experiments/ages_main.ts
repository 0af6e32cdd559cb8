/**
 * Runs the comparison of ages and clock times for one user, prints the table
 * and saves the figures.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type User, USERS } from "../support/example_records.ts";
import {
  type AgesFigures,
  type AgesOptions,
  type DelayRange,
  type OrderMode,
  runAges,
} from "./ages.ts";
import { renderAges } from "./ages_table.ts";

const NEAR: DelayRange = { fromMs: 0.5, toMs: 0.5 };
const FAR: DelayRange = { fromMs: 50, toMs: 50 };
const MIXED: DelayRange = { fromMs: 0.2, toMs: 50 };

const VARIANTS: Pick<AgesOptions, "delay" | "form">[] = [
  { delay: NEAR, form: "ages" },
  { delay: NEAR, form: 0 },
  { delay: NEAR, form: 100 },
  { delay: NEAR, form: 1_000 },
  { delay: NEAR, form: 10_000 },
  { delay: MIXED, form: "ages" },
  { delay: MIXED, form: 0 },
  { delay: MIXED, form: 100 },
  { delay: FAR, form: "ages" },
  { delay: FAR, form: 0 },
];
const MODES: OrderMode[] = ["first_come", "production"];

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option("user", { choices: USERS, demandOption: true })
    .option("seed", { type: "number", array: true, default: [1, 2, 3] })
    .option("mode", {
      type: "string",
      array: true,
      choices: MODES,
      default: MODES,
    })
    .option("offset", {
      type: "number",
      array: true,
      describe:
        "Run only clock times with these offsets in ms, between near VMs",
    })
    .option("commit", {
      type: "string",
      default: "",
      describe: "Commit under measurement, stored with the figures",
    })
    .option("save", {
      type: "string",
      describe: "File to which the figures are written",
    })
    .strict()
    .parseAsync();
  const variants = args.offset === undefined
    ? VARIANTS
    : args.offset.map((form) => ({ delay: NEAR, form }));
  const runs: AgesFigures[] = [];
  for (const mode of args.mode as OrderMode[]) {
    for (const variant of variants) {
      for (const seed of args.seed) {
        const user = args.user as User;
        runs.push(await runAges({ ...variant, user, mode, seed }));
      }
    }
  }
  const command = ["npx tsx bench/experiments/ages_main.ts"]
    .concat(hideBin(process.argv)).join(" ");
  process.stdout.write(renderAges(runs));
  if (args.save === undefined) return;
  const saved = { command, commit: args.commit, seeds: args.seed, runs };
  writeFileSync(args.save, `${JSON.stringify(saved, null, 2)}\n`);
}

await main();
