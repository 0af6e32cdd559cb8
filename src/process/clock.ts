/**
 * Injected clock, so that the same code also runs in virtual time.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/** Cancels a timer; has no effect after it has fired. */
export type CancelTimer = () => void;

/** Clock. All durations are in milliseconds. */
export abstract class Clock {
  /** Monotonic time in milliseconds; only differences are meaningful. */
  abstract now(): number;
  /** Wall-clock time in milliseconds since 1970, for logs and reports only. */
  abstract wallTime(): number;
  /** Calls `callback` once after `ms`. */
  abstract startTimer(ms: number, callback: () => void): CancelTimer;

  /** Resolves after `ms`, or at once when `signal` aborts. Never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const onAbort = () => {
        cancel();
        resolve();
      };
      const cancel = this.startTimer(ms, () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      });
      signal?.addEventListener("abort", onAbort, { once: true });
    });
  }
}

/** The system clock. */
export class SystemClock extends Clock {
  static create(): SystemClock {
    return new SystemClock();
  }

  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  startTimer(ms: number, callback: () => void): CancelTimer {
    const timer = setTimeout(callback, Math.max(0, ms));
    return () => clearTimeout(timer);
  }
}
