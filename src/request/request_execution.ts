/**
 * The execution of one request: its steps, tokens and outcome.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { RequestFingerprint, RequestId, VmId } from "../ids.ts";
import type { ExecutionOutcome, Refusal } from "../outcome.ts";
import type { RequestKeys } from "../process/crash_quarantine.ts";
import type { FinishedRequest } from "../process/services.ts";
import type {
  RequestClass,
  Snapshot,
  UpstreamPool,
  Workspace,
} from "../version/records.ts";
import type { CallerSink } from "./caller_sink.ts";
import type { StreamTruncation } from "./event_stream.ts";
import type { RequestStatus, RequestStepName } from "./request_status.ts";
import type { RequestServices } from "./request_services.ts";
import { RequestPhases } from "./request_phases.ts";

/**
 * Steps whose log lines include the fingerprint, so that all submissions of one
 * request, and the streams that broke when a replica crashed, can be found.
 */
const FINGERPRINTED_STEPS: ReadonlySet<RequestStepName> = new Set([
  "arrived",
  "stream_broken",
]);

/** The input of an execution. */
export interface ExecutionOptions {
  requestId: RequestId;
  /** The same for each submission of the request. */
  fingerprint: RequestFingerprint;
  workspace: Workspace;
  requestClass: RequestClass;
  snapshot: Snapshot;
  /** `Clock.now()` at arrival. */
  arrivedAt: number;
  sink: CallerSink;
  /** False if the work may run at most once. */
  idempotent: boolean;
  /** Whether it is a call, not a stream, that may run at most once. */
  isSingleCall?: boolean;
  /** Whether the claim on the id is still valid; checked before each send. */
  isClaimValid: () => boolean;
  /** Whether to retain the answer, because the caller may resubmit the id. */
  retainsAnswer: boolean;
  /** Whether another VM passed the request on to this one. */
  isForwarded?: boolean;
  /** `Clock.now()` at the caller's deadline, if before the class's target. */
  deadlineAt?: number;
}

/** How an execution ended. */
export type ExecutionResult =
  | { kind: "answered" }
  | { kind: "refused"; refusal: Refusal }
  | { kind: "cancelled" };

/** Times that are compared with the class's targets, in milliseconds. */
type MeasuredTimes = Pick<
  FinishedRequest,
  "firstTokenMs" | "betweenTokensMs" | "longestPauseMs" | "totalMs"
>;

/** One execution of a request, from its claim to its end. */
export class RequestExecution {
  readonly services: RequestServices;
  readonly options: ExecutionOptions;
  /** `Clock.now()` at the caller's deadline or the end of the total target. */
  readonly deadlineAt: number;
  /** Its parts are known once its work is. */
  keys: RequestKeys;
  pool: UpstreamPool | undefined;
  upstream: VmId | undefined;
  /** Whether an attempt was sent, whether its upstream ran it or not. */
  wasSent = false;
  /** Tokens that were sent to the caller. */
  tokens = 0;
  /** Tokens that were generated but not part of a complete answer. */
  wastedTokens = 0;
  readonly #phases: RequestPhases;
  readonly #aborter = new AbortController();
  #isCancelled = false;
  #mayHaveRun = false;
  #hasRun = false;
  #firstTokenAt: number | undefined;
  #lastTokenAt: number | undefined;
  #longestPauseMs: number | undefined;
  #ended = false;

  constructor(services: RequestServices, options: ExecutionOptions) {
    this.services = services;
    this.options = options;
    this.keys = { fingerprint: options.fingerprint, parts: [] };
    this.deadlineAt = options.deadlineAt ??
      options.arrivedAt + options.requestClass.targets.totalMs;
    this.#phases = RequestPhases.create(options.arrivedAt, (phase, ms) => {
      services.metrics.noteStep(options.requestClass.name, phase, ms);
    });
    services.requestStatuses.start(buildInitialStatus(services, options));
    const { signal } = options.sink;
    if (signal.aborted) this.#aborter.abort();
    else signal.addEventListener("abort", () => this.#aborter.abort());
  }

  static create(
    services: RequestServices,
    options: ExecutionOptions,
  ): RequestExecution {
    const execution = new RequestExecution(services, options);
    execution.note("arrived");
    return execution;
  }

  /** Aborts when the caller disconnects, or this VM ends its requests. */
  get signal(): AbortSignal {
    return this.#aborter.signal;
  }

  /** Whether this VM ended the request, for want of time. */
  get isCancelled(): boolean {
    return this.#isCancelled;
  }

  /** Ends the request; its caller gets a refusal if no answer has begun. */
  cancel(): void {
    this.#isCancelled = true;
    this.#aborter.abort();
  }

  get id(): RequestId {
    return this.options.requestId;
  }

  /** Whether the deadline has passed and a late answer is of no use. */
  get isTooLate(): boolean {
    return !this.options.requestClass.lateIsUseful &&
      this.services.environment.clock.now() >= this.deadlineAt;
  }

  /** Records a step in the request's status and in the log. */
  note(
    step: RequestStepName,
    options: { peer?: string; detail?: string | undefined } = {},
  ): void {
    const { environment, requestStatuses } = this.services;
    const now = environment.clock.now();
    const ageMs = Math.round(now - this.options.arrivedAt);
    this.#phases.noteStep(step, now);
    requestStatuses.note(this.id, { step, ageMs, ...options });
    environment.log.info("request_step", {
      request_id: this.id,
      step,
      age_ms: ageMs,
      fingerprint: FINGERPRINTED_STEPS.has(step)
        ? this.options.fingerprint
        : undefined,
      parts: step === "stream_broken" && this.keys.parts.length > 0
        ? this.keys.parts.join()
        : undefined,
      ...options,
    });
  }

  /** Call once bytes of the request may have reached an upstream. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  /** Call once an upstream has shown that it ran the request. */
  noteRan(): void {
    this.#mayHaveRun = true;
    this.#hasRun = true;
  }

  /** Records that the upstream broke its answer off and ended it in order. */
  noteTruncated({ events, detail }: StreamTruncation): void {
    const { environment, metrics } = this.services;
    metrics.noteTruncated(this.options.requestClass.name);
    environment.log.warn("answer_truncated", {
      request_id: this.id,
      upstream: this.upstream,
      events,
      detail,
    });
  }

  /** Counts tokens that are about to be sent to the caller. */
  noteTokens(count: number): void {
    if (count === 0) return;
    const now = this.services.environment.clock.now();
    this.noteRan();
    if (this.#firstTokenAt === undefined) {
      this.#firstTokenAt = now;
      this.note("first_token", { peer: this.upstream });
    }
    const pauseMs = now - (this.#lastTokenAt ?? now);
    this.#longestPauseMs = Math.max(this.#longestPauseMs ?? 0, pauseMs);
    this.#lastTokenAt = now;
    this.tokens += count;
  }

  /** Counts the tokens of a buffered answer, which have no token times. */
  noteBufferedAnswer(count: number): void {
    this.noteRan();
    this.tokens += count;
  }

  /** The outcome of all attempts so far, as far as it can be proven. */
  getOutcome(): ExecutionOutcome {
    if (this.#hasRun) return "ran";
    return this.#mayHaveRun ? "unknown" : "not_run";
  }

  /** Ends the execution; only the first call has an effect. */
  end(result: ExecutionResult): void {
    if (this.#ended) return;
    this.#ended = true;
    const { claims, requestStatuses } = this.services;
    const outcome = result.kind === "answered" ? "answered" : this.getOutcome();
    const code = match(result)
      .with({ kind: "answered" }, () => undefined)
      .with({ kind: "refused" }, ({ refusal }) => refusal.code)
      .with({ kind: "cancelled" }, () => "cancelled" as const)
      .exhaustive();
    const lastPhase = this.#phases.current;
    if (result.kind !== "answered") this.wastedTokens += this.tokens;
    this.note(result.kind, {
      detail: result.kind === "refused" ? result.refusal.message : undefined,
    });
    if (outcome === "unknown") {
      this.note("unknown", { detail: "An upstream may have run the request" });
    }
    requestStatuses.end(this.id, { outcome, code, tokens: this.tokens });
    claims.settleExecution(this.id, outcome);
    const finished = this.#buildFinished(result, lastPhase);
    // The VM that passed it on counts it.
    const isOwn = this.options.isForwarded !== true;
    if (isOwn && isCounted(result)) {
      this.services.metrics.noteFinished(finished);
    }
    if (isOwn && result.kind === "refused") {
      const { requestClass } = this.options;
      this.services.metrics.noteRefused(
        requestClass.name,
        result.refusal.code,
      );
    }
    this.#writeFinished(finished, { outcome, code });
  }

  #writeFinished(
    finished: FinishedRequest,
    end: { outcome: RequestStatus["outcome"]; code: RequestStatus["code"] },
  ): void {
    const { environment } = this.services;
    // When the log has to drop lines, it drops `warn` lines last.
    const level = finished.result === "refused" || finished.result === "lost"
      ? "warn"
      : "info";
    environment.log.write(level, "request_finished", {
      request_id: this.id,
      vm: environment.vm,
      incarnation: environment.incarnation,
      workspace: finished.workspace,
      class: finished.className,
      ...end,
      result: finished.result,
      step: finished.step,
      pool: finished.pool,
      upstream: finished.upstream,
      first_token_ms: finished.firstTokenMs &&
        Math.round(finished.firstTokenMs),
      longest_pause_ms: finished.longestPauseMs &&
        Math.round(finished.longestPauseMs),
      total_ms: Math.round(finished.totalMs),
      tokens: finished.tokens,
      wasted_tokens: finished.wastedTokens,
    });
  }

  #buildFinished(result: ExecutionResult, lastPhase: string): FinishedRequest {
    const now = this.services.environment.clock.now();
    const arrivedAt = this.options.arrivedAt;
    const firstTokenMs = this.#firstTokenAt === undefined
      ? undefined
      : this.#firstTokenAt - arrivedAt;
    const betweenTokensMs = this.#computeBetweenTokens();
    const times = {
      firstTokenMs,
      betweenTokensMs,
      longestPauseMs: this.#longestPauseMs,
      totalMs: now - arrivedAt,
    };
    return {
      requestId: this.id,
      workspace: this.options.workspace.name,
      className: this.options.requestClass.name,
      pool: this.pool?.name,
      upstream: this.upstream,
      result: this.#computeResult(result, times),
      step: result.kind === "refused" ? lastPhase : this.#phases.slowest,
      ...times,
      tokens: this.tokens,
      wastedTokens: this.wastedTokens,
    };
  }

  #computeBetweenTokens(): number | undefined {
    if (this.#firstTokenAt === undefined || this.tokens < 2) return undefined;
    return (this.#lastTokenAt! - this.#firstTokenAt) / (this.tokens - 1);
  }

  /** How the result counts towards the class's objective. */
  #computeResult(
    result: ExecutionResult,
    times: MeasuredTimes,
  ): FinishedRequest["result"] {
    return match(result)
      .returnType<FinishedRequest["result"]>()
      .with(
        { kind: "answered" },
        () => this.#isWithinTargets(times) ? "met" : "late",
      )
      .with({ kind: "cancelled" }, () => "cancelled")
      .with(
        { kind: "refused" },
        () => this.getOutcome() === "not_run" ? "refused" : "lost",
      )
      .exhaustive();
  }

  #isWithinTargets(times: MeasuredTimes): boolean {
    const targets = this.options.requestClass.targets;
    const answerMs = times.firstTokenMs === undefined ? times.totalMs : 0;
    return (times.firstTokenMs ?? 0) <= targets.firstTokenMs &&
      (times.betweenTokensMs ?? 0) <= targets.betweenTokensMs &&
      (times.longestPauseMs ?? 0) <= (targets.longestPauseMs ?? Infinity) &&
      answerMs <= (targets.answerMs ?? Infinity) &&
      times.totalMs <= targets.totalMs;
  }
}

/** A refusal caused by the caller's own error spends no error budget. */
function isCounted(result: ExecutionResult): boolean {
  if (result.kind !== "refused") return true;
  return match(result.refusal.code)
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

function buildInitialStatus(
  services: RequestServices,
  options: ExecutionOptions,
): RequestStatus {
  const { vm, clock } = services.environment;
  return {
    requestId: options.requestId,
    vm,
    workspace: options.workspace.name,
    className: options.requestClass.name,
    arrivedAt: new Date(clock.wallTime()).toISOString(),
    configVersion: options.snapshot.version,
    outcome: "running",
    code: undefined,
    steps: [],
    droppedSteps: 0,
    tokens: 0,
  };
}
