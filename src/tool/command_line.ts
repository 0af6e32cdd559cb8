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

/** Takes what a command found out. */
export type TakeResult = (result: ToolResult) => void;

/** Builds the parser; `takeResult` is called once by each command that ran. */
export function buildCommandLine(
  context: ToolContext,
  takeResult: TakeResult,
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
      describe: "Print JSON in place of text",
    })
    .option("debug", {
      type: "boolean",
      default: false,
      describe: "Print the stack trace of an error",
    })
    .completion("completion", "Print a completion script for bash or zsh")
    .epilogue(
      "Exit codes: 0 all is well; 1 a fault, a difference or a fate that is " +
        "not known; 2 the command line is wrong; 3 a file cannot be read; " +
        "4 a VM cannot be reached or refuses.",
    )
    .fail((message, error) => {
      throw error ?? new ToolError(message, {
        exitCode: EXIT_USAGE,
        step: "read_arguments",
        hint: "See persimmonslip --help",
      });
    });
  addOfflineCommands(parser, { context, takeResult });
  addOperatorCommands(parser, { context, takeResult });
  addBurnCommand(parser, { context, takeResult });
  addFateCommand(parser, { context, takeResult });
  addCallerCommands(parser, { context, takeResult });
  return parser;
}

interface CommandSetting {
  context: ToolContext;
  takeResult: TakeResult;
}

function addOfflineCommands(parser: Argv, setting: CommandSetting): void {
  const { context, takeResult } = setting;
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
    async (given) => takeResult(await runCheck(context, given)),
  );
  parser.command(
    "diff <before> <after>",
    "Say what changes for whom between two directories of records, offline",
    (builder) =>
      builder
        .positional("before", { type: "string", demandOption: true })
        .positional("after", { type: "string", demandOption: true }),
    async (given) => takeResult(await runDiff(given)),
  );
}

function addOperatorCommands(parser: Argv, setting: CommandSetting): void {
  const { context, takeResult } = setting;
  parser.command(
    "status",
    "Show the fleet as one VM sees it",
    withOperatorOptions,
    async (given) => {
      takeResult(await runStatus(createOperatorClient(context, given)));
    },
  );
  parser.command(
    "versions",
    "Show which VM has which configuration, since when and from whom",
    withOperatorOptions,
    async (given) => {
      takeResult(await runVersions(createOperatorClient(context, given)));
    },
  );
  parser.command(
    "drain",
    "Let a VM finish its requests, take no new ones and end",
    (builder) =>
      withOperatorOptions(builder).option("wait", {
        type: "boolean",
        default: false,
        describe: "Wait until the VM has ended",
      }),
    async (given) => {
      const client = createOperatorClient(context, given);
      takeResult(await runDrain(context, client, given));
    },
  );
}

function addBurnCommand(parser: Argv, setting: CommandSetting): void {
  const { context, takeResult } = setting;
  parser.command(
    "burn",
    "Show how fast error budgets burn, and why",
    withBurnOptions,
    async (given) => {
      takeResult(
        await runBurn(context, {
          client: () => createOperatorClient(context, given),
          fold: given.fold,
          html: given.html,
          records: await readRecords(given.records),
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
      describe: "Write the report as a page to this file, too",
    })
    .option("fold", {
      type: "string",
      array: true,
      default: [] as string[],
      describe: "Fold reports saved by --json and log files in place of " +
        "asking a VM",
    })
    .option("records", {
      type: "string",
      describe: "Directory of records, for objectives that no report gives",
    });
}

function addFateCommand(parser: Argv, setting: CommandSetting): void {
  const { context, takeResult } = setting;
  parser.command(
    "fate <id>",
    "Tell what became of a request",
    (builder) =>
      withOperatorOptions(builder)
        .positional("id", { type: "string", demandOption: true })
        .option("logs", {
          type: "string",
          array: true,
          default: [] as string[],
          describe: "Read log files in place of asking a VM; - is the input",
        }),
    async (given) => {
      const client = () => createOperatorClient(context, given);
      takeResult(await runFate(given.id, { client, logs: given.logs }));
    },
  );
}

function addCallerCommands(parser: Argv, setting: CommandSetting): void {
  const { context, takeResult } = setting;
  parser.command(
    "entries",
    "Show the addresses that callers are given",
    (builder) =>
      withCallerOptions(builder).option("data-centre", {
        type: "string",
        describe: "Data centre of the caller",
      }),
    async (given) => {
      const client = createCallerClient(context, given);
      const dataCentre = given["data-centre"];
      takeResult(await runEntries(client, { dataCentre }));
    },
  );
  parser.command(
    "load",
    "Send a bounded load and report by class",
    (builder) => withLoadOptions(withCallerOptions(builder)),
    async (given) => takeResult(await runLoadCommand(context, given)),
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
      describe: "PEM file of the authority to trust, for https",
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
      describe: "PEM file of the authority to trust, for https",
    });
}

async function readRecords(directory: string | undefined) {
  return directory === undefined ? undefined : await readSnapshot(directory);
}
