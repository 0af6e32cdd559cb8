/**
 * One request's account: its steps, its tokens and its true outcome.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { RequestFingerprint, RequestId, VmId } from "../ids.ts";
import type { Refusal, RunOutcome } from "../outcome.ts";
import type { FinishedRequest } from "../process/services.ts";
import type {
  RequestClass,
  Snapshot,
  UpstreamPool,
  Workspace,
} from "../version/records.ts";
import type { CallerSink } from "./caller_sink.ts";
import type { RequestStatus, RequestStepName } from "./request_status.ts";
import type { RequestServices } from "./request_services.ts";
import { RunPhases } from "./run_phases.ts";

/**
 * Steps whose lines name the fingerprint: with them the sendings of one request
 * are found, and what broke at a replica that ended.
 */
const FINGERPRINTED_STEPS: ReadonlySet<RequestStepName> = new Set([
  "arrived",
  "stream_broken",
]);

/** What a run begins with. */
export interface RunStart {
  requestId: RequestId;
  /** The same for each sending of the request. */
  fingerprint: RequestFingerprint;
  workspace: Workspace;
  requestClass: RequestClass;
  snapshot: Snapshot;
  /** `Clock.now()` at arrival. */
  arrivedAt: number;
  sink: CallerSink;
  /** False for work that may run at most once. */
  idempotent: boolean;
  /** Whether the claim on the id still stands; asked before each send. */
  isClaimStanding: () => boolean;
  /** Whether the caller took the id beforehand and so may ask again. */
  retainsAnswer: boolean;
  /** `Clock.now()` at which the caller leaves, if before the class's target. */
  deadlineAt?: number;
}

/** How a run ended. */
export type RunEnd =
  | { kind: "answered" }
  | { kind: "refused"; refusal: Refusal }
  | { kind: "cancelled" };

/** What targets are held against, in milliseconds. */
type RunTimes = Pick<
  FinishedRequest,
  "firstTokenMs" | "betweenTokensMs" | "totalMs"
>;

/** One admitted request, from its claim to its end. */
export class RequestRun {
  readonly services: RequestServices;
  readonly start: RunStart;
  /** `Clock.now()` at which the total target ends. */
  readonly deadlineAt: number;
  pool: UpstreamPool | undefined;
  upstream: VmId | undefined;
  /** Tokens that the caller has. */
  tokens = 0;
  /** Tokens that were generated and that no caller got. */
  wastedTokens = 0;
  readonly #phases: RunPhases;
  #mayHaveRun = false;
  #hasRun = false;
  #firstTokenAt: number | undefined;
  #lastTokenAt: number | undefined;
  #ended = false;

  constructor(services: RequestServices, start: RunStart) {
    this.services = services;
    this.start = start;
    this.deadlineAt = start.deadlineAt ??
      start.arrivedAt + start.requestClass.targets.totalMs;
    this.#phases = RunPhases.create(start.arrivedAt, (phase, ms) => {
      services.metrics.noteStep(start.requestClass.name, phase, ms);
    });
    services.requestStatuses.start(buildFate(services, start));
  }

  static create(services: RequestServices, start: RunStart): RequestRun {
    const run = new RequestRun(services, start);
    run.note("arrived");
    return run;
  }

  get id(): RequestId {
    return this.start.requestId;
  }

  /** Whether the total target has passed and a late answer has no use. */
  get isPastUse(): boolean {
    return !this.start.requestClass.lateIsUseful &&
      this.services.environment.clock.now() >= this.deadlineAt;
  }

  /** Takes a step into the fate record and the log. */
  note(
    step: RequestStepName,
    options: { peer?: string; detail?: string | undefined } = {},
  ): void {
    const { environment, requestStatuses: fates } = this.services;
    const now = environment.clock.now();
    const ageMs = Math.round(now - this.start.arrivedAt);
    this.#phases.noteStep(step, now);
    fates.note(this.id, { step, ageMs, ...options });
    environment.log.info("request_step", {
      request_id: this.id,
      step,
      age_ms: ageMs,
      fingerprint: FINGERPRINTED_STEPS.has(step)
        ? this.start.fingerprint
        : undefined,
      ...options,
    });
  }

  /** From here on bytes of the request may have reached an upstream. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  /** An upstream showed that it worked on the request. */
  noteRan(): void {
    this.#mayHaveRun = true;
    this.#hasRun = true;
  }

  /** Tokens on their way to the caller. */
  noteTokens(count: number): void {
    if (count === 0) return;
    const now = this.services.environment.clock.now();
    this.noteRan();
    if (this.#firstTokenAt === undefined) {
      this.#firstTokenAt = now;
      this.note("first_token", { peer: this.upstream });
    }
    this.#lastTokenAt = now;
    this.tokens += count;
  }

  /** Tokens of an answer that came in one piece: they tell no pace. */
  noteWhole(count: number): void {
    this.noteRan();
    this.tokens += count;
  }

  /** What can truthfully be said of the work so far. */
  getOutcome(): RunOutcome {
    if (this.#hasRun) return "ran";
    return this.#mayHaveRun ? "unknown" : "not_run";
  }

  /** Ends the account; the first call counts. */
  end(end: RunEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    const { claims, requestStatuses: fates } = this.services;
    const outcome = end.kind === "answered" ? "answered" : this.getOutcome();
    const code = match(end)
      .with({ kind: "answered" }, () => undefined)
      .with({ kind: "refused" }, ({ refusal }) => refusal.code)
      .with({ kind: "cancelled" }, () => "cancelled" as const)
      .exhaustive();
    const lastPhase = this.#phases.current;
    if (end.kind !== "answered") this.wastedTokens += this.tokens;
    this.note(end.kind, {
      detail: end.kind === "refused" ? end.refusal.message : undefined,
    });
    if (outcome === "unknown") {
      this.note("unknown", { detail: "An upstream may have done the work" });
    }
    fates.end(this.id, { outcome, code, tokens: this.tokens });
    claims.settleExecution(this.id, outcome);
    const figures = this.#buildFigures(end, lastPhase);
    if (isCounted(end)) this.services.metrics.noteFinished(figures);
    this.#writeFinished(figures, { outcome, code });
  }

  #writeFinished(
    figures: FinishedRequest,
    end: { outcome: RequestStatus["outcome"]; code: RequestStatus["code"] },
  ): void {
    const { environment } = this.services;
    // Where lines have to be left out, those of failures are kept longest.
    const level = figures.result === "refused" || figures.result === "lost"
      ? "warn"
      : "info";
    environment.log.write(level, "request_finished", {
      request_id: this.id,
      vm: environment.vm,
      incarnation: environment.incarnation,
      workspace: figures.workspace,
      class: figures.className,
      ...end,
      result: figures.result,
      step: figures.step,
      pool: figures.pool,
      upstream: figures.upstream,
      total_ms: Math.round(figures.totalMs),
      tokens: figures.tokens,
      wasted_tokens: figures.wastedTokens,
    });
  }

  #buildFigures(end: RunEnd, lastPhase: string): FinishedRequest {
    const now = this.services.environment.clock.now();
    const arrivedAt = this.start.arrivedAt;
    const firstTokenMs = this.#firstTokenAt === undefined
      ? undefined
      : this.#firstTokenAt - arrivedAt;
    const betweenTokensMs = this.#computeBetweenTokens();
    const times = { firstTokenMs, betweenTokensMs, totalMs: now - arrivedAt };
    return {
      requestId: this.id,
      workspace: this.start.workspace.name,
      className: this.start.requestClass.name,
      pool: this.pool?.name,
      upstream: this.upstream,
      result: this.#computeResult(end, times),
      step: end.kind === "refused" ? lastPhase : this.#phases.slowest,
      ...times,
      tokens: this.tokens,
      wastedTokens: this.wastedTokens,
    };
  }

  #computeBetweenTokens(): number | undefined {
    if (this.#firstTokenAt === undefined || this.tokens < 2) return undefined;
    return (this.#lastTokenAt! - this.#firstTokenAt) / (this.tokens - 1);
  }

  /** How the end counts against the class's objective. */
  #computeResult(end: RunEnd, times: RunTimes): FinishedRequest["result"] {
    return match(end)
      .returnType<FinishedRequest["result"]>()
      .with({ kind: "answered" }, () => this.#isMet(times) ? "met" : "late")
      .with({ kind: "cancelled" }, () => "cancelled")
      .with(
        { kind: "refused" },
        () => this.getOutcome() === "not_run" ? "refused" : "lost",
      )
      .exhaustive();
  }

  #isMet(times: RunTimes): boolean {
    const targets = this.start.requestClass.targets;
    return (times.firstTokenMs ?? 0) <= targets.firstTokenMs &&
      (times.betweenTokensMs ?? 0) <= targets.betweenTokensMs &&
      times.totalMs <= targets.totalMs;
  }
}

/** A caller's own mistake spends no one's error budget. */
function isCounted(end: RunEnd): boolean {
  if (end.kind !== "refused") return true;
  return match(end.refusal.code)
    .with(
      "bad_request",
      "unauthorized",
      "forbidden",
      "not_found",
      "payload_too_large",
      () => false,
    )
    .otherwise(() => true);
}

function buildFate(services: RequestServices, start: RunStart): RequestStatus {
  const { vm, clock } = services.environment;
  return {
    requestId: start.requestId,
    vm,
    workspace: start.workspace.name,
    className: start.requestClass.name,
    arrivedAt: new Date(clock.wallTime()).toISOString(),
    configVersion: start.snapshot.version,
    outcome: "running",
    code: undefined,
    steps: [],
    droppedSteps: 0,
    tokens: 0,
  };
}
