/**
 * A hash that stays the same when a caller repeats a request.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type RequestFingerprint, toId, type WorkspaceName } from "../ids.ts";
import type { CallerRequest } from "./caller_request.ts";

/** 64 bits: an accidental collision of two requests is negligible. */
const HEX_DIGITS = 16;
const PORT_SUFFIX = /:\d+$/;
/** Occurs in none of the fields before the body. */
const SEPARATOR = "\0";

/** The `host` header in lower case, without the port. */
export function readHost(request: Pick<CallerRequest, "headers">): string {
  return (request.headers["host"] ?? "").toLowerCase()
    .replace(PORT_SUFFIX, "");
}

/** A short hash of method, host, path, query, caller and body. */
export function computeFingerprint(
  request: Pick<
    CallerRequest,
    "method" | "headers" | "path" | "query" | "body"
  >,
  workspace: WorkspaceName,
): RequestFingerprint {
  const { method, path, query, body } = request;
  const fields = [method, readHost(request), path, query, workspace, ""];
  const hash = createHash("sha256")
    .update(fields.join(SEPARATOR))
    .update(body)
    .digest("hex");
  return toId<RequestFingerprint>(hash.slice(0, HEX_DIGITS));
}
