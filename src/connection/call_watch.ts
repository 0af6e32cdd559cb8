/**
 * The time limits of one call to an upstream.
 *
 * @module
 */
import type { CancelTimer, Clock } from "../process/clock.ts";
import type { CallLimits, UpstreamErrorKind } from "./upstream_transport.ts";

/** Which limit was passed. */
export type LimitKind = Extract<
  UpstreamErrorKind,
  "first_byte_timeout" | "between_bytes_timeout" | "total_timeout"
>;

/**
 * Watches one call. One timer serves all three limits and is set again only
 * when it fires, so that a byte costs no timer. Time counts against the
 * upstream only while its bytes are waited for: a slow caller is not its fault.
 */
export class CallWatch {
  readonly #clock: Clock;
  readonly #limits: CallLimits;
  readonly #onPassed: (kind: LimitKind) => void;
  readonly #endsAt: number;
  #waitingSince: number | undefined;
  #hasByte = false;
  #cancelTimer: CancelTimer | undefined;

  constructor(
    clock: Clock,
    limits: CallLimits,
    options: { onPassed: (kind: LimitKind) => void },
  ) {
    this.#clock = clock;
    this.#limits = limits;
    this.#onPassed = options.onPassed;
    this.#endsAt = clock.now() + limits.totalMs;
    this.#waitingSince = clock.now();
    this.#check();
  }

  static create(
    clock: Clock,
    limits: CallLimits,
    options: { onPassed: (kind: LimitKind) => void },
  ): CallWatch {
    return new CallWatch(clock, limits, options);
  }

  /** The reader waits for the next byte from now on. */
  noteWaiting(): void {
    this.#waitingSince ??= this.#clock.now();
  }

  /** A byte of the body came. */
  noteByte(): void {
    this.#waitingSince = undefined;
    if (this.#hasByte) return;
    this.#hasByte = true;
    // The limit between bytes may be shorter than what the timer was set to.
    this.#check();
  }

  /** Ends the watch. */
  stop(): void {
    this.#cancelTimer?.();
  }

  #check(): void {
    const now = this.#clock.now();
    if (now >= this.#endsAt) {
      this.#onPassed("total_timeout");
      return;
    }
    const limitMs = this.#hasByte
      ? this.#limits.betweenBytesMs
      : this.#limits.firstByteMs;
    const since = this.#waitingSince ?? now;
    if (now - since >= limitMs) {
      this.#onPassed(
        this.#hasByte ? "between_bytes_timeout" : "first_byte_timeout",
      );
      return;
    }
    const checkAt = Math.min(this.#endsAt, since + limitMs);
    this.#cancelTimer?.();
    this.#cancelTimer = this.#clock.startTimer(
      checkAt - now,
      () => this.#check(),
    );
  }
}
