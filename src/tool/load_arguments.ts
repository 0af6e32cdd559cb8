/**
 * The options of `persimmonslip load`.
 *
 * @module
 */
import type { Argv } from "yargs";
import {
  type CallerArguments,
  findCallersUrl,
  readAuthority,
} from "./arguments.ts";
import { readSnapshot } from "./check_command.ts";
import { LOAD_CAPS, runLoad } from "./load_command.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import { EXIT_USAGE, ToolError } from "./tool_error.ts";

const MS_PER_SECOND = 1_000;

/** The options as yargs gives them. */
export interface LoadArguments extends CallerArguments {
  key?: string | undefined;
  class: string[];
  model: string;
  rate: number;
  seconds: number;
  concurrency: number;
  "max-tokens": number;
  "prompt-words": number;
  "silence-seconds": number;
  records?: string | undefined;
}

/** Adds the options of a load. */
export function withLoadOptions<T>(builder: Argv<T>) {
  return builder
    .option("key", {
      type: "string",
      describe: "Key of a workspace (PERSIMMONSLIP_KEY)",
    })
    .option("class", {
      type: "string",
      array: true,
      demandOption: true,
      describe: "Request class; several take turns",
    })
    .option("model", { type: "string", demandOption: true })
    .option("rate", {
      type: "number",
      default: 5,
      describe: `Requests a second, at most ${LOAD_CAPS.rate}`,
    })
    .option("seconds", {
      type: "number",
      default: 10,
      describe: `How long, at most ${LOAD_CAPS.seconds}`,
    })
    .option("concurrency", {
      type: "number",
      default: 100,
      describe: `Open requests, at most ${LOAD_CAPS.concurrency}`,
    })
    .option("max-tokens", { type: "number", default: 100 })
    .option("prompt-words", { type: "number", default: 50 })
    .option("silence-seconds", {
      type: "number",
      default: 60,
      describe: "Silence after which a request counts as broken",
    })
    .option("records", {
      type: "string",
      describe: "Directory of records that hold the classes' targets",
    });
}

/** Checks the options and runs the load. Rejects with a `ToolError`. */
export async function runLoadCommand(
  context: ToolContext,
  given: LoadArguments,
): Promise<ToolResult> {
  checkCap("rate", given.rate, LOAD_CAPS.rate);
  checkCap("seconds", given.seconds, LOAD_CAPS.seconds);
  checkCap("concurrency", given.concurrency, LOAD_CAPS.concurrency);
  checkCap("max-tokens", given["max-tokens"], Infinity);
  checkCap("prompt-words", given["prompt-words"], Infinity);
  checkCap("silence-seconds", given["silence-seconds"], Infinity);
  const key = given.key ?? context.variables.PERSIMMONSLIP_KEY;
  if (key === undefined || key === "") {
    throw new ToolError("No workspace key is given", {
      exitCode: EXIT_USAGE,
      step: "read_arguments",
      hint: "Set PERSIMMONSLIP_KEY, or give --key KEY",
    });
  }
  return await runLoad(context, {
    url: findCallersUrl(context, given),
    key,
    classes: given.class,
    model: given.model,
    rate: given.rate,
    seconds: given.seconds,
    concurrency: given.concurrency,
    maxTokens: given["max-tokens"],
    promptWords: given["prompt-words"],
    silenceMs: given["silence-seconds"] * MS_PER_SECOND,
    ca: readAuthority(given.ca),
    records: given.records === undefined
      ? undefined
      : await readSnapshot(given.records),
  });
}

function checkCap(option: string, value: number, cap: number): void {
  if (value > 0 && value <= cap) return;
  const bound = cap === Infinity ? "above 0" : `above 0 and at most ${cap}`;
  throw new ToolError(`--${option} must be a number ${bound}`, {
    exitCode: EXIT_USAGE,
    step: "read_arguments",
  });
}
