/**
 * Holds steps of one direction of a connection back, and keeps their order.
 *
 * @module
 */

interface Step {
  at: number;
  run: () => void;
}

/** What is on its way one after the other, as bytes of one connection are. */
export class DelayLine {
  readonly #steps: Step[] = [];
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
