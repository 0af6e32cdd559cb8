/**
 * Load reports of a stand-in engine, which are out of date by a fixed delay.
 *
 * @module
 */
import type { LoadReport } from "../src/connection/upstream_transport.ts";
import type { Clock } from "../src/process/clock.ts";
import type { EngineOptions } from "./engine_options.ts";

interface LoadSample {
  at: number;
  report: LoadReport;
}

/** The reports of the last `loadLagMs` and the one before them. */
export class LoadHistory {
  readonly #clock: Clock;
  readonly #options: EngineOptions;
  #samples: LoadSample[] = [];

  constructor(clock: Clock, options: EngineOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  static create(clock: Clock, options: EngineOptions): LoadHistory {
    return new LoadHistory(clock, options);
  }

  /** Records the current load. */
  add(report: LoadReport): void {
    const now = this.#clock.now();
    this.#samples.push({ at: now, report });
    this.#dropOld(now);
  }

  /** Returns the load as of `loadLagMs` ago, with its age. */
  get(): LoadReport {
    const now = this.#clock.now();
    this.#dropOld(now);
    const sample = this.#samples[0]!;
    const ageMs = Math.min(this.#options.loadLagMs, now - sample.at);
    return { ...sample.report, ageMs };
  }

  /**
   * Drops all samples before the newest one that is at least `loadLagMs` old.
   */
  #dropOld(now: number): void {
    const latest = now - this.#options.loadLagMs;
    const firstTooRecent = this.#samples.findIndex((sample) =>
      sample.at > latest
    );
    const end = firstTooRecent < 0 ? this.#samples.length : firstTooRecent;
    if (end > 1) this.#samples.splice(0, end - 1);
  }
}
