/**
 * Base of routed calls, which are forwarded byte for byte in both directions.
 *
 * @module
 */
import type {
  CallTimeouts,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import type { HeldLease } from "../process/services.ts";
import type {
  StreamOrigin,
  StreamOriginSource,
} from "../process/stream_origin_source.ts";
import { findCommonRegions } from "../version/allowed_regions.ts";
import type { UpstreamPool } from "../version/records.ts";
import type { Route } from "../version/routes.ts";
import { isRepeatable } from "../version/routes.ts";
import { copyEndToEndHeaders } from "../connection/headers.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import { type CallerRequest, formatTarget } from "./caller_request.ts";
import {
  buildForwardedHeader,
  checkPeerRefusal,
  dropPeerHeaders,
} from "./forwarded_request.ts";
import type { RequestExecution } from "./request_execution.ts";
import type { HeaderCodec, RoutedCall } from "./header_codec.ts";
import {
  BrokenAnswerError,
  type LeaseRequirements,
  type RelayOptions,
  UpstreamWork,
  type WorkCall,
} from "./upstream_work.ts";

const SERVER_ERROR = 500;
/** Statuses that tell a caller that its request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** No further attempt is made with less time than this left. */
const MIN_ATTEMPT_MS = 50;

/** The input of a routed call's work. */
export interface RoutedWorkContext {
  execution: RequestExecution;
  request: CallerRequest;
  call: RoutedCall;
  route: Route;
  pool: UpstreamPool;
  priority: number;
  /** Its priority once it can no longer meet its target. */
  latePriority: number;
  isInteractive: boolean;
  headerCodec: HeaderCodec;
  streamOrigins: StreamOriginSource;
  /** Where the stream began, if the request takes one up. */
  origin: StreamOrigin | undefined;
}

/** Forwards a routed call or stream to one replica at a time. */
export abstract class RoutedWork extends UpstreamWork {
  protected readonly context: RoutedWorkContext;
  /** Sends that may reach an upstream, including the one in progress. */
  #sends = 0;

  constructor(context: RoutedWorkContext) {
    super();
    this.context = context;
  }

  override get pool(): UpstreamPool {
    return this.context.pool;
  }

  override get maxSends(): number {
    const { route, request } = this.context;
    const sendsLeft = request.forwarded?.sendsLeft ?? Infinity;
    return Math.min(route.maxSends, sendsLeft);
  }

  /** The last part belongs to the request or its session alone. */
  override listSharedParts(): string[] {
    const parts = this.context.call.prompt?.parts ?? [];
    return parts.slice(0, -1).map(({ id }) => id);
  }

  override buildLeaseRequirements(): LeaseRequirements {
    const { prompt } = this.context.call;
    const parts = prompt?.parts ?? [];
    return {
      model: undefined,
      adapter: undefined,
      promptTokens: prompt?.promptTokens ?? 0,
      maxTokens: prompt?.maxTokens ?? 0,
      expectedTokens: prompt?.expectedTokens,
      doneTokens: 0,
      prefixes: parts.map((part) => part.id),
      partTokens: parts.map((part) => part.tokens),
      isInteractive: this.context.isInteractive,
      firstOutputMs:
        this.context.execution.options.requestClass.targets.firstTokenMs,
      clientTimeoutMs: this.context.execution.options.requestClass.patienceMs,
      priority: this.context.priority,
      latePriority: this.context.latePriority,
      regions: findCommonRegions(
        this.context.route.allowedRegions,
        this.context.execution.options.workspace.allowedRegions,
      ),
      version: this.getOrigin()?.version,
    };
  }

  override buildCall(lease: HeldLease, sends: number): WorkCall {
    const { request } = this.context;
    const isForwarded = lease.peerTransport !== undefined;
    const headers = isForwarded
      ? this.#buildForwardedHeaders(sends)
      : this.#buildUpstreamHeaders(lease);
    this.#sends = isForwarded ? this.maxSends : sends + 1;
    return {
      method: request.method,
      path: formatTarget(request.path, request),
      host: request.headers["host"],
      headers,
      body: request.body,
    };
  }

  override endIncomplete(_refusal: Refusal): Promise<void> {
    return this.context.execution.options.sink.destroyWritten();
  }

  /** The id of the last event that the caller has received of a stream. */
  protected getLastEventId(): string | undefined {
    return this.context.call.lastEventId;
  }

  /** Where the stream began; undefined before its first event. */
  protected getOrigin(): StreamOrigin | undefined {
    return undefined;
  }

  #buildUpstreamHeaders(lease: HeldLease): Record<string, string> {
    const { execution, headerCodec, route } = this.context;
    return headerCodec.buildHeaders(this.#copyCallerHeaders(), {
      upstream: lease.upstream,
      workspace: route.isPublic ? undefined : execution.options.workspace.name,
      leftMs: this.#getWholeLeftMs(),
      priority: lease.priority,
      lastEventId: this.getLastEventId(),
      fetchFrom: lease.fetchFrom,
    });
  }

  #buildForwardedHeaders(sends: number): Record<string, string> {
    const { headerCodec } = this.context;
    const headers = headerCodec.buildForwardedHeaders(
      this.#copyCallerHeaders(),
      {
        leftMs: this.#getWholeLeftMs(),
        lastEventId: this.getLastEventId(),
      },
    );
    const sendsLeft = this.maxSends - sends;
    return { ...headers, ...buildForwardedHeader(sendsLeft, this.getOrigin()) };
  }

  #copyCallerHeaders(): Record<string, string> {
    const { request, headerCodec } = this.context;
    return copyEndToEndHeaders(request.headers, headerCodec.endToEndHeaders);
  }

  #getWholeLeftMs(): number {
    return Math.max(1, Math.floor(this.getLeftMs()));
  }

  /** Time until the caller's deadline, in milliseconds. */
  protected getLeftMs(): number {
    const { execution } = this.context;
    return execution.deadlineAt - execution.services.environment.clock.now();
  }

  /** Whether another attempt is allowed and has time to answer. */
  protected canSendAgain(): boolean {
    return isRepeatable(this.context.route.kind) &&
      this.#sends < this.maxSends && this.getLeftMs() > MIN_ATTEMPT_MS;
  }

  /**
   * Throws `BrokenAnswerError` if the answer must not be forwarded.
   *
   * Checks the request id because a replica may send a second answer late, in
   * place of the next one: a caller would receive another caller's answer. Sound
   * answers echo the id, so one without it is no answer to this request.
   * Throws `PeerRefusalError` if the VM that the request was passed on to
   * refused it.
   */
  protected checkHead(answer: UpstreamAnswer, options: RelayOptions): void {
    if (options.isForwarded) checkPeerRefusal(answer);
    const { execution, route, headerCodec } = this.context;
    const metadata = headerCodec.readAnswer(answer.status, answer.headers);
    if (metadata.requestId !== execution.id) {
      throw BrokenAnswerError.create("Answer of another request");
    }
    if (metadata.signals !== undefined) options.onSignals(metadata.signals);
    if (metadata.isNotExecuted) {
      throw new BrokenAnswerError(
        `Upstream answered ${answer.status} without running the request`,
        {
          notStarted: true,
        },
      );
    }
    execution.noteRan();
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (isSuccess && !metadata.isSigned) {
      throw BrokenAnswerError.create("Answer lacks the upstream's signature");
    }
    if (NOT_RUN_STATUSES.has(answer.status) && !isRepeatable(route.kind)) {
      // Forwarded unchanged, the status would say that the request did not run:
      // a caller that retries would run the work twice.
      throw BrokenAnswerError.create(`Upstream answered ${answer.status}`);
    }
    if (answer.status >= SERVER_ERROR && this.canSendAgain()) {
      throw BrokenAnswerError.create(`Upstream answered ${answer.status}`);
    }
  }

  /** Writes the answer's head unless it has been written. */
  protected writeHead(
    answer: UpstreamAnswer,
    headers: Record<string, string> = {},
  ): void {
    const { execution } = this.context;
    if (execution.options.sink.headWritten) return;
    execution.options.sink.writeHead(
      answer.status,
      buildAnswerHeaders(execution, {
        ...dropPeerHeaders(answer.headers),
        ...headers,
      }),
    );
  }

  abstract override computeTimeouts(leftMs: number): CallTimeouts;
  abstract override handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void>;
}
