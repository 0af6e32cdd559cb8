/**
 * Entry point of the tool: runs one command and computes the exit code.
 *
 * @module
 */
import { toError } from "../errors.ts";
import { buildCommandLine } from "./command_line.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import { EXIT_INTERNAL, EXIT_OK, ToolError } from "./tool_error.ts";

/** Runs the command given by `args`; resolves with the exit code. */
export async function runTool(
  args: readonly string[],
  context: ToolContext,
): Promise<number> {
  const results: ToolResult[] = [];
  try {
    const parser = buildCommandLine(context, (result) => results.push(result));
    let help = "";
    const parsed = await parser.parseAsync([...args], {}, (_error, _, text) => {
      help = text;
    });
    if (help !== "") context.terminal.writeOutput(`${help}\n`);
    for (const result of results) {
      context.terminal.writeOutput(
        parsed.json
          ? `${JSON.stringify(result.json, undefined, 2)}\n`
          : result.text,
      );
    }
    return results[0]?.exitCode ?? EXIT_OK;
  } catch (thrown) {
    return printError(toError(thrown), { args, context });
  }
}

function printError(
  error: Error,
  { args, context }: { args: readonly string[]; context: ToolContext },
): number {
  const { terminal } = context;
  terminal.writeError(`persimmonslip: ${error.message}\n`);
  if (error instanceof ToolError && error.hint !== undefined) {
    terminal.writeError(`${error.hint}\n`);
  }
  if (args.includes("--debug")) {
    terminal.writeError(`${error.stack ?? "No stack trace is available"}\n`);
  } else if (!(error instanceof ToolError)) {
    terminal.writeError(
      "This is a bug in the tool; --debug prints a stack trace\n",
    );
  }
  return error instanceof ToolError ? error.exitCode : EXIT_INTERNAL;
}
