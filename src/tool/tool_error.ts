/**
 * How the tool ends when something goes wrong.
 *
 * @module
 */
import { StepError } from "../errors.ts";

/** All is well. */
export const EXIT_OK = 0;
/** The command worked and the answer is a no: faults, differences, unknown. */
export const EXIT_FINDING = 1;
/** The command line is wrong. */
export const EXIT_USAGE = 2;
/** A file cannot be read or is no JSON. */
export const EXIT_UNREADABLE = 3;
/** The VM cannot be reached, or refuses. */
export const EXIT_UNREACHABLE = 4;
/** A defect of the tool. */
export const EXIT_INTERNAL = 70;

/** An error that the user can act on: what went wrong, and what to try. */
export class ToolError extends StepError {
  readonly exitCode: number;
  /** What the user may do about it. */
  readonly hint: string | undefined;

  constructor(
    message: string,
    options: {
      exitCode: number;
      step: string;
      peer?: string;
      hint?: string;
      cause?: Error;
    },
  ) {
    super({
      step: options.step,
      ...(options.peer !== undefined && { peer: options.peer }),
      ...(options.cause !== undefined && { cause: options.cause }),
    }, message);
    this.name = "ToolError";
    this.exitCode = options.exitCode;
    this.hint = options.hint;
  }
}
