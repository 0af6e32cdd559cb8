/**
 * Runs one command of the tool from its arguments to its exit code.
 *
 * @module
 */
import { toError } from "../errors.ts";
import { buildCommandLine } from "./command_line.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import { EXIT_INTERNAL, EXIT_OK, ToolError } from "./tool_error.ts";

/** Runs the command that `words` name; resolves with the exit code. */
export async function runTool(
  words: readonly string[],
  context: ToolContext,
): Promise<number> {
  const results: ToolResult[] = [];
  try {
    const parser = buildCommandLine(context, (result) => results.push(result));
    let help = "";
    const given = await parser.parseAsync([...words], {}, (_error, _, text) => {
      help = text;
    });
    if (help !== "") context.terminal.writeOutput(`${help}\n`);
    for (const result of results) {
      context.terminal.writeOutput(
        given.json
          ? `${JSON.stringify(result.json, undefined, 2)}\n`
          : result.text,
      );
    }
    return results[0]?.exitCode ?? EXIT_OK;
  } catch (thrown) {
    return printError(toError(thrown), { words, context });
  }
}

function printError(
  error: Error,
  { words, context }: { words: readonly string[]; context: ToolContext },
): number {
  const { terminal } = context;
  terminal.writeError(`persimmonslip: ${error.message}\n`);
  if (error instanceof ToolError && error.hint !== undefined) {
    terminal.writeError(`${error.hint}\n`);
  }
  if (words.includes("--debug")) {
    terminal.writeError(`${error.stack ?? "There is no stack trace"}\n`);
  } else if (!(error instanceof ToolError)) {
    terminal.writeError("This is a defect; --debug shows where it arose\n");
  }
  return error instanceof ToolError ? error.exitCode : EXIT_INTERNAL;
}
