/**
 * One VM's metrics: Prometheus text for `/metrics`, and the figures for the
 * report on service-level burn.
 *
 * @module
 */
import { Counter, Gauge, Registry } from "prom-client";
import type { ClassName } from "../ids.ts";
import { BurnRecorder } from "./burn_recorder.ts";
import type { BurnSeries } from "./burn_stats.ts";
import type { Clock } from "./clock.ts";
import { type FinishedRequest, RequestMetrics } from "./services.ts";
import { SlidingHistogram } from "./sliding_histogram.ts";

const PREFIX = "persimmonslip_";
const QUANTILES: readonly number[] = [0.5, 0.9, 0.99, 0.999];
/** Quantiles cover the last five to ten minutes. */
const QUANTILE_SLOT_MS = 300_000;
const QUANTILE_SLOTS = 2;
const MS_PER_SECOND = 1_000;

/** Figures of durations of one class and step. */
interface StepFigures {
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
  readonly #steps = new Map<string, StepFigures>();
  readonly #requests: Counter<"class" | "result" | "step">;
  readonly #tokens: Counter<"class">;
  readonly #wastedTokens: Counter<"class">;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
    this.#burn = BurnRecorder.create(clock);
    const registers = [this.#registry];
    this.#requests = new Counter({
      name: `${PREFIX}requests_total`,
      help: "Finished requests by class, result and the step that decided it",
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
      help: "Tokens that were generated and thrown away, by class",
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
    let figures = this.#steps.get(key);
    if (figures === undefined) {
      const recent = SlidingHistogram.create({
        clock: this.#clock,
        slotMs: QUANTILE_SLOT_MS,
        slots: QUANTILE_SLOTS,
      });
      figures = { className, step, recent, count: 0, sumMs: 0 };
      this.#steps.set(key, figures);
    }
    figures.recent.record(ms);
    figures.count++;
    figures.sumMs += ms;
  }

  noteFinished(figures: FinishedRequest): void {
    const { className, result } = figures;
    // The step of an answer in time is always the same, and says nothing.
    const step = result === "met" ? "" : figures.step;
    this.#requests.inc({ class: className, result, step });
    this.#tokens.inc({ class: className }, figures.tokens);
    this.#wastedTokens.inc({ class: className }, figures.wastedTokens);
    this.noteStep(className, "total", figures.totalMs);
    if (figures.firstTokenMs !== undefined) {
      this.noteStep(className, "first_token", figures.firstTokenMs);
    }
    if (figures.betweenTokensMs !== undefined) {
      this.noteStep(className, "between_tokens", figures.betweenTokensMs);
    }
    this.#burn.record(figures);
  }

  /** Adds a figure that is read each time the metrics are; its name without
   * the product's prefix. */
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

  /** The Prometheus text format. */
  renderPrometheus(): Promise<string> {
    return this.#registry.metrics();
  }

  /** The content type of `renderPrometheus`. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  /** This VM's figures for the report on service-level burn. */
  collectSeries(): BurnSeries {
    return this.#burn.collect();
  }

  #addStepGauges(): void {
    const steps = this.#steps;
    new Gauge({
      name: `${PREFIX}step_seconds`,
      help: "Quantiles of durations over the last minutes, by class and step",
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
    options: { help: string; read: (step: StepFigures) => number },
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
