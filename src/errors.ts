/**
 * Errors that carry the step and the peer at which they occurred.
 *
 * @module
 */
import verror from "verror";

/** The context in which an error occurred. */
export interface ErrorContext {
  /** The step of the work, for example `acquire` or `upstream_write`. */
  step: string;
  /** The remote VM or upstream, if there is one. */
  peer?: string;
  cause?: Error;
}

/** An error with the step and the peer at which it occurred. */
export class StepError extends verror.VError {
  readonly step: string;
  readonly peer: string | undefined;

  constructor(context: ErrorContext, message: string) {
    super(
      {
        name: "StepError",
        cause: context.cause,
        info: { step: context.step, peer: context.peer },
      },
      "%s",
      message,
    );
    this.step = context.step;
    this.peer = context.peer;
  }
}

/** Converts a thrown value to an `Error`. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
