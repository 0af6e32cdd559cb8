/**
 * Headers between a VM that passes a request on and the VM that runs it.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import {
  type ExecutionOutcome,
  type Refusal,
  REFUSAL_CODES,
  type RefusalCode,
  RefusalError,
} from "../outcome.ts";
import type { StreamOrigin } from "../process/stream_origin_source.ts";
import {
  type AnyId,
  type PoolName,
  type SoftwareVersion,
  toId,
} from "../ids.ts";
import type { CallerRequest } from "./caller_request.ts";

/** Sends of the request that may still reach an upstream. */
const SENDS_LEFT_HEADER = "persimmonslip-sends-left";
/** `POOL/VERSION` that a stream began at, each URI-encoded. */
const ORIGIN_HEADER = "persimmonslip-origin";
/** Software version of the replica that answers, URI-encoded. */
const VERSION_HEADER = "persimmonslip-version";
/** `CODE OUTCOME` of the VM's own refusals; with `UNSENT` if nothing was sent. */
const REFUSAL_HEADER = "persimmonslip-refusal";
const UNSENT = "unsent";
const MS_PER_SECOND = 1_000;
const OUTCOMES: readonly string[] = ["not_run", "ran", "unknown"];
/** Codes of a VM that could not reach a replica either, or ends soon. */
const UNREACHED_CODES: ReadonlySet<RefusalCode> = new Set([
  "draining",
  "upstream_failed",
  "no_upstream",
]);

/** A refusal by the VM to which a request was passed on. */
export class PeerRefusalError extends RefusalError {
  /** Whether yet another VM may reach a replica. */
  get canTryElsewhere(): boolean {
    const { outcome, code, isUnsent = false } = this.refusal;
    return outcome === "not_run" && isUnsent && UNREACHED_CODES.has(code);
  }
}

/** Builds the headers that a request is passed on with. */
export function buildForwardedHeader(
  sendsLeft: number,
  origin?: StreamOrigin,
): Record<string, string> {
  const headers = { [SENDS_LEFT_HEADER]: String(sendsLeft) };
  if (origin === undefined) return headers;
  const parts = [origin.pool, origin.version].map(encodeURIComponent);
  return { ...headers, [ORIGIN_HEADER]: parts.join("/") };
}

/** Builds the header by which another VM knows the replica's version. */
export function buildVersionHeader(
  version: SoftwareVersion | undefined,
): Record<string, string> {
  return version === undefined
    ? {}
    : { [VERSION_HEADER]: encodeURIComponent(version) };
}

/** The version of the replica that answered another VM, if that one said it. */
export function readVersion(
  { headers }: Pick<UpstreamAnswer, "headers">,
): SoftwareVersion | undefined {
  const text = headers[VERSION_HEADER];
  return text === undefined ? undefined : decodePart<SoftwareVersion>(text);
}

/** Builds the header by which another VM knows a refusal. */
export function buildRefusalHeader(
  { code, outcome, isUnsent = false }: Refusal,
): Record<string, string> {
  const parts = [code, outcome, ...(isUnsent ? [UNSENT] : [])];
  return { [REFUSAL_HEADER]: parts.join(" ") };
}

/**
 * Reads a request that another VM passed on; undefined if it is none. The
 * result has the caller's headers only.
 */
export function readForwarded(
  request: CallerRequest,
): CallerRequest | undefined {
  const {
    [SENDS_LEFT_HEADER]: text,
    [ORIGIN_HEADER]: originText,
    ...headers
  } = request.headers;
  const sendsLeft = Number(text);
  if (!Number.isInteger(sendsLeft) || sendsLeft < 1) return undefined;
  const origin = parseOrigin(originText);
  return { ...request, headers, forwarded: { sendsLeft, origin } };
}

/** Throws `PeerRefusalError` if another VM refused the request. */
export function checkPeerRefusal(
  { status, headers }: Pick<UpstreamAnswer, "status" | "headers">,
): void {
  const [code, outcome, sent] = headers[REFUSAL_HEADER]?.split(" ") ?? [];
  const known = REFUSAL_CODES.find((each) => each === code);
  if (known === undefined || !OUTCOMES.includes(outcome ?? "")) return;
  const retryAfterMs = MS_PER_SECOND * Number(headers["retry-after"]);
  throw new PeerRefusalError({
    code: known,
    message: `Another VM refused the request with ${status}`,
    outcome: outcome as ExecutionOutcome,
    isUnsent: sent === UNSENT,
    ...(Number.isFinite(retryAfterMs) ? { retryAfterMs } : {}),
  });
}

/** The headers without those between VMs, which a replica may not set. */
export function dropPeerHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const {
    [REFUSAL_HEADER]: _refusal,
    [VERSION_HEADER]: _version,
    ...others
  } = headers;
  return others;
}

function parseOrigin(text: string | undefined): StreamOrigin | undefined {
  const [pool, version, ...more] = text?.split("/") ?? [];
  if (!pool || version === undefined || more.length > 0) return undefined;
  const origin = {
    pool: decodePart<PoolName>(pool),
    version: decodePart<SoftwareVersion>(version),
  };
  return origin.pool === undefined || origin.version === undefined
    ? undefined
    : { pool: origin.pool, version: origin.version };
}

/** Undefined if the text is not URI-encoded. */
function decodePart<T extends AnyId>(text: string): T | undefined {
  try {
    return toId<T>(decodeURIComponent(text));
  } catch {
    return undefined;
  }
}
