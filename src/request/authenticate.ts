/**
 * Finds the caller's workspace and the request class of a call.
 *
 * @module
 */
import { type ClassName, toId } from "../ids.ts";
import { RefusalError } from "../outcome.ts";
import { findWorkspaceByKey } from "../version/keys.ts";
import type { RequestClass, Snapshot, Workspace } from "../version/records.ts";

/** Selects the request class; without it the workspace's default applies. */
export const CLASS_HEADER = "x-request-class";
const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Finds the workspace of the caller's API key; throws `RefusalError`. */
export function checkCaller(
  snapshot: Snapshot,
  headers: Record<string, string>,
): Workspace {
  const key = BEARER_PATTERN.exec(headers["authorization"] ?? "")?.[1];
  const workspace = key === undefined
    ? undefined
    : findWorkspaceByKey(snapshot, key);
  if (workspace !== undefined) return workspace;
  throw new RefusalError({
    code: "unauthorized",
    message: key === undefined
      ? "Missing API key; expected Authorization: Bearer KEY"
      : "The API key belongs to no workspace",
    outcome: "not_run",
  });
}

/**
 * Finds the class of a request: the header's, else `fallback`, else the
 * workspace's default. Throws `RefusalError` if the workspace may not use it.
 */
export function chooseClass(
  snapshot: Snapshot,
  workspace: Workspace,
  options: { headers: Record<string, string>; fallback?: ClassName },
): RequestClass {
  const requested = options.headers[CLASS_HEADER];
  const name = requested !== undefined
    ? toId<ClassName>(requested)
    : options.fallback ?? workspace.defaultClass;
  const requestClass = snapshot.classes.get(name);
  if (workspace.classes.includes(name) && requestClass !== undefined) {
    return requestClass;
  }
  throw new RefusalError({
    code: "forbidden",
    message: `The workspace may not use the request class ${name}`,
    outcome: "not_run",
  });
}
