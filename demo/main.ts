/**
 * `npm run demo`: runs a whole fleet on loopback under a short mixed load.
 * Exits with 0 only if every request is accounted for, no guarantee was
 * violated and no process is left.
 *
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runUserDemo } from "./user_demo.ts";
import { listUsers } from "./workload.ts";

const ALL_USERS = "both";
const DEFAULT_SECONDS = 8;
const MAX_SECONDS = 300;
const MAX_FAULTS = 20;
// This file is dist/demo/main.js once compiled.
const ROOT = fileURLToPath(new URL("../..", import.meta.url));

async function main(): Promise<number> {
  const args = await yargs(hideBin(process.argv))
    .scriptName("npm run demo --")
    .option("user", {
      choices: [...listUsers(), ALL_USERS],
      default: ALL_USERS,
      describe: "User whose records and load are run",
    })
    .option("seconds", {
      type: "number",
      default: DEFAULT_SECONDS,
      describe: "Duration of each user's load in seconds",
    })
    .option("kill", {
      type: "boolean",
      default: false,
      describe: "Kill one entry VM halfway through the load",
    })
    .option("keep", {
      type: "boolean",
      default: false,
      describe: "Keep the settings and logs after the run",
    })
    .strict()
    .parseAsync();
  const directory = mkdtempSync(join(tmpdir(), "persimmonslip-demo-"));
  const users = args.user === ALL_USERS ? listUsers() : [args.user];
  const faults: string[] = [];
  for (const user of users) {
    faults.push(
      ...await runUserDemo({
        user,
        seconds: Math.min(MAX_SECONDS, Math.max(1, args.seconds)),
        kill: args.kill,
        root: ROOT,
        directory: join(directory, user),
        print,
      }),
    );
    print("");
  }
  for (const fault of faults.slice(0, MAX_FAULTS)) print(`FAULT ${fault}`);
  if (args.keep || faults.length > 0) {
    print(`Settings and logs are in ${directory}`);
  } else {
    rmSync(directory, { recursive: true });
  }
  print(
    faults.length === 0
      ? "Every request is accounted for and no process is left"
      : `${faults.length} faults`,
  );
  return faults.length === 0 ? 0 : 1;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

// Without this, Ctrl-C would not run the exit handlers that kill the children.
process.once("SIGINT", () => process.exit(130));
process.once("SIGTERM", () => process.exit(143));
process.exitCode = await main();
