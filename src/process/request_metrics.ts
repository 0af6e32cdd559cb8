/**
 * One VM's metrics: Prometheus text for `/metrics`, and the statistics for the
 * error budget report.
 *
 * @module
 */
import { Counter, Gauge, Registry } from "prom-client";
import type { ClassName } from "../ids.ts";
import type { RefusalCode } from "../outcome.ts";
import { BurnRecorder } from "./burn_recorder.ts";
import type { BurnSeries } from "./burn_stats.ts";
import type { Clock } from "./clock.ts";
import { type FinishedRequest, RequestMetrics } from "./services.ts";
import { SlidingHistogram } from "./sliding_histogram.ts";

const PREFIX = "persimmonslip_";
const QUANTILES: readonly number[] = [0.5, 0.9, 0.99, 0.999];
/** Two slots: quantiles cover the last five to ten minutes. */
const QUANTILE_SLOT_MS = 300_000;
const QUANTILE_SLOTS = 2;
const MS_PER_SECOND = 1_000;

/** Durations of one step for one class. */
interface StepStats {
  className: string;
  step: string;
  recent: SlidingHistogram;
  count: number;
  sumMs: number;
}

/** The metrics of one process. */
export class ProcessMetrics extends RequestMetrics {
  readonly #clock: Clock;
  readonly #burn: BurnRecorder;
  readonly #registry = new Registry();
  readonly #steps = new Map<string, StepStats>();
  readonly #requests: Counter<"class" | "result" | "step">;
  readonly #tokens: Counter<"class">;
  readonly #wastedTokens: Counter<"class">;
  readonly #refusals: Counter<"class" | "code">;
  readonly #truncated: Counter<"class">;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
    this.#burn = BurnRecorder.create(clock);
    const registers = [this.#registry];
    this.#requests = new Counter({
      name: `${PREFIX}requests_total`,
      help:
        "Finished requests by class, result and the step that decided the result",
      labelNames: ["class", "result", "step"],
      registers,
    });
    this.#tokens = new Counter({
      name: `${PREFIX}tokens_total`,
      help: "Generated tokens by class",
      labelNames: ["class"],
      registers,
    });
    this.#wastedTokens = new Counter({
      name: `${PREFIX}wasted_tokens_total`,
      help: "Generated tokens that were discarded, by class",
      labelNames: ["class"],
      registers,
    });
    this.#refusals = new Counter({
      name: `${PREFIX}refusals_total`,
      help: "Refused requests by class and code",
      labelNames: ["class", "code"],
      registers,
    });
    this.#truncated = new Counter({
      name: `${PREFIX}truncated_answers_total`,
      help:
        "Answers that upstreams broke off within an event and ended in order, by class",
      labelNames: ["class"],
      registers,
    });
    this.#addStepGauges();
  }

  static create(clock: Clock): ProcessMetrics {
    return new ProcessMetrics(clock);
  }

  noteStep(className: ClassName, step: string, ms: number): void {
    const key = JSON.stringify([className, step]);
    let stats = this.#steps.get(key);
    if (stats === undefined) {
      const recent = SlidingHistogram.create({
        clock: this.#clock,
        slotMs: QUANTILE_SLOT_MS,
        slots: QUANTILE_SLOTS,
      });
      stats = { className, step, recent, count: 0, sumMs: 0 };
      this.#steps.set(key, stats);
    }
    stats.recent.record(ms);
    stats.count++;
    stats.sumMs += ms;
  }

  noteFinished(request: FinishedRequest): void {
    const { className, result } = request;
    // Empty for requests that met their target: the step would always be equal.
    const step = result === "met" ? "" : request.step;
    this.#requests.inc({ class: className, result, step });
    this.#tokens.inc({ class: className }, request.tokens);
    this.#wastedTokens.inc({ class: className }, request.wastedTokens);
    this.noteStep(className, "total", request.totalMs);
    if (request.firstTokenMs !== undefined) {
      this.noteStep(className, "first_token", request.firstTokenMs);
    }
    if (request.betweenTokensMs !== undefined) {
      this.noteStep(className, "between_tokens", request.betweenTokensMs);
    }
    if (request.longestPauseMs !== undefined) {
      this.noteStep(className, "longest_pause", request.longestPauseMs);
    }
    this.#burn.record(request);
  }

  noteRefused(className: ClassName, code: RefusalCode): void {
    this.#refusals.inc({ class: className, code });
  }

  noteTruncated(className: ClassName): void {
    this.#truncated.inc({ class: className });
  }

  /**
   * Adds a gauge that is read at each scrape. `name` does not include the
   * product's prefix.
   */
  addGauge(name: string, options: { help: string; read: () => number }): void {
    new Gauge({
      name: PREFIX + name,
      help: options.help,
      registers: [this.#registry],
      collect() {
        this.set(options.read());
      },
    });
  }

  /** Renders the metrics in the Prometheus text format. */
  renderPrometheus(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Content type of `renderPrometheus`. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  /** Collects this VM's statistics for the error budget report. */
  collectSeries(): BurnSeries {
    return this.#burn.collect();
  }

  #addStepGauges(): void {
    const steps = this.#steps;
    new Gauge({
      name: `${PREFIX}step_seconds`,
      help:
        "Quantiles of durations over the last 5 to 10 minutes, by class and step",
      labelNames: ["class", "step", "quantile"],
      registers: [this.#registry],
      collect() {
        for (const { className, step, recent } of steps.values()) {
          const histogram = recent.collect();
          for (const quantile of QUANTILES) {
            const ms = histogram.getPercentile(quantile * 100);
            const labels = { class: className, step, quantile };
            this.set(labels, ms / MS_PER_SECOND);
          }
        }
      },
    });
    this.#addStepCounter("step_seconds_sum", {
      help: "Sum of durations by class and step",
      read: ({ sumMs }) => sumMs / MS_PER_SECOND,
    });
    this.#addStepCounter("step_seconds_count", {
      help: "Number of durations by class and step",
      read: ({ count }) => count,
    });
  }

  #addStepCounter(
    name: string,
    options: { help: string; read: (step: StepStats) => number },
  ): void {
    const steps = this.#steps;
    new Counter({
      name: PREFIX + name,
      help: options.help,
      labelNames: ["class", "step"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const step of steps.values()) {
          const labels = { class: step.className, step: step.step };
          this.inc(labels, options.read(step));
        }
      },
    });
  }
}
