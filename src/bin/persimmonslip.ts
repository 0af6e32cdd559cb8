#!/usr/bin/env node
/**
 * Entry point of the command-line tool.
 *
 * @module
 */
import process from "node:process";
import { SystemClock } from "../process/clock.ts";
import { SystemRandom } from "../process/random.ts";
import { ProcessTerminal, runTool } from "../tool/index.ts";

process.exitCode = await runTool(process.argv.slice(2), {
  terminal: ProcessTerminal.create(),
  clock: SystemClock.create(),
  random: SystemRandom.create(),
  variables: process.env,
});
