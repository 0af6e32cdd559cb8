/**
 * What a load run measured, by class.
 *
 * @module
 */
import { LatencyHistogram } from "../process/latency_histogram.ts";
import { formatDuration, formatShare, renderTable } from "./table.ts";

const MS_PER_SECOND = 1_000;
const MEDIAN = 50;
const TAIL = 99;
const NONE = "-";

/** Targets that an answer must meet, in milliseconds. */
export interface LoadTargets {
  firstTokenMs: number;
  totalMs: number;
}

/** How one request of the load ended. */
export interface LoadOutcome {
  kind: "answered" | "refused" | "broken" | "not_sent";
  /** The refusal's code, or why it broke. */
  cause?: string;
  firstTokenMs?: number;
  totalMs?: number;
  tokens: number;
}

/** The figures of one class. */
export class ClassFigures {
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
  ): ClassFigures {
    return new ClassFigures(className, targets);
  }

  /** Requests that came to an end. */
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

  /** The figures as plain data; `seconds` is how long the load ran. */
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
  /** Left out because too many were open. */
  not_sent: number;
  /** Share of those sent that met their targets; null without targets. */
  attainment: number | null;
  /** Tokens of answers that met their targets. */
  goodput_tokens_per_second: number;
  /** Tokens of answers that did not come to their end. */
  wasted_tokens: number;
  first_token_ms: Quantiles;
  total_ms: Quantiles;
  causes: Record<string, number>;
}

/** Two quantiles in milliseconds; null where nothing was recorded. */
interface Quantiles {
  p50: number | null;
  p99: number | null;
}

/** Lays a report out as a table. */
export function renderLoadReport(reports: readonly ClassReport[]): string {
  const rows = reports.map((report) => [
    report.class,
    String(report.sent),
    String(report.answered),
    String(report.refused),
    String(report.broken),
    String(report.not_sent),
    report.attainment === null ? NONE : formatShare(report.attainment),
    report.goodput_tokens_per_second.toFixed(1),
    String(report.wasted_tokens),
    formatQuantile(report.first_token_ms.p50),
    formatQuantile(report.first_token_ms.p99),
    formatQuantile(report.total_ms.p50),
    formatQuantile(report.total_ms.p99),
  ]);
  const heads = [
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
  return renderTable(heads, rows) + tail;
}

/** Seconds from milliseconds. */
export function toSeconds(ms: number): number {
  return ms / MS_PER_SECOND;
}

function toQuantiles(histogram: LatencyHistogram): Quantiles {
  if (histogram.count === 0) return { p50: null, p99: null };
  return {
    p50: histogram.getPercentile(MEDIAN),
    p99: histogram.getPercentile(TAIL),
  };
}

function formatQuantile(ms: number | null): string {
  return ms === null ? NONE : formatDuration(ms);
}
