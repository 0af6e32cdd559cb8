/**
 * Results of a load run by class.
 *
 * @module
 */
import { LatencyHistogram } from "../process/latency_histogram.ts";
import { formatDuration, formatShare, renderTable } from "./table.ts";

const MS_PER_SECOND = 1_000;
const MEDIAN_PERCENTILE = 50;
const TAIL_PERCENTILE = 99;
const NO_VALUE = "-";

/** Latency targets in milliseconds. */
export interface LoadTargets {
  firstTokenMs: number;
  totalMs: number;
}

/** Result of one request of the load. */
export interface LoadOutcome {
  kind: "answered" | "refused" | "broken" | "not_sent";
  /** Code of the refusal, or the error of a broken request. */
  cause?: string;
  firstTokenMs?: number;
  totalMs?: number;
  tokens: number;
}

/** Accumulates the results of one class. */
export class ClassStats {
  readonly className: string;
  readonly #targets: LoadTargets | undefined;
  readonly #firstToken = LatencyHistogram.create();
  readonly #total = LatencyHistogram.create();
  readonly #causes = new Map<string, number>();
  #answered = 0;
  #met = 0;
  #refused = 0;
  #broken = 0;
  #notSent = 0;
  #goodTokens = 0;
  #wastedTokens = 0;

  constructor(className: string, targets: LoadTargets | undefined) {
    this.className = className;
    this.#targets = targets;
  }

  static create(
    className: string,
    targets: LoadTargets | undefined,
  ): ClassStats {
    return new ClassStats(className, targets);
  }

  /** Number of requests that were sent and have ended. */
  get ended(): number {
    return this.#answered + this.#refused + this.#broken;
  }

  record(outcome: LoadOutcome): void {
    if (outcome.kind === "not_sent") {
      this.#notSent++;
      return;
    }
    if (outcome.kind !== "answered") {
      if (outcome.kind === "refused") this.#refused++;
      else this.#broken++;
      this.#wastedTokens += outcome.tokens;
      const cause = outcome.cause ?? "unknown";
      this.#causes.set(cause, (this.#causes.get(cause) ?? 0) + 1);
      return;
    }
    this.#answered++;
    if (outcome.firstTokenMs !== undefined) {
      this.#firstToken.record(outcome.firstTokenMs);
    }
    this.#total.record(outcome.totalMs ?? 0);
    if (!this.#isMet(outcome)) return;
    this.#met++;
    this.#goodTokens += outcome.tokens;
  }

  /**
   * Returns the results as JSON data; `seconds` is the duration of the load.
   */
  toJson(seconds: number): ClassReport {
    const sent = this.ended;
    return {
      class: this.className,
      sent,
      answered: this.#answered,
      refused: this.#refused,
      broken: this.#broken,
      not_sent: this.#notSent,
      attainment: this.#targets === undefined || sent === 0
        ? null
        : this.#met / sent,
      goodput_tokens_per_second: this.#goodTokens / seconds,
      wasted_tokens: this.#wastedTokens,
      first_token_ms: toQuantiles(this.#firstToken),
      total_ms: toQuantiles(this.#total),
      causes: Object.fromEntries(this.#causes),
    };
  }

  #isMet(outcome: LoadOutcome): boolean {
    if (this.#targets === undefined) return true;
    const { firstTokenMs, totalMs } = this.#targets;
    return (outcome.firstTokenMs ?? 0) <= firstTokenMs &&
      (outcome.totalMs ?? 0) <= totalMs;
  }
}

/** One class of a load's report. */
export interface ClassReport {
  class: string;
  sent: number;
  answered: number;
  refused: number;
  broken: number;
  /** Not sent because the concurrency limit was reached. */
  not_sent: number;
  /** Share of sent requests that met their targets; null without targets. */
  attainment: number | null;
  /** Token rate of answers that met their targets. */
  goodput_tokens_per_second: number;
  /** Tokens of incomplete answers. */
  wasted_tokens: number;
  first_token_ms: Quantiles;
  total_ms: Quantiles;
  causes: Record<string, number>;
}

/** Quantiles in milliseconds; null if nothing was recorded. */
interface Quantiles {
  p50: number | null;
  p99: number | null;
}

/** Renders a report as a table. */
export function renderLoadReport(reports: readonly ClassReport[]): string {
  const rows = reports.map((report) => [
    report.class,
    String(report.sent),
    String(report.answered),
    String(report.refused),
    String(report.broken),
    String(report.not_sent),
    report.attainment === null ? NO_VALUE : formatShare(report.attainment),
    report.goodput_tokens_per_second.toFixed(1),
    String(report.wasted_tokens),
    formatQuantile(report.first_token_ms.p50),
    formatQuantile(report.first_token_ms.p99),
    formatQuantile(report.total_ms.p50),
    formatQuantile(report.total_ms.p99),
  ]);
  const headers = [
    "CLASS",
    "SENT",
    "ANSWERED",
    "REFUSED",
    "BROKEN",
    "NOT SENT",
    "ATTAINMENT",
    "GOOD TOKENS/S",
    "WASTED TOKENS",
    "FIRST p50",
    "FIRST p99",
    "TOTAL p50",
    "TOTAL p99",
  ];
  const causes = reports.flatMap((report) =>
    Object.entries(report.causes).map(([cause, count]) =>
      `${report.class}: ${count} times ${cause}\n`
    )
  );
  const tail = causes.length === 0 ? "" : `\n${causes.join("")}`;
  return renderTable(headers, rows) + tail;
}

/** Converts milliseconds to seconds. */
export function toSeconds(ms: number): number {
  return ms / MS_PER_SECOND;
}

function toQuantiles(histogram: LatencyHistogram): Quantiles {
  if (histogram.count === 0) return { p50: null, p99: null };
  return {
    p50: histogram.getPercentile(MEDIAN_PERCENTILE),
    p99: histogram.getPercentile(TAIL_PERCENTILE),
  };
}

function formatQuantile(ms: number | null): string {
  return ms === null ? NO_VALUE : formatDuration(ms);
}
