/**
 * Where the tool writes, and what it takes from outside.
 *
 * @module
 */
import process from "node:process";
import type { Clock } from "../process/clock.ts";
import type { Random } from "../process/random.ts";

/** The two streams of a terminal. */
export abstract class Terminal {
  /** Whether a person watches, so that progress is worth showing. */
  abstract readonly isInteractive: boolean;
  /** Whether the output goes to a screen that shows colour. */
  abstract readonly hasColour: boolean;
  abstract writeOutput(text: string): void;
  abstract writeError(text: string): void;
}

/** The process's own standard output and error. */
export class ProcessTerminal extends Terminal {
  static create(): ProcessTerminal {
    // A reader that ends early, such as `head`, breaks the pipe; the tool's
    // exit code still stands, and a stack trace would only hide it.
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

/** Everything that a command takes from outside. */
export interface ToolContext {
  terminal: Terminal;
  clock: Clock;
  random: Random;
  /** The environment variables. */
  variables: Record<string, string | undefined>;
}

/** What a command found out, for people and for programs. */
export interface ToolResult {
  text: string;
  json: unknown;
  exitCode: number;
}
