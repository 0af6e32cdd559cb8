/**
 * Measures the copying of cached prefixes for both users, prints the table and
 * saves the figures.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { USERS } from "../support/example_records.ts";
import {
  type CopyCost,
  type HandOverFigures,
  type HandOverOptions,
  type HandOverTo,
  runHandOver,
} from "./cache_handover.ts";
import { MIN_SHARED_TOKENS } from "./shared_prompts.ts";

/**
 * Cache bytes per token: 32 layers of 8 key and 8 value heads of 128 values of
 * 2 bytes.
 */
const SMALL_MODEL_BYTES = 32 * (8 + 8) * 128 * 2;
/** Cache bytes per token with 80 layers. */
const LARGE_MODEL_BYTES = 80 * (8 + 8) * 128 * 2;
/** 10 Gbit/s between upstreams. */
const WIRE_BYTES_PER_MS = 1_250_000;
/** 100 Gbit/s from memory to the device. */
const DEVICE_BYTES_PER_MS = 12_500_000;
const FREE: CopyCost = { transferMs: 0, stallMs: 0 };
/** Just below the length that the prefix hashes of one prompt cover. */
const LONG_SHARED_TOKENS = 3_840;
const USUAL_PREFILL_MS = 0.05;
const SLOW_PREFILL_MS = 0.2;

interface Case {
  name: string;
  /** Size of the cache per prompt token. */
  bytesPerToken: number;
  engines: Pick<
    HandOverOptions,
    "sharedTokens" | "prefillMsPerToken" | "load"
  >;
}

const CASES: Case[] = [
  {
    name: "usual",
    bytesPerToken: SMALL_MODEL_BYTES,
    engines: {
      sharedTokens: MIN_SHARED_TOKENS,
      prefillMsPerToken: USUAL_PREFILL_MS,
      load: 0.5,
    },
  },
  {
    name: "long_prompts",
    bytesPerToken: SMALL_MODEL_BYTES,
    engines: {
      sharedTokens: LONG_SHARED_TOKENS,
      prefillMsPerToken: USUAL_PREFILL_MS,
      load: 0.5,
    },
  },
  {
    name: "slow_prefill",
    bytesPerToken: LARGE_MODEL_BYTES,
    engines: {
      sharedTokens: LONG_SHARED_TOKENS,
      prefillMsPerToken: SLOW_PREFILL_MS,
      load: 0.25,
    },
  },
];
const COPIES: { handOverTo: HandOverTo; isFree: boolean }[] = [
  { handOverTo: "none", isFree: true },
  { handOverTo: "one", isFree: true },
  { handOverTo: "all", isFree: true },
  { handOverTo: "one", isFree: false },
  { handOverTo: "all", isFree: false },
];
const HEAD = [
  "user",
  "shared",
  "prefill, ms/token",
  "load",
  "copied to",
  "tokens copied",
  "MB copied",
  "tokens prefilled",
  "first token, mean",
  "p99, worst seed",
  "met",
];
const BYTES_PER_MB = 1_000_000;

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option("seed", { type: "number", array: true, default: [1, 2, 3] })
    .option("case", {
      type: "string",
      array: true,
      choices: CASES.map(({ name }) => name),
      default: CASES.map(({ name }) => name),
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
  const runs: HandOverFigures[] = [];
  writeRow(HEAD);
  writeRow(HEAD.map(() => "---"));
  for (const user of USERS) {
    for (const one of CASES) {
      if (!args.case.includes(one.name)) continue;
      for (const { handOverTo, isFree } of COPIES) {
        const cost = isFree ? FREE : buildCost(one.bytesPerToken);
        const group: HandOverFigures[] = [];
        for (const seed of args.seed) {
          const options = { ...one.engines, handOverTo, cost, user, seed };
          group.push(await runHandOver(options));
        }
        runs.push(...group);
        writeRow(buildRow(group, one.bytesPerToken));
      }
    }
  }
  if (args.save === undefined) return;
  const command = ["npx tsx bench/experiments/cache_handover_main.ts"]
    .concat(hideBin(process.argv)).join(" ");
  const saved = { command, commit: args.commit, seeds: args.seed, runs };
  writeFileSync(args.save, `${JSON.stringify(saved, null, 2)}\n`);
}

function buildCost(bytesPerToken: number): CopyCost {
  return {
    transferMs: bytesPerToken / WIRE_BYTES_PER_MS,
    stallMs: bytesPerToken / DEVICE_BYTES_PER_MS,
  };
}

function buildRow(
  group: readonly HandOverFigures[],
  bytesPerToken: number,
): string[] {
  const { options } = group[0]!;
  const { handOverTo, cost } = options;
  const sum = (get: (run: HandOverFigures) => number) =>
    group.reduce((total, run) => total + get(run), 0);
  const copied = sum((run) => run.copiedTokens);
  const offered = sum((run) => run.window.offered);
  const worst = Math.max(...group.map((run) => run.window.firstTokenP99Ms));
  const mean = sum((run) => run.window.firstTokenMeanMs) / group.length;
  return [
    options.user,
    String(options.sharedTokens),
    String(options.prefillMsPerToken),
    String(options.load),
    cost === FREE ? handOverTo : `${handOverTo}, at a cost`,
    String(copied),
    String(Math.round(copied * bytesPerToken / BYTES_PER_MB)),
    String(sum((run) => run.window.prefillTokens)),
    `${mean.toFixed(1)} ms`,
    `${Math.round(worst)} ms`,
    `${sum((run) => run.window.met)} of ${offered}`,
  ];
}

function writeRow(cells: readonly string[]): void {
  process.stdout.write(`| ${cells.join(" | ")} |\n`);
}

await main();
