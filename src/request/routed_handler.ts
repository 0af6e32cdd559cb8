/**
 * Handles routed calls: finds route, workspace and class, and runs the work.
 *
 * @module
 */
import { match } from "ts-pattern";
import { getRefusalKind, writeRefusal } from "../connection/refusal_body.ts";
import { toError } from "../errors.ts";
import { type RequestId, toId, type WorkspaceName } from "../ids.ts";
import { type Refusal, RefusalError } from "../outcome.ts";
import type { DrainAdmission } from "../process/drain_admission.ts";
import type { StreamOriginSource } from "../process/stream_origin_source.ts";
import type { Workspace } from "../version/records.ts";
import {
  chooseTarget,
  isRepeatable,
  type Route,
  type RoutedSnapshot,
} from "../version/routes.ts";
import { checkCaller } from "./authenticate.ts";
import { CallerHandler, type CallerRequest } from "./caller_request.ts";
import type { CallerSink } from "./caller_sink.ts";
import type { CheckedCall } from "./checked_call.ts";
import { buildRefusalHeader } from "./forwarded_request.ts";
import { computeFingerprint, readHost } from "./request_fingerprint.ts";
import { RequestExecution } from "./request_execution.ts";
import type { RequestServices } from "./request_services.ts";
import { type CheckedWork, runExecution } from "./request_task.ts";
import { RoutedCallWork } from "./routed_call_work.ts";
import type { HeaderCodec } from "./header_codec.ts";
import { findOrigin, isTakenUp } from "./taken_up_stream.ts";
import { ResumableStreamWork } from "./resumable_stream_work.ts";
import { SingleStreamWork } from "./single_stream_work.ts";
import type { RoutedWork, RoutedWorkContext } from "./routed_work.ts";

const NOT_READY_RETRY_MS = 300;
const MS_PER_SECOND = 1_000;
const SERVICE_UNAVAILABLE = 503;
const UPSTREAM_STATUSES: ReadonlySet<number> = new Set([500, 502, 504]);

/** The workspace of calls on routes that need no API key. */
const PUBLIC_WORKSPACE: Workspace = {
  kind: "workspace",
  name: toId<WorkspaceName>("public"),
  keyHashes: [],
  defaultClass: toId("public"),
  classes: [],
  weight: 1,
  limits: { requestsPerMinute: Infinity, tokensPerMinute: Infinity },
  objectives: {},
};

/** Options of a `RoutedHandler`. */
export interface RoutedHandlerOptions {
  services: RequestServices;
  getSnapshot: () => RoutedSnapshot | undefined;
  admission: DrainAdmission;
  /** Resolves once the snapshot is the newest, as far as this VM can tell. */
  waitForFreshState: () => Promise<void>;
  headerCodec: HeaderCodec;
  streamOrigins: StreamOriginSource;
}

/** Handles callers' requests on a VM that is configured with routes. */
export class RoutedHandler extends CallerHandler {
  readonly #options: RoutedHandlerOptions;
  readonly #running = new Set<RequestExecution>();

  constructor(options: RoutedHandlerOptions) {
    super();
    this.#options = options;
  }

  static create(options: RoutedHandlerOptions): RoutedHandler {
    return new RoutedHandler(options);
  }

  override async handle(
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void> {
    try {
      await this.#options.waitForFreshState();
      await this.#run(this.#check(request, sink));
    } catch (thrown) {
      const requestId = this.#findRequestId(request);
      const refusal = this.#toRefusal(thrown, request.path, requestId);
      const { isDraining } = this.#options.services;
      await writeRefusal(sink, refusal, {
        requestId,
        ...buildRoutedRefusal(refusal, isDraining()),
      });
    }
  }

  /** Ends all requests: refuses those whose answers have not begun. */
  cancelAll(): void {
    for (const execution of this.#running) execution.cancel();
  }

  #check(request: CallerRequest, sink: CallerSink): CheckedCall {
    const snapshot = this.#options.getSnapshot();
    if (snapshot === undefined) throw createNotReady();
    const route = snapshot.routes.findRoute(readHost(request), request.path);
    if (route === undefined) {
      throw createNotRun("not_found", "No route matches the host and path");
    }
    const workspace = route.isPublic
      ? PUBLIC_WORKSPACE
      : checkCaller(snapshot, request.headers);
    const call = this.#options.headerCodec.readCall(request.headers);
    if (call.requestId === undefined) {
      throw createNotRun("bad_request", "Missing request id");
    }
    const requestId = toId<RequestId>(call.requestId);
    return { request, sink, snapshot, route, workspace, call, requestId };
  }

  async #run(checked: CheckedCall): Promise<void> {
    const { request, route, snapshot, call } = checked;
    const requestClass = snapshot.classes.get(route.className);
    if (requestClass === undefined) {
      throw createNotRun(
        "internal",
        `The configuration has no request class ${route.className}`,
      );
    }
    const timeoutMs = Math.min(
      call.timeoutMs ?? Infinity,
      requestClass.targets.totalMs,
    );
    const { admission, services } = this.#options;
    const { className } = route;
    const { arrivedAt } = request;
    const deadlineAt = arrivedAt + timeoutMs;
    const isSingleCall = route.kind === "single_call";
    const unsent = { className, arrivedAt, deadlineAt, isSingleCall };
    if (!admission.canTake(unsent)) {
      admission.noteRefused();
      throw createDraining(admission.computeRetryMs());
    }
    const execution = RequestExecution.create(services, {
      requestId: checked.requestId,
      fingerprint: computeFingerprint(request, checked.workspace.name),
      workspace: checked.workspace,
      requestClass,
      snapshot,
      arrivedAt,
      deadlineAt,
      sink: checked.sink,
      idempotent: isRepeatable(route.kind),
      isSingleCall,
      isClaimValid: () => true,
      retainsAnswer: false,
      isForwarded: request.forwarded !== undefined,
    });
    const isAnswered = await this.#runExecution(execution, checked);
    if (!isAnswered) return;
    const { clock } = services.environment;
    admission.noteAnswered(className, clock.now() - arrivedAt);
  }

  /** Resolves to whether the caller was sent the whole answer. */
  async #runExecution(
    execution: RequestExecution,
    checked: CheckedCall,
  ): Promise<boolean> {
    this.#running.add(execution);
    try {
      return await runExecution(
        execution,
        () => this.#buildWork(execution, checked),
      );
    } finally {
      this.#running.delete(execution);
    }
  }

  async #buildWork(
    execution: RequestExecution,
    checked: CheckedCall,
  ): Promise<CheckedWork> {
    const { request, route, snapshot, call, workspace } = checked;
    const { streamOrigins, services } = this.#options;
    const origin = isTakenUp(checked)
      ? await findOrigin(execution, checked, streamOrigins)
      : undefined;
    const poolName = origin?.pool ??
      chooseTarget(route.targets, services.environment.random.next())?.pool;
    const pool = poolName && snapshot.pools.get(poolName);
    if (pool === undefined) {
      throw createNotRun(
        "no_upstream",
        "The configuration has no pool for the route's service",
      );
    }
    const work = createWork(route, {
      execution,
      request,
      call,
      route,
      pool,
      priority: snapshot.ranks.getRank(workspace, route),
      latePriority: snapshot.ranks.getLateRank(route),
      isInteractive: snapshot.interactiveClasses.has(route.className),
      headerCodec: this.#options.headerCodec,
      streamOrigins,
      origin,
    });
    const promptTokens = call.prompt?.promptTokens ?? 0;
    const expectedTokens = call.prompt?.maxTokens ?? 0;
    return { work, promptTokens, expectedTokens };
  }

  #findRequestId(request: CallerRequest): RequestId | undefined {
    const { requestId } = this.#options.headerCodec.readCall(request.headers);
    return requestId === undefined ? undefined : toId<RequestId>(requestId);
  }

  #toRefusal(
    thrown: unknown,
    path: string,
    request_id: RequestId | undefined,
  ): Refusal {
    const { log } = this.#options.services.environment;
    if (thrown instanceof RefusalError) {
      const { code, outcome, message } = thrown.refusal;
      log.info("request_refused", {
        request_id,
        path,
        code,
        outcome,
        detail: message,
      });
      return thrown.refusal;
    }
    const error = toError(thrown);
    log.error("request_failed", {
      request_id,
      error: error.stack ?? error.message,
    });
    return {
      code: "internal",
      message: "Internal error in the router",
      outcome: "unknown",
    };
  }
}

/**
 * Chooses status and headers of a routed refusal. Callers of routes read no
 * bodies, so the status alone has to say whether the request ran: 500, 502 and
 * 504 become 503, which they may retry, if it certainly did not run; 503 and
 * 429 become 502 if it may have run. `retry-after` may be a fraction of a
 * second. A VM that drains takes no more requests on the connection.
 */
export function buildRoutedRefusal(
  refusal: Refusal,
  isDraining: boolean,
): { status: number; headers: Record<string, string> } {
  const { status } = getRefusalKind(refusal.code);
  const isNotRun = refusal.outcome === "not_run";
  const headers = buildRefusalHeader(refusal);
  if (isDraining) headers["connection"] = "close";
  if (refusal.retryAfterMs !== undefined && isNotRun) {
    headers["retry-after"] = String(refusal.retryAfterMs / MS_PER_SECOND);
  }
  if (isNotRun && UPSTREAM_STATUSES.has(status)) {
    return { status: SERVICE_UNAVAILABLE, headers };
  }
  const isNotRunStatus = status === SERVICE_UNAVAILABLE || status === 429;
  return { status: isNotRunStatus && !isNotRun ? 502 : status, headers };
}

function createWork(route: Route, context: RoutedWorkContext): RoutedWork {
  return match(route.kind)
    .returnType<RoutedWork>()
    .with(
      "idempotent_call",
      "single_call",
      () => RoutedCallWork.create(context),
    )
    .with("single_stream", () => SingleStreamWork.create(context))
    .with("resumable_stream", () => ResumableStreamWork.create(context))
    .exhaustive();
}

function createNotReady(): RefusalError {
  return new RefusalError({
    code: "not_ready",
    message: "This VM has no configuration yet",
    outcome: "not_run",
    retryAfterMs: NOT_READY_RETRY_MS,
  });
}

function createDraining(retryAfterMs: number): RefusalError {
  return new RefusalError({
    code: "draining",
    message: "This VM ends before it can finish the request",
    outcome: "not_run",
    isUnsent: true,
    retryAfterMs,
  });
}

function createNotRun(code: Refusal["code"], message: string): RefusalError {
  return new RefusalError({ code, message, outcome: "not_run" });
}
