/**
 * The command line of `persimmonslip`.
 *
 * @module
 */
import yargs, { type Argv } from "yargs";
import { readPackageVersion } from "../process/package_version.ts";
import { createCallerClient, createOperatorClient } from "./arguments.ts";
import { runBurn } from "./burn_command.ts";
import { readSnapshot, runCheck, runDiff } from "./check_command.ts";
import {
  runDrain,
  runEntries,
  runFate,
  runStatus,
  runVersions,
} from "./fleet_commands.ts";
import { runLoadCommand, withLoadOptions } from "./load_arguments.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import { EXIT_USAGE, ToolError } from "./tool_error.ts";

const HELP_WIDTH = 80;

/** Receives the result of a command. */
export type ResultHandler = (result: ToolResult) => void;

/** Builds the parser; each command that runs calls `onResult` once. */
export function buildCommandLine(
  context: ToolContext,
  onResult: ResultHandler,
): Argv {
  const parser = yargs()
    .scriptName("persimmonslip")
    .usage("$0 COMMAND\n\nOperates and examines a fleet of persimmonslipd.")
    .version(readPackageVersion())
    .wrap(HELP_WIDTH)
    .exitProcess(false)
    .strict()
    .demandCommand(1, 1, "Name a command")
    .recommendCommands()
    .option("json", {
      type: "boolean",
      default: false,
      describe: "Print JSON instead of text",
    })
    .option("debug", {
      type: "boolean",
      default: false,
      describe: "Print the stack trace of an error",
    })
    .completion("completion", "Print a completion script for bash or zsh")
    .epilogue(
      "Exit codes: 0 success; 1 a fault or difference was found, or the " +
        "request is unknown; 2 invalid command line; 3 a file cannot be " +
        "read or written; 4 a VM is unreachable or refused the call.",
    )
    .fail((message, error) => {
      throw error ?? new ToolError(message, {
        exitCode: EXIT_USAGE,
        step: "read_arguments",
        hint: "See persimmonslip --help",
      });
    });
  addOfflineCommands(parser, { context, onResult });
  addOperatorCommands(parser, { context, onResult });
  addBurnCommand(parser, { context, onResult });
  addFateCommand(parser, { context, onResult });
  addCallerCommands(parser, { context, onResult });
  return parser;
}

interface CommandOptions {
  context: ToolContext;
  onResult: ResultHandler;
}

function addOfflineCommands(parser: Argv, options: CommandOptions): void {
  const { context, onResult } = options;
  parser.command(
    "check",
    "Check settings and records, offline",
    (builder) =>
      builder
        .option("settings", {
          type: "string",
          describe: "Settings file of the daemon",
        })
        .option("records", {
          type: "string",
          describe: "Directory of records",
        }),
    async (args) => onResult(await runCheck(context, args)),
  );
  parser.command(
    "diff <before> <after>",
    "Show what differs between two directories of records, offline",
    (builder) =>
      builder
        .positional("before", { type: "string", demandOption: true })
        .positional("after", { type: "string", demandOption: true }),
    async (args) => onResult(await runDiff(args)),
  );
}

function addOperatorCommands(parser: Argv, options: CommandOptions): void {
  const { context, onResult } = options;
  parser.command(
    "status",
    "Show the state of the fleet as seen by one VM",
    withOperatorOptions,
    async (args) => {
      onResult(await runStatus(createOperatorClient(context, args)));
    },
  );
  parser.command(
    "versions",
    "Show the configuration version of each VM, its age and source",
    withOperatorOptions,
    async (args) => {
      onResult(await runVersions(createOperatorClient(context, args)));
    },
  );
  parser.command(
    "drain",
    "Let a VM finish its requests, accept no new ones and exit",
    (builder) =>
      withOperatorOptions(builder).option("wait", {
        type: "boolean",
        default: false,
        describe: "Wait until the VM has exited",
      }),
    async (args) => {
      const client = createOperatorClient(context, args);
      onResult(await runDrain(context, client, args));
    },
  );
}

function addBurnCommand(parser: Argv, options: CommandOptions): void {
  const { context, onResult } = options;
  parser.command(
    "burn",
    "Show the burn rates of error budgets and their causes",
    withBurnOptions,
    async (args) => {
      onResult(
        await runBurn(context, {
          client: () => createOperatorClient(context, args),
          fold: args.fold,
          html: args.html,
          records: await readRecords(args.records),
        }),
      );
    },
  );
}

function withBurnOptions<T>(builder: Argv<T>) {
  return withOperatorOptions(builder)
    .option("html", {
      type: "string",
      requiresArg: true,
      describe: "Also write the report as an HTML page to this file",
    })
    .option("fold", {
      type: "string",
      array: true,
      default: [] as string[],
      describe: "Merge reports saved by --json and log files instead of " +
        "asking a VM",
    })
    .option("records", {
      type: "string",
      describe: "Directory of records, for objectives that no report has",
    });
}

function addFateCommand(parser: Argv, options: CommandOptions): void {
  const { context, onResult } = options;
  parser.command(
    "fate <id>",
    "Show the status and the steps of a request",
    (builder) =>
      withOperatorOptions(builder)
        .positional("id", { type: "string", demandOption: true })
        .option("logs", {
          type: "string",
          array: true,
          default: [] as string[],
          describe: "Read log files instead of asking a VM; - is stdin",
        }),
    async (args) => {
      const client = () => createOperatorClient(context, args);
      onResult(await runFate(args.id, { client, logs: args.logs }));
    },
  );
}

function addCallerCommands(parser: Argv, options: CommandOptions): void {
  const { context, onResult } = options;
  parser.command(
    "entries",
    "Show the entry VM addresses that callers get",
    (builder) =>
      withCallerOptions(builder).option("data-centre", {
        type: "string",
        describe: "Data centre of the caller",
      }),
    async (args) => {
      const client = createCallerClient(context, args);
      const dataCentre = args["data-centre"];
      onResult(await runEntries(client, { dataCentre }));
    },
  );
  parser.command(
    "load",
    "Send a bounded load and report results by class",
    (builder) => withLoadOptions(withCallerOptions(builder)),
    async (args) => onResult(await runLoadCommand(context, args)),
  );
}

function withOperatorOptions<T>(builder: Argv<T>) {
  return builder
    .option("url", {
      type: "string",
      describe: "Operators' listener of a VM (PERSIMMONSLIP_URL)",
    })
    .option("token", {
      type: "string",
      describe: "Operator token (PERSIMMONSLIP_TOKEN)",
    })
    .option("ca", {
      type: "string",
      describe: "PEM file of the CA certificate to trust, for https",
    });
}

function withCallerOptions<T>(builder: Argv<T>) {
  return builder
    .option("callers-url", {
      type: "string",
      describe: "Callers' listener of a VM (PERSIMMONSLIP_CALLERS_URL)",
    })
    .option("ca", {
      type: "string",
      describe: "PEM file of the CA certificate to trust, for https",
    });
}

async function readRecords(directory: string | undefined) {
  return directory === undefined ? undefined : await readSnapshot(directory);
}
