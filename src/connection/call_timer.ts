/**
 * The time limits of one call to an upstream.
 *
 * @module
 */
import type { CancelTimer, Clock } from "../process/clock.ts";
import type { CallTimeouts, UpstreamErrorKind } from "./upstream_transport.ts";

/** A check that runs so much later than it was set for tells of a pause. */
const LATE_MS = 100;
/** How long after a pause the bytes that came meanwhile may take to be read. */
const GRACE_MS = 100;

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
export class CallTimer {
  readonly #clock: Clock;
  readonly #limits: CallTimeouts;
  readonly #onTimeout: (kind: LimitKind) => void;
  readonly #endsAt: number;
  #waitingSince: number | undefined;
  /** Until then silence was allowed; counts anew from there. */
  #allowedUntil = -Infinity;
  #hasByte = false;
  #checkAt = Infinity;
  #cancelTimer: CancelTimer | undefined;

  constructor(
    clock: Clock,
    limits: CallTimeouts,
    options: { onTimeout: (kind: LimitKind) => void },
  ) {
    this.#clock = clock;
    this.#limits = limits;
    this.#onTimeout = options.onTimeout;
    this.#endsAt = clock.now() + limits.totalMs;
    this.#waitingSince = clock.now();
    this.#check();
  }

  static create(
    clock: Clock,
    limits: CallTimeouts,
    options: { onTimeout: (kind: LimitKind) => void },
  ): CallTimer {
    return new CallTimer(clock, limits, options);
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
    // After a pause of this process its timers run before its sockets are
    // read: a whole answer that waits in a buffer would be given up as
    // silence, seen as work done twice or as a hold whose fate is unknown.
    if (now - this.#checkAt >= LATE_MS) {
      this.#startTimer(now + GRACE_MS, now);
      return;
    }
    if (now >= this.#endsAt) {
      this.#onTimeout("total_timeout");
      return;
    }
    const limitMs = this.#hasByte
      ? this.#limits.betweenBytesMs
      : this.#limits.firstByteMs;
    // The timer is set by the same sum: another one could round to a moment
    // just after it, and the check would be set to now again without end.
    const passesAt = this.#computeSilentSince(now) + limitMs;
    if (now >= passesAt && this.#limits.canExtendTimeout?.() === true) {
      this.#allowedUntil = now;
      this.#startTimer(Math.min(this.#endsAt, now + limitMs), now);
      return;
    }
    if (now >= passesAt) {
      this.#onTimeout(
        this.#hasByte ? "between_bytes_timeout" : "first_byte_timeout",
      );
      return;
    }
    this.#startTimer(Math.min(this.#endsAt, passesAt), now);
  }

  #computeSilentSince(now: number): number {
    return Math.max(this.#waitingSince ?? now, this.#allowedUntil);
  }

  #startTimer(checkAt: number, now: number): void {
    this.#cancelTimer?.();
    this.#checkAt = checkAt;
    this.#cancelTimer = this.#clock.startTimer(
      checkAt - now,
      () => this.#check(),
    );
  }
}
