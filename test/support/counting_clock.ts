/**
 * A virtual clock that counts pending timers.
 *
 * @module
 */
import type { CancelTimer } from "../../src/process/clock.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

/** Lets a test over real sockets wait until the tested code sets a timer. */
export class CountingClock extends VirtualClock {
  /** Timers that are set and have neither fired nor been cancelled. */
  pending = 0;

  static override create(): CountingClock {
    return new CountingClock();
  }

  override startTimer(ms: number, callback: () => void): CancelTimer {
    let isSet = true;
    this.pending += 1;
    const settle = () => {
      if (isSet) this.pending -= 1;
      isSet = false;
    };
    const cancel = super.startTimer(ms, () => {
      settle();
      callback();
    });
    return () => {
      settle();
      cancel();
    };
  }
}
