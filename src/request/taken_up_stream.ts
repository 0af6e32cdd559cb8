/**
 * Streams that callers take up again after they broke.
 *
 * @module
 */
import { type RequestId, toId } from "../ids.ts";
import { type Refusal, RefusalError } from "../outcome.ts";
import type {
  FoundOrigin,
  StreamOrigin,
  StreamOriginSource,
} from "../process/services.ts";
import type { Workspace } from "../version/records.ts";
import type { Route, RoutedSnapshot } from "../version/routes.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerSink } from "./caller_sink.ts";
import type { RoutedCall } from "./header_codec.ts";
import type { RequestExecution } from "./request_execution.ts";

/** Another VM may know more, or this one soon. */
const RETRY_AFTER_MS = 300;

/** A call with its route and its authenticated caller. */
export interface CheckedCall {
  request: CallerRequest;
  sink: CallerSink;
  snapshot: RoutedSnapshot;
  route: Route;
  workspace: Workspace;
  call: RoutedCall;
  requestId: RequestId;
}

/** Whether the call goes on with a stream of which its caller has events. */
export function isTakenUp({ route, call }: CheckedCall): boolean {
  return route.kind === "resumable_stream" &&
    (call.resumes !== undefined || call.lastEventId !== undefined);
}

/**
 * Finds where the stream began, which may be in one of several pools of the
 * route. Throws `RefusalError` (`not_run`) if nobody knows, or if the route does
 * not lead there any more.
 */
export async function findOrigin(
  execution: RequestExecution,
  { request, route, call, workspace }: CheckedCall,
  streamOrigins: StreamOriginSource,
): Promise<StreamOrigin> {
  const targets = route.targets.filter(({ weight }) => weight > 0);
  const [target, ...others] = targets;
  if (target === undefined) {
    throw createRefusal("no_upstream", "The route leads to no pool");
  }
  const stream = call.resumes === undefined ? undefined : {
    workspace: workspace.name,
    requestId: toId<RequestId>(call.resumes),
  };
  const found = await findByCaller(request, () =>
    streamOrigins.find(stream, {
      pool: target.pool,
      arrivedAt: request.arrivedAt,
      deadlineAt: execution.deadlineAt,
      signal: execution.options.sink.signal,
    }));
  writeTakenUp(execution, call, found);
  // Which of several pools a stream began in follows from no version.
  const isCertain = others.length === 0 || found?.knownBy !== "only_version";
  if (found === undefined || !isCertain) {
    throw createRefusal(
      "origin_unknown",
      "It is not known at which software version the stream began",
    );
  }
  if (!targets.some(({ pool }) => pool === found.origin.pool)) {
    throw createRefusal(
      "version_gone",
      `The route leads no more to pool ${found.origin.pool}, where the ` +
        "stream began",
    );
  }
  return found.origin;
}

/** The origin that another VM passed on, or what `find` resolves to. */
async function findByCaller(
  { forwarded }: CallerRequest,
  find: () => Promise<FoundOrigin | undefined>,
): Promise<Pick<FoundOrigin, "origin"> & { knownBy: string } | undefined> {
  return forwarded?.origin === undefined
    ? await find()
    : { origin: forwarded.origin, knownBy: "passed_on" };
}

function writeTakenUp(
  { id, services }: RequestExecution,
  { resumes, lastEventId }: RoutedCall,
  found: { origin: StreamOrigin; knownBy: string } | undefined,
): void {
  services.environment.log.info("stream_taken_up", {
    request_id: id,
    resumes,
    last_event_id: lastEventId,
    pool: found?.origin.pool,
    version: found?.origin.version,
    known_by: found?.knownBy,
  });
}

function createRefusal(code: Refusal["code"], message: string): RefusalError {
  return new RefusalError({
    code,
    message,
    outcome: "not_run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
