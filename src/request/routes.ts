/**
 * The callers' API: maps methods and paths to endpoints.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import { type PoolName, type RequestId, toId } from "../ids.ts";

const STATUS_PATTERN = /^\/v1\/requests\/([^/]+)$/;
const SERVICE_PATTERN = /^\/services\/([^/]+)(\/.*)?$/;

/** An endpoint of the callers' API, with its path parameters. */
export type Route =
  | { kind: "entries" }
  | { kind: "models" }
  | { kind: "issue_id" }
  | { kind: "request_status"; requestId: RequestId }
  | { kind: "completion"; path: string }
  /** `path` is the path after the pool's name, as sent. */
  | { kind: "service"; pool: PoolName; path: string }
  | { kind: "none" };

/** Finds the endpoint of a request; kind `none` if there is none. */
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
  const id = method === "GET" ? STATUS_PATTERN.exec(path)?.[1] : undefined;
  const requestId = decodePart(id);
  if (requestId !== undefined) {
    return { kind: "request_status", requestId: toId<RequestId>(requestId) };
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
