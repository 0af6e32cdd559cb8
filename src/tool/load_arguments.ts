/**
 * The options of `persimmonslip load`.
 *
 * @module
 */
import type { Argv } from "yargs";
import {
  type CallerArguments,
  findCallersUrl,
  readCaCertificate,
} from "./arguments.ts";
import { readSnapshot } from "./check_command.ts";
import { LOAD_CAPS, runLoad } from "./load_command.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import { EXIT_USAGE, ToolError } from "./tool_error.ts";

const MS_PER_SECOND = 1_000;

/** Parsed options of yargs. */
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

/** Adds the options of `persimmonslip load`. */
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
      describe: "Request class; several are used in rotation",
    })
    .option("model", { type: "string", demandOption: true })
    .option("rate", {
      type: "number",
      default: 5,
      describe: `Requests per second, at most ${LOAD_CAPS.rate}`,
    })
    .option("seconds", {
      type: "number",
      default: 10,
      describe: `Duration in seconds, at most ${LOAD_CAPS.seconds}`,
    })
    .option("concurrency", {
      type: "number",
      default: 100,
      describe: `Concurrent requests, at most ${LOAD_CAPS.concurrency}`,
    })
    .option("max-tokens", { type: "number", default: 100 })
    .option("prompt-words", { type: "number", default: 50 })
    .option("silence-seconds", {
      type: "number",
      default: 60,
      describe: "Seconds of silence after which a request counts as broken",
    })
    .option("records", {
      type: "string",
      describe: "Directory of records with the targets of the classes",
    });
}

/** Checks the options and runs the load. Rejects with a `ToolError`. */
export async function runLoadCommand(
  context: ToolContext,
  args: LoadArguments,
): Promise<ToolResult> {
  checkCap("rate", args.rate, LOAD_CAPS.rate);
  checkCap("seconds", args.seconds, LOAD_CAPS.seconds);
  checkCap("concurrency", args.concurrency, LOAD_CAPS.concurrency);
  checkCap("max-tokens", args["max-tokens"], Infinity);
  checkCap("prompt-words", args["prompt-words"], Infinity);
  checkCap("silence-seconds", args["silence-seconds"], Infinity);
  const key = args.key ?? context.variables.PERSIMMONSLIP_KEY;
  if (key === undefined || key === "") {
    throw new ToolError("Workspace key is missing", {
      exitCode: EXIT_USAGE,
      step: "read_arguments",
      hint: "Set PERSIMMONSLIP_KEY or use --key KEY",
    });
  }
  return await runLoad(context, {
    url: findCallersUrl(context, args),
    key,
    classes: args.class,
    model: args.model,
    rate: args.rate,
    seconds: args.seconds,
    concurrency: args.concurrency,
    maxTokens: args["max-tokens"],
    promptWords: args["prompt-words"],
    idleTimeoutMs: args["silence-seconds"] * MS_PER_SECOND,
    ca: readCaCertificate(args.ca),
    records: args.records === undefined
      ? undefined
      : await readSnapshot(args.records),
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
