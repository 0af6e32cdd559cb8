/**
 * Timeouts of one call to an upstream.
 *
 * @module
 */
import type { CancelTimer, Clock } from "../process/clock.ts";
import { READ_GRACE_MS, STALL_THRESHOLD_MS } from "./silence_timer.ts";
import type { CallTimeouts, UpstreamErrorKind } from "./upstream_transport.ts";

/** The timeout that fired. */
export type TimeoutKind = Extract<
  UpstreamErrorKind,
  "first_byte_timeout" | "between_bytes_timeout" | "total_timeout"
>;

/**
 * Enforces the timeouts of one call. A single timer serves all three and is
 * rearmed only when it fires, so that received bytes cause no timer operations.
 * Silence counts only while the reader waits for bytes, so that a slow caller
 * does not time out the upstream.
 */
export class CallTimer {
  readonly #clock: Clock;
  readonly #timeouts: CallTimeouts;
  readonly #onTimeout: (kind: TimeoutKind) => void;
  readonly #deadline: number;
  #waitingSince: number | undefined;
  /** End of the last extension of the silence timeout. */
  #extendedUntil = -Infinity;
  #hasByte = false;
  #checkAt = Infinity;
  #cancelTimer: CancelTimer | undefined;

  constructor(
    clock: Clock,
    timeouts: CallTimeouts,
    options: { onTimeout: (kind: TimeoutKind) => void },
  ) {
    this.#clock = clock;
    this.#timeouts = timeouts;
    this.#onTimeout = options.onTimeout;
    this.#deadline = clock.now() + timeouts.totalMs;
    this.#waitingSince = clock.now();
    this.#check();
  }

  static create(
    clock: Clock,
    timeouts: CallTimeouts,
    options: { onTimeout: (kind: TimeoutKind) => void },
  ): CallTimer {
    return new CallTimer(clock, timeouts, options);
  }

  /** Records that the reader has begun to wait for the next byte. */
  noteWaiting(): void {
    this.#waitingSince ??= this.#clock.now();
  }

  /** Records that a byte of the body was received. */
  noteByte(): void {
    this.#waitingSince = undefined;
    if (this.#hasByte) return;
    this.#hasByte = true;
    // The timeout between bytes may expire before the current timer does.
    this.#check();
  }

  /** Cancels the timer. */
  stop(): void {
    this.#cancelTimer?.();
  }

  #check(): void {
    const now = this.#clock.now();
    // After a pause of this process its timers run before its sockets are
    // read. Without a grace period, an answer that already waits in the socket
    // buffer would count as silence, and the work would be run twice or its
    // outcome reported as unknown.
    if (now - this.#checkAt >= STALL_THRESHOLD_MS) {
      this.#startTimer(now + READ_GRACE_MS, now);
      return;
    }
    if (now >= this.#deadline) {
      this.#onTimeout("total_timeout");
      return;
    }
    const timeoutMs = this.#hasByte
      ? this.#timeouts.betweenBytesMs
      : this.#timeouts.firstByteMs;
    // The timer is set to this very sum. Comparing another expression, such
    // as `now - start`, could round to just below the timeout, and the timer
    // would be rearmed with 0 ms in an endless loop.
    const expiresAt = Math.max(
      this.#extendedUntil,
      (this.#waitingSince ?? now) + timeoutMs,
    );
    if (now >= expiresAt) {
      const extensionMs = this.#timeouts.computeExtensionMs?.() ?? 0;
      if (extensionMs > 0) {
        this.#extendedUntil = now + extensionMs;
        this.#startTimer(Math.min(this.#deadline, this.#extendedUntil), now);
        return;
      }
      this.#onTimeout(
        this.#hasByte ? "between_bytes_timeout" : "first_byte_timeout",
      );
      return;
    }
    this.#startTimer(Math.min(this.#deadline, expiresAt), now);
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
