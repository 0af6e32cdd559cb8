/**
 * What a listener hands on: one caller's request, read whole.
 *
 * @module
 */
import type { CallerSink } from "../request/caller_sink.ts";

/** A request as the caller sent it. */
export interface CallerRequest {
  method: string;
  /** The path as sent, without the query. */
  path: string;
  /** The query as sent, without its question mark; empty if there is none. */
  query: string;
  /** Names in lower case; repeated headers are joined by commas. */
  headers: Record<string, string>;
  body: Uint8Array;
  remoteAddress: string;
  /** `Clock.now()` when the head was read. */
  arrivedAt: number;
}

/** What answers callers' requests. */
export abstract class CallerHandler {
  /**
   * Answers one request through `sink`. A `RefusalError` thrown before the
   * head is written becomes the answer; any other error becomes an
   * `internal` refusal of unknown outcome. After the head, both cut the answer.
   */
  abstract handle(request: CallerRequest, sink: CallerSink): Promise<void>;
}
