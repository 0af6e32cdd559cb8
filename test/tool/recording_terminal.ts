/**
 * Runs the tool in this process and captures its output.
 *
 * @module
 */
import type { Clock } from "../../src/process/clock.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { runTool, Terminal } from "../../src/tool/index.ts";
import { EagerClock } from "./eager_clock.ts";

/** Exit code and output of one run of the tool. */
export interface ToolRun {
  exitCode: number;
  output: string;
  error: string;
}

class RecordingTerminal extends Terminal {
  readonly isInteractive = false;
  readonly hasColour: boolean;
  output = "";
  error = "";

  constructor(hasColour: boolean) {
    super();
    this.hasColour = hasColour;
  }

  writeOutput(text: string): void {
    this.output += text;
  }

  writeError(text: string): void {
    this.error += text;
  }
}

/** Runs the tool with `args` as its command-line arguments. */
export async function runCommand(
  args: string[],
  options: {
    variables?: Record<string, string>;
    clock?: Clock;
    hasColour?: boolean;
  } = {},
): Promise<ToolRun> {
  const terminal = new RecordingTerminal(options.hasColour ?? false);
  const exitCode = await runTool(args, {
    terminal,
    clock: options.clock ?? EagerClock.create(),
    random: SeededRandom.create(1),
    variables: options.variables ?? {},
  });
  return { exitCode, output: terminal.output, error: terminal.error };
}
