/**
 * A routed call: passed to one replica, and its answer back, byte for byte.
 *
 * @module
 */
import type {
  CallLimits,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import type { HeldLease } from "../process/services.ts";
import { findCommonRegions } from "../version/allowed_regions.ts";
import type { UpstreamPool } from "../version/records.ts";
import type { Route } from "../version/routes.ts";
import { isRepeatable } from "../version/routes.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { RequestRun } from "./request_run.ts";
import type { HeaderCodec, RoutedCall } from "./header_codec.ts";
import {
  BrokenAnswerError,
  type LeaseNeeds,
  type RelayOptions,
  UpstreamWork,
  type WorkCall,
} from "./upstream_work.ts";

const SERVER_ERROR = 500;
/** Statuses that promise a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A try for which less is left is not worth a replica's time. */
const LEAST_TRY_MS = 50;

/** What a routed call begins with. */
export interface RoutedWorkStart {
  run: RequestRun;
  request: CallerRequest;
  call: RoutedCall;
  route: Route;
  pool: UpstreamPool;
  priority: number;
  /** Its priority while it can not be in time any more. */
  latePriority: number;
  isInteractive: boolean;
  dialect: HeaderCodec;
}

/** What routed calls and streams have in common. */
export abstract class RoutedWork extends UpstreamWork {
  protected readonly start: RoutedWorkStart;
  #sends = 0;

  constructor(start: RoutedWorkStart) {
    super();
    this.start = start;
  }

  override get pool(): UpstreamPool {
    return this.start.pool;
  }

  override get maxSends(): number {
    return this.start.route.maxSends;
  }

  override buildLeaseNeeds(): LeaseNeeds {
    const { prompt } = this.start.call;
    const parts = prompt?.parts ?? [];
    return {
      model: undefined,
      adapter: undefined,
      promptTokens: prompt?.promptTokens ?? 0,
      maxTokens: prompt?.maxTokens ?? 0,
      doneTokens: 0,
      prefixes: parts.map((part) => part.id),
      partTokens: parts.map((part) => part.tokens),
      isInteractive: this.start.isInteractive,
      firstOutputMs: this.start.run.start.requestClass.targets.firstTokenMs,
      clientTimeoutMs: this.start.run.start.requestClass.patienceMs,
      priority: this.start.priority,
      latePriority: this.start.latePriority,
      regions: findCommonRegions(
        this.start.route.allowedRegions,
        this.start.run.start.workspace.allowedRegions,
      ),
    };
  }

  override buildCall(lease: HeldLease): WorkCall {
    const { request, run, dialect, route } = this.start;
    this.#sends += 1;
    return {
      method: request.method,
      path: request.query === ""
        ? request.path
        : `${request.path}?${request.query}`,
      host: request.headers["host"],
      headers: dialect.buildHeaders(request.headers, {
        upstream: lease.upstream,
        workspace: route.isPublic ? undefined : run.start.workspace.name,
        leftMs: Math.max(1, Math.floor(this.getLeftMs())),
        priority: lease.priority,
        lastEventId: this.getLastEventId(),
        fetchFrom: lease.fetchFrom,
      }),
      body: request.body,
    };
  }

  override async endCut(_refusal: Refusal): Promise<void> {
    await Promise.resolve();
    this.start.run.start.sink.destroy();
  }

  /** The last event that the caller has, for a stream that goes on. */
  protected getLastEventId(): string | undefined {
    return this.start.call.lastEventId;
  }

  /** Time until the caller's deadline, in milliseconds. */
  protected getLeftMs(): number {
    const { run } = this.start;
    return run.deadlineAt - run.services.environment.clock.now();
  }

  /** Whether one more send could still give the caller its answer. */
  protected canSendAgain(): boolean {
    return isRepeatable(this.start.route.kind) &&
      this.#sends < this.maxSends && this.getLeftMs() > LEAST_TRY_MS;
  }

  /**
   * Throws where an answer is not this request's, or is not to be passed on.
   *
   * A replica may send a second answer late, where the next one is expected:
   * without the check of the id, a caller would get another caller's answer.
   */
  protected checkHead(answer: UpstreamAnswer, options: RelayOptions): void {
    const { run, route, dialect } = this.start;
    const facts = dialect.readAnswer(answer.status, answer.headers);
    const isOther = facts.requestId !== undefined &&
      facts.requestId !== run.id;
    if (isOther) throw BrokenAnswerError.create("Answer of another request");
    if (facts.signals !== undefined) options.onSignals(facts.signals);
    if (facts.isNotExecuted) {
      throw new BrokenAnswerError(`Upstream refused with ${answer.status}`, {
        notStarted: true,
      });
    }
    run.noteRan();
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (isSuccess && !facts.isSigned) {
      throw BrokenAnswerError.create("Answer is not signed by its upstream");
    }
    if (NOT_RUN_STATUSES.has(answer.status) && !isRepeatable(route.kind)) {
      // Passed on as it is, the status would tell the caller that nothing
      // ran, and a caller that believed it would do the work twice.
      throw BrokenAnswerError.create(`Upstream failed with ${answer.status}`);
    }
    if (answer.status >= SERVER_ERROR && this.canSendAgain()) {
      throw BrokenAnswerError.create(`Upstream failed with ${answer.status}`);
    }
  }

  /** Writes the head of the answer, once. */
  protected writeHead(
    answer: UpstreamAnswer,
    headers: Record<string, string> = {},
  ): void {
    const { run } = this.start;
    if (run.start.sink.headWritten) return;
    run.start.sink.writeHead(
      answer.status,
      buildAnswerHeaders(run, { ...answer.headers, ...headers }),
    );
  }

  abstract override computeLimits(leftMs: number): CallLimits;
  abstract override handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void>;
}
