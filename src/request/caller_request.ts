/**
 * A caller's request, independent of the transport that it arrived on.
 *
 * @module
 */
import type { StreamOrigin } from "../process/stream_origin_source.ts";
import type { CallerSink } from "./caller_sink.ts";

/** In requests an id from `POST /v1/requests`; in answers the request's id. */
export const REQUEST_ID_HEADER = "x-request-id";

/** One request of a caller, with its complete body. */
export interface CallerRequest {
  method: string;
  /** The path as sent: percent-encoded, without the query. */
  path: string;
  /** The query as sent, without the question mark; empty if there is none. */
  query: string;
  /** Whether the target has a question mark and nothing after it. */
  hasEmptyQuery?: boolean;
  /** By lower-case name. */
  headers: Record<string, string>;
  /** Empty if there is none; the listener limits its size. */
  body: Uint8Array;
  remoteAddress: string;
  /** `Clock.now()` when the request's head had been read. */
  arrivedAt: number;
  /** Set if another VM passed the request on to this one. */
  forwarded?: ForwardedLimits;
}

/** What is left of a request that was passed on. */
export interface ForwardedLimits {
  /** Sends that may still reach an upstream. */
  sendsLeft: number;
  /** Where the stream began, if the request takes one up. */
  origin?: StreamOrigin | undefined;
}

/** The target of a request: `path`, and the query as the caller sent it. */
export function formatTarget(
  path: string,
  { query, hasEmptyQuery = false }: CallerRequest,
): string {
  return query === "" && !hasEmptyQuery ? path : `${path}?${query}`;
}

/** Handles callers' requests. */
export abstract class CallerHandler {
  /** Writes the complete answer or destroys the sink; never rejects. */
  abstract handle(request: CallerRequest, sink: CallerSink): Promise<void>;
}
