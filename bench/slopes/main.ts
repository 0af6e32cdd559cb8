/**
 * Measures the cost of each role at several sizes with
 * `npm run slopes -- --save bench/results/slopes.json`. Writes the tables of
 * docs/CAPACITY.md from the saved figures with `npm run slopes -- --page`.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import os from "node:os";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { renderPage } from "./capacity_page.ts";
import { collectConfigurationSlopes } from "./configuration_slopes.ts";
import { collectFleetSlopes } from "./fleet_slopes.ts";
import { collectLimitSlopes } from "./limit_slopes.ts";
import { collectCommandSlopes } from "./command_slopes.ts";
import { collectOwnershipSlopes } from "./ownership_slopes.ts";
import { collectPeerSlopes } from "./peer_slopes.ts";
import { collectShardSlopes } from "./shard_slopes.ts";
import type { Slope } from "./slope.ts";
import type { SlopeFile } from "./slope_file.ts";
import { collectStoreSlopes } from "./store_slopes.ts";
import { collectStreamSlopes } from "./stream_slopes.ts";

const COMMAND = "npm run slopes -- --save bench/results/slopes.json";
const FILE = "bench/results/slopes.json";
const PAGE = "docs/CAPACITY.md";
/** Seed of the virtual fleets, the only use of randomness. */
const SEED = 1;

const ROLES: Record<string, () => Promise<Slope[]>> = {
  peer: collectPeerSlopes,
  ownership: collectOwnershipSlopes,
  shard: collectShardSlopes,
  limit: collectLimitSlopes,
  configuration: collectConfigurationSlopes,
  store: collectStoreSlopes,
  order: collectCommandSlopes,
  stream: collectStreamSlopes,
};

await main();

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option("save", {
      type: "string",
      describe: "File to which the figures are written",
    })
    .option("page", {
      type: "boolean",
      describe: `Write ${PAGE} from the saved figures`,
    })
    .strict()
    .parseAsync();
  if (args.page === true) {
    const file = JSON.parse(readFileSync(FILE, "utf8")) as SlopeFile;
    writeFileSync(PAGE, renderPage(readFileSync(PAGE, "utf8"), file));
    return;
  }
  const file = await collectFile();
  const text = JSON.stringify(file, undefined, 1);
  if (args.save !== undefined) writeFileSync(args.save, `${text}\n`);
}

async function collectFile(): Promise<SlopeFile> {
  const commit = execFileSync("git", ["rev-parse", "--short", "HEAD"])
    .toString().trim();
  const slopes: Slope[] = [];
  for (const [role, collect] of Object.entries(ROLES)) {
    process.stdout.write(`${role}\n`);
    const found = await collect();
    for (const slope of found) process.stdout.write(formatSlope(slope));
    slopes.push(...found);
  }
  process.stdout.write("fleet\n");
  const fleet = await collectFleetSlopes();
  for (const slope of fleet.slopes) process.stdout.write(formatSlope(slope));
  return {
    command: COMMAND,
    seed: SEED,
    commit,
    node: process.version,
    cores: os.cpus().length,
    slopes: [...slopes, ...fleet.slopes],
    checks: fleet.checks,
  };
}

function formatSlope(slope: Slope): string {
  const { name, start, residual, unit, size } = slope;
  const line = `${start.toPrecision(4)} + ${slope.slope.toPrecision(4)} a size`;
  return `  ${name}: ${line}, off by ${(residual * 100).toFixed(1)}%` +
    ` (${unit}; size: ${size})\n`;
}
