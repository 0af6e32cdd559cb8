/**
 * Answers that are streams of events, and whether they are whole.
 *
 * @module
 */
import { SseBoundary } from "../connection/sse_boundary.ts";
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";

const EVENT_STREAM = "text/event-stream";

/** What shows that a stream was broken off. */
export interface StreamTruncation {
  /** Complete events before the break. */
  events: number;
  /** Why the stream cannot be whole. */
  detail: string;
}

/** How a stream that ended in order was framed. */
export interface StreamEnd {
  /** Whether it had neither a length nor chunks. */
  isCloseDelimited?: boolean;
  /** Whether it is the rest of a stream of which the caller has events. */
  isResumed: boolean;
}

/**
 * Whether an answer on a streaming route is a stream of events: it says so, or
 * is a success that names no type. Encoded bytes cannot be read as events.
 */
export function isEventStream({ status, headers }: UpstreamAnswer): boolean {
  if (headers["content-encoding"] !== undefined) return false;
  const type = headers["content-type"];
  if (type === undefined) return status >= 200 && status < 300;
  return type.split(";")[0]!.trim().toLowerCase() === EVENT_STREAM;
}

/**
 * Finds whether a stream whose connection or framing ended in order has been
 * broken off; undefined if it is whole. It is broken off if it ended within an
 * event. Without an event, only a length or chunks show that nothing is missing;
 * the rest of a stream may be empty.
 */
export function findTruncation(
  boundary: SseBoundary,
  { isCloseDelimited = false, isResumed }: StreamEnd,
): StreamTruncation | undefined {
  const { events, isBetweenEvents } = boundary;
  if (!isBetweenEvents) return { events, detail: "within an event" };
  if (events === 0 && isCloseDelimited && !isResumed) {
    return { events, detail: "before its first event" };
  }
  return undefined;
}
