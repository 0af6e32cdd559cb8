/**
 * The events in a run of whole ones, each with its bytes as sent.
 *
 * @module
 */
import { parseEvent } from "../connection/sse_frames.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const DATA_PREFIX = "data: ";
/** The line feeds that end an event of one line. */
const END_LENGTH = 2;

/** One whole event. */
export interface SseEvent {
  /** The bytes as they came, with the blank line that ends them. */
  raw: Uint8Array;
  /** Undefined for a block of comments. */
  data: string | undefined;
}

/** Splits what `SseFramer.push` gave, which ends at an event's end. */
export function listEvents(frame: Uint8Array): SseEvent[] {
  const bytes = Buffer.from(frame.buffer, frame.byteOffset, frame.byteLength);
  const events: SseEvent[] = [];
  let start = 0;
  while (start < bytes.length) {
    const raw = bytes.subarray(start, findEnd(bytes, start));
    events.push({ raw, data: readData(raw) });
    start += raw.length;
  }
  return events;
}

/**
 * Reads an event's data. Nearly all events are one line of data and need no
 * parser, which would cost more than the rest of a token's way.
 */
function readData(raw: Buffer): string | undefined {
  const text = raw.toString("utf8");
  const isOneLine = text.startsWith(DATA_PREFIX) &&
    text.indexOf("\n") === text.length - END_LENGTH && !text.includes("\r");
  if (isOneLine) return text.slice(DATA_PREFIX.length, -END_LENGTH);
  return parseEvent(raw)?.data;
}

/** The index after the blank line that ends the event at `start`. */
function findEnd(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(LINE_FEED, start);
  while (at >= 0) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return bytes.length;
}
