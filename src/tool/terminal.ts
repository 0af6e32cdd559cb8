/**
 * Output streams and other dependencies of the tool's commands.
 *
 * @module
 */
import process from "node:process";
import type { Clock } from "../process/clock.ts";
import type { Random } from "../process/random.ts";

/** Standard output and standard error of the tool. */
export abstract class Terminal {
  /** Whether standard error is a terminal, so that progress is shown. */
  abstract readonly isInteractive: boolean;
  /** Whether standard output is a terminal that may show colour. */
  abstract readonly hasColour: boolean;
  abstract writeOutput(text: string): void;
  abstract writeError(text: string): void;
}

/** Standard output and standard error of this process. */
export class ProcessTerminal extends Terminal {
  static create(): ProcessTerminal {
    // A reader that exits early, such as `head`, breaks the pipe. Ignoring the
    // error keeps the tool's exit code and prints no stack trace.
    process.stdout.on("error", () => {});
    return new ProcessTerminal();
  }

  get isInteractive(): boolean {
    return process.stderr.isTTY === true;
  }

  get hasColour(): boolean {
    return process.stdout.isTTY === true;
  }

  writeOutput(text: string): void {
    process.stdout.write(text);
  }

  writeError(text: string): void {
    process.stderr.write(text);
  }
}

/** Dependencies of a command on its environment. */
export interface ToolContext {
  terminal: Terminal;
  clock: Clock;
  random: Random;
  /** Environment variables. */
  variables: Record<string, string | undefined>;
}

/** Result of a command as text and as JSON. */
export interface ToolResult {
  text: string;
  json: unknown;
  exitCode: number;
}
