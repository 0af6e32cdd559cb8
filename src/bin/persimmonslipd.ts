#!/usr/bin/env node
/**
 * Entry point of the daemon that runs on every entry VM.
 *
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { toError } from "../errors.ts";
import { Daemon } from "../process/daemon.ts";
import { readPackageVersion } from "../process/package_version.ts";
import { readSettings } from "../process/settings.ts";

const EXIT_FAILED = 1;

await runDaemon();

async function runDaemon(): Promise<void> {
  const { settings } = await yargs(hideBin(process.argv))
    .scriptName("persimmonslipd")
    .usage("$0 --settings FILE")
    .version(readPackageVersion())
    .option("settings", {
      type: "string",
      demandOption: true,
      describe: "JSON file with the daemon's settings",
    })
    .strict()
    .parseAsync();
  try {
    const daemon = Daemon.create(
      readSettings(settings),
      () => process.exit(0),
    );
    onSignals(daemon);
    await daemon.start();
  } catch (thrown) {
    process.stderr.write(`persimmonslipd: ${toError(thrown).message}\n`);
    process.exit(EXIT_FAILED);
  }
}

/** The first SIGTERM or SIGINT drains, a second exits; SIGHUP reloads TLS. */
function onSignals(daemon: Daemon): void {
  let isEnding = false;
  const end = () => {
    if (isEnding) process.exit(EXIT_FAILED);
    isEnding = true;
    void daemon.drain();
  };
  process.on("SIGTERM", end);
  process.on("SIGINT", end);
  process.on("SIGHUP", () => daemon.updateTls());
}
