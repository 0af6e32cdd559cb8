/**
 * A stand-in engine's load reports, which lag behind.
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

/** The reports of the last `loadLagMs`, and the one in force before them. */
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

  /** Notes the load as it is now. */
  add(report: LoadReport): void {
    const now = this.#clock.now();
    this.#samples.push({ at: now, report });
    this.#dropOld(now);
  }

  /** The load as it was `loadLagMs` ago, with its age. */
  get(): LoadReport {
    const now = this.#clock.now();
    this.#dropOld(now);
    const sample = this.#samples[0]!;
    const ageMs = Math.min(this.#options.loadLagMs, now - sample.at);
    return { ...sample.report, ageMs };
  }

  /** Keeps the newest sample that is old enough, and those after it. */
  #dropOld(now: number): void {
    const latest = now - this.#options.loadLagMs;
    const young = this.#samples.findIndex((sample) => sample.at > latest);
    const end = young < 0 ? this.#samples.length : young;
    if (end > 1) this.#samples.splice(0, end - 1);
  }
}
