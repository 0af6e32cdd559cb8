/**
 * Delays the steps of one direction of a connection and keeps their order.
 *
 * @module
 */

interface DelayedStep {
  at: number;
  run: () => void;
}

/** Delayed steps in order, like the bytes of one connection. */
export class DelayLine {
  readonly #steps: DelayedStep[] = [];
  #timer: NodeJS.Timeout | undefined;

  static create(): DelayLine {
    return new DelayLine();
  }

  /** Runs `run` after `delayMs`, and after every step that was added before. */
  add(delayMs: number, run: () => void): void {
    this.#steps.push({ at: performance.now() + delayMs, run });
    this.#runDue();
  }

  #runDue(): void {
    clearTimeout(this.#timer);
    while (this.#steps.length > 0) {
      const leftMs = this.#steps[0]!.at - performance.now();
      if (leftMs > 0) {
        this.#timer = setTimeout(() => this.#runDue(), leftMs);
        return;
      }
      this.#steps.shift()!.run();
    }
  }
}
