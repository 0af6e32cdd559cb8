/**
 * Which call a method and a path mean.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import { type PoolName, type RequestId, toId } from "../ids.ts";

const FATE_PATTERN = /^\/v1\/requests\/([^/]+)$/;
const SERVICE_PATTERN = /^\/services\/([^/]+)(\/.*)?$/;

/** One of the calls that callers may make. */
export type Route =
  | { kind: "entries" }
  | { kind: "models" }
  | { kind: "issue_id" }
  | { kind: "fate"; requestId: RequestId }
  | { kind: "completion"; path: string }
  /** `path` is the part after the pool, as sent. */
  | { kind: "service"; pool: PoolName; path: string }
  | { kind: "none" };

/** Finds the call that a request means. */
export function parseRoute(method: string, path: string): Route {
  return match<[string, string], Route>([method, path])
    .with(["GET", "/v1/entries"], () => ({ kind: "entries" }))
    .with(["GET", "/v1/models"], () => ({ kind: "models" }))
    .with(["POST", "/v1/requests"], () => ({ kind: "issue_id" }))
    .with(
      ["POST", P.union("/v1/chat/completions", "/v1/completions")],
      ([, completionPath]) => ({ kind: "completion", path: completionPath }),
    )
    .otherwise(() => parseNamedRoute(method, path));
}

function parseNamedRoute(method: string, path: string): Route {
  const id = method === "GET" ? FATE_PATTERN.exec(path)?.[1] : undefined;
  const requestId = decodePart(id);
  if (requestId !== undefined) {
    return { kind: "fate", requestId: toId<RequestId>(requestId) };
  }
  const service = SERVICE_PATTERN.exec(path);
  const pool = decodePart(service?.[1]);
  if (pool === undefined) return { kind: "none" };
  return {
    kind: "service",
    pool: toId<PoolName>(pool),
    path: service?.[2] ?? "/",
  };
}

function decodePart(part: string | undefined): string | undefined {
  if (part === undefined) return undefined;
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
