/**
 * A caller's request as the listener hands it over, whatever carried it.
 *
 * @module
 */
import type { CallerSink } from "./caller_sink.ts";

/** Names an id taken beforehand, and in answers the request's id. */
export const REQUEST_ID_HEADER = "x-request-id";

/** One request from a caller, read whole. */
export interface CallerRequest {
  method: string;
  /** The path as sent, still percent-encoded, without the query. */
  path: string;
  /** As sent, without its question mark; empty if there is none. */
  query: string;
  /** Header names are in lower case. */
  headers: Record<string, string>;
  /** Empty when there is none; bounded by the listener. */
  body: Uint8Array;
  remoteAddress: string;
  /** `Clock.now()` when the request's head was read. */
  arrivedAt: number;
}

/** Answers callers' requests. */
export abstract class CallerHandler {
  /** Writes the whole answer, or cuts it; never rejects. */
  abstract handle(request: CallerRequest, sink: CallerSink): Promise<void>;
}
