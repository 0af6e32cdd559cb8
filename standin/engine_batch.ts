/**
 * Continuous batching of a stand-in engine: each step generates one token for
 * every running request. Waiting requests are queued by priority, and the batch
 * is limited by its size and by memory.
 *
 * @module
 */
import type { CancelTimer, Clock } from "../src/process/clock.ts";
import type { EngineCache } from "./engine_cache.ts";
import type { EngineCounts } from "./engine_counts.ts";
import type { EngineOptions } from "./engine_options.ts";
import type { EngineRun } from "./engine_run.ts";

/** Dependencies of a batch. */
export interface BatchParts {
  clock: Clock;
  options: EngineOptions;
  cache: EngineCache;
  counts: EngineCounts;
  /** Called after each token. */
  onToken: () => void;
  /** Called after each step. */
  onStep: () => void;
}

/** The waiting and the running requests of an engine. */
export class EngineBatch {
  readonly #parts: BatchParts;
  #waiting: EngineRun[] = [];
  #running: EngineRun[] = [];
  #stopStep: CancelTimer | undefined;
  #stalledUntil = 0;

  constructor(parts: BatchParts) {
    this.#parts = parts;
  }

  static create(parts: BatchParts): EngineBatch {
    return new EngineBatch(parts);
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Number of tokens that the running requests keep in memory. */
  get memoryTokens(): number {
    return this.#running.reduce((sum, run) => sum + run.memoryTokens, 0);
  }

  /** Queues a run; it may start at once. */
  add(run: EngineRun): void {
    this.#addToQueue(run);
    this.#startStep();
  }

  remove(run: EngineRun): void {
    this.#waiting = this.#waiting.filter((other) => other !== run);
    this.#running = this.#running.filter((other) => other !== run);
  }

  /** Lists all runs, running ones first. */
  list(): EngineRun[] {
    return [...this.#running, ...this.#waiting];
  }

  /** Removes all runs and cancels the current step and stall. */
  clear(): void {
    this.#stopStep?.();
    this.#stopStep = undefined;
    this.#stalledUntil = 0;
    this.#running = [];
    this.#waiting = [];
  }

  /** Stops all work for `ms`, which may be `Infinity`. */
  setStall(ms: number): void {
    this.#stalledUntil = this.#parts.clock.now() + ms;
    this.#stopStep?.();
    this.#stopStep = undefined;
    this.#startStep();
  }

  #addToQueue(run: EngineRun): void {
    const later = this.#waiting.findIndex((other) => isBefore(run, other));
    const place = later < 0 ? this.#waiting.length : later;
    this.#waiting.splice(place, 0, run);
  }

  #startStep(): void {
    if (this.#stopStep !== undefined) return;
    const { clock } = this.#parts;
    const stalledMs = this.#stalledUntil - clock.now();
    if (stalledMs === Infinity) return;
    if (stalledMs > 0) {
      this.#stopStep = clock.startTimer(stalledMs, () => {
        this.#stopStep = undefined;
        this.#startStep();
      });
      return;
    }
    this.#admitWaiting();
    if (this.#running.length === 0) return;
    const stepMs = this.#runPrefill();
    this.#stopStep = clock.startTimer(stepMs, () => this.#endStep());
  }

  #admitWaiting(): void {
    const { options } = this.#parts;
    let memory = this.memoryTokens;
    while (this.#waiting.length > 0) {
      const run = this.#waiting[0]!;
      if (this.#running.length >= options.maxBatch) return;
      const isFull = memory + run.memoryTokens > options.memoryTokens;
      if (isFull && this.#running.length > 0) return;
      this.#waiting.shift();
      this.#running.push(run);
      memory += run.memoryTokens;
      this.#applyCachedPrefix(run);
    }
  }

  #applyCachedPrefix(run: EngineRun): void {
    const { cache, counts, options } = this.#parts;
    const leading = cache.takeLeading(run.request.prefixes);
    const cached = Math.min(
      leading * options.tokensPerPrefix,
      run.record.promptTokens,
    );
    run.record.cachedTokens += cached;
    counts.cachedTokens += cached;
    run.prefillLeft = run.memoryTokens - cached;
  }

  /**
   * Does the prefill of one step; returns the step's duration in milliseconds.
   */
  #runPrefill(): number {
    const { counts, options } = this.#parts;
    let budget = options.prefillTokensPerStep;
    let prefilled = 0;
    for (const run of this.#running) {
      const tokens = Math.min(run.prefillLeft, budget);
      run.prefillLeft -= tokens;
      budget -= tokens;
      prefilled += tokens;
    }
    counts.prefillTokens += prefilled;
    return options.speedFactor * (
      options.baseMs +
      options.perRunningMs * this.#running.length +
      options.prefillMsPerToken * prefilled
    );
  }

  #endStep(): void {
    this.#stopStep = undefined;
    for (const run of [...this.#running]) {
      // A listener or a crash may have ended the run during this step.
      const hasEnded = run.record.end !== undefined;
      if (!hasEnded && run.prefillLeft === 0) this.#addToken(run);
    }
    this.#preemptOverflow();
    this.#startStep();
    this.#parts.onStep();
  }

  #addToken(run: EngineRun): void {
    const { cache, counts, onToken } = this.#parts;
    if (run.nextToken === run.request.resumeTokens) {
      cache.put(run.request.prefixes);
    }
    if (!run.isFinished) {
      counts.tokens++;
      run.addToken();
      onToken();
    }
    if (run.isFinished && run.record.end === undefined) {
      this.remove(run);
      counts.answered++;
      run.settle(run.answer.finishReason);
    }
  }

  /**
   * While the batch exceeds the memory, returns its last run in priority order
   * to the queue.
   */
  #preemptOverflow(): void {
    const { counts, options } = this.#parts;
    while (
      this.memoryTokens > options.memoryTokens && this.#running.length > 1
    ) {
      const run = this.#running.reduce((last, other) =>
        isBefore(last, other) ? other : last
      );
      this.remove(run);
      counts.putBack++;
      this.#addToQueue(run);
    }
  }
}

function isBefore(left: EngineRun, right: EngineRun): boolean {
  const difference = left.request.priority - right.request.priority;
  return difference < 0 || (difference === 0 && left.sequence < right.sequence);
}
