/**
 * Errors that say at which step and peer they arose.
 *
 * @module
 */
import verror from "verror";

/** Where an error arose. */
export interface ErrorContext {
  /** The step of the work, for example `acquire` or `upstream_write`. */
  step: string;
  /** The VM or upstream on the other side, when there is one. */
  peer?: string;
  cause?: Error;
}

/** An error with the step and the peer at which it arose. */
export class StepError extends verror.VError {
  readonly step: string;
  readonly peer: string | undefined;

  constructor(place: ErrorContext, message: string) {
    super(
      {
        name: "StepError",
        cause: place.cause,
        info: { step: place.step, peer: place.peer },
      },
      "%s",
      message,
    );
    this.step = place.step;
    this.peer = place.peer;
  }
}

/** Turns whatever was thrown into an `Error`. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
