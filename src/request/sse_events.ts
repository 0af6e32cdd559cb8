/**
 * Splits complete server-sent events, keeping the bytes of each as sent.
 *
 * @module
 */
import { SseBoundary } from "../connection/sse_boundary.ts";
import { parseEvent } from "../connection/sse_frames.ts";

const DATA_PREFIX = "data: ";
/** Length of the two line feeds that end a one-line event. */
const END_LENGTH = 2;

/** One complete event. */
export interface SseEvent {
  /** The bytes as received, including the blank line at the end. */
  raw: Uint8Array;
  /** Undefined for a block that consists of comments. */
  data: string | undefined;
}

/** Splits a frame of `SseFramer.push`, which holds complete events only. */
export function listEvents(frame: Uint8Array): SseEvent[] {
  const bytes = Buffer.from(frame.buffer, frame.byteOffset, frame.byteLength);
  const events: SseEvent[] = [];
  const boundary = SseBoundary.create();
  let start = 0;
  while (start < bytes.length) {
    const end = boundary.findNext(bytes, start);
    const raw = bytes.subarray(start, end);
    events.push({ raw, data: readData(raw) });
    start += raw.length;
  }
  return events;
}

/**
 * Reads an event's data. Nearly all events are a single `data` line; parsing
 * them in full would cost more than the rest of the processing of a token.
 */
function readData(raw: Buffer): string | undefined {
  const text = raw.toString("utf8");
  const isOneLine = text.startsWith(DATA_PREFIX) &&
    text.indexOf("\n") === text.length - END_LENGTH && !text.includes("\r");
  if (isOneLine) return text.slice(DATA_PREFIX.length, -END_LENGTH);
  return parseEvent(raw)?.data;
}
