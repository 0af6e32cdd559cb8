/**
 * Streams that callers take up again after they broke.
 *
 * @module
 */
import { type RequestId, toId } from "../ids.ts";
import { type Refusal, RefusalError } from "../outcome.ts";
import type {
  StreamContent,
  StreamOrigin,
  StreamOriginSource,
} from "../process/stream_origin_source.ts";
import type { CheckedCall } from "./checked_call.ts";
import type { RoutedCall } from "./header_codec.ts";
import type { RequestExecution } from "./request_execution.ts";

/** Another VM may know more, or this one soon. */
const RETRY_AFTER_MS = 300;

/** An origin and how it is known: by which VM, or why. */
interface KnownOrigin {
  origin: StreamOrigin;
  knownBy: string;
}

/** Whether the call goes on with a stream of which its caller has events. */
export function isTakenUp({ route, call }: CheckedCall): boolean {
  return route.kind === "resumable_stream" &&
    (call.resumes !== undefined || call.lastEventId !== undefined);
}

/** What a stream's request asks for, by which it is known if nobody names it. */
export function buildStreamContent(
  { options }: RequestExecution,
  { prompt }: RoutedCall,
): StreamContent {
  return {
    fingerprint: options.fingerprint,
    parts: prompt?.parts.map(({ id }) => id) ?? [],
    promptTokens: prompt?.promptTokens ?? 0,
    maxTokens: prompt?.maxTokens ?? 0,
  };
}

/**
 * Finds where the stream began, which may be in one of several pools of the
 * route. Throws `RefusalError` (`not_run`) if nobody knows, or if the route does
 * not lead there any more.
 */
export async function findOrigin(
  execution: RequestExecution,
  checked: CheckedCall,
  streamOrigins: StreamOriginSource,
): Promise<StreamOrigin> {
  const { route, request } = checked;
  const passedOn = request.forwarded?.origin;
  const known = passedOn === undefined
    ? await fetchOrigin(execution, checked, streamOrigins)
    : { origin: passedOn, knownBy: "passed_on" };
  writeTakenUp(execution, checked, known);
  if (known === undefined) {
    throw createRefusal(
      "origin_unknown",
      "It is not known at which software version the stream began",
    );
  }
  const { origin } = known;
  const leadsThere = route.targets.some(({ pool, weight }) =>
    pool === origin.pool && weight > 0
  );
  if (!leadsThere) {
    throw createRefusal(
      "version_gone",
      `The route leads no more to pool ${origin.pool}, where the stream began`,
    );
  }
  return origin;
}

async function fetchOrigin(
  execution: RequestExecution,
  { request, route, call, workspace }: CheckedCall,
  streamOrigins: StreamOriginSource,
): Promise<KnownOrigin | undefined> {
  const [target, ...others] = route.targets;
  if (target === undefined) return undefined;
  const stream = call.resumes === undefined
    ? buildStreamContent(execution, call)
    : {
      workspace: workspace.name,
      requestId: toId<RequestId>(call.resumes),
    };
  const found = await streamOrigins.find(stream, {
    pool: target.pool,
    arrivedAt: request.arrivedAt,
    deadlineAt: execution.deadlineAt,
    signal: execution.signal,
  });
  // Which of several pools a stream began in follows from no version.
  const isGuess = found?.knownBy === "only_version" && others.length > 0;
  return isGuess ? undefined : found;
}

function writeTakenUp(
  { id, services }: RequestExecution,
  { call: { resumes, lastEventId } }: CheckedCall,
  known: KnownOrigin | undefined,
): void {
  services.environment.log.info("stream_taken_up", {
    request_id: id,
    resumes,
    last_event_id: lastEventId,
    pool: known?.origin.pool,
    version: known?.origin.version,
    known_by: known?.knownBy,
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
