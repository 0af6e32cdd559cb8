/**
 * Exit codes and errors of the tool.
 *
 * @module
 */
import { StepError } from "../errors.ts";

/** Success. */
export const EXIT_OK = 0;
/** The command ran and found faults, differences or an unknown request. */
export const EXIT_FINDING = 1;
/** The command line is invalid. */
export const EXIT_USAGE = 2;
/** A file cannot be read or written, or has invalid content. */
export const EXIT_UNREADABLE = 3;
/** The VM is unreachable or refused the call. */
export const EXIT_UNREACHABLE = 4;
/** A bug in the tool. */
export const EXIT_INTERNAL = 70;

/** An error that the user can act on. */
export class ToolError extends StepError {
  readonly exitCode: number;
  /** Suggested remedy for the user. */
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
