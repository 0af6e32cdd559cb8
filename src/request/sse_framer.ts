/**
 * Splits an event stream into whole events and keeps their bytes as sent.
 *
 * @module
 */
import { createParser, type EventSourceParser } from "eventsource-parser";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const MAX_EVENT_BYTES = 1024 * 1024;
const EMPTY = Buffer.alloc(0);

/** One whole event. */
export interface SseEvent {
  /** The bytes as they came, with the blank line that ends them. */
  raw: Uint8Array;
  /** Undefined for a block of comments. */
  data: string | undefined;
}

/** Frames one stream; a cut event at the end is never given out. */
export class SseFramer {
  readonly #parser: EventSourceParser;
  #rest: Buffer = EMPTY;
  #data: string | undefined;

  constructor() {
    this.#parser = createParser({
      onEvent: (event) => {
        this.#data = event.data;
      },
    });
  }

  static create(): SseFramer {
    return new SseFramer();
  }

  /** The whole events so far; throws when one grows past its bound. */
  push(bytes: Uint8Array): SseEvent[] {
    const chunk = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    let rest = this.#rest.length > 0
      ? Buffer.concat([this.#rest, chunk])
      : chunk;
    const events: SseEvent[] = [];
    for (let end = findEnd(rest); end > 0; end = findEnd(rest)) {
      events.push(this.#parse(rest.subarray(0, end)));
      rest = rest.subarray(end);
    }
    if (rest.length > MAX_EVENT_BYTES) throw new Error("Event is too large");
    this.#rest = rest;
    return events;
  }

  #parse(raw: Buffer): SseEvent {
    this.#data = undefined;
    this.#parser.feed(raw.toString("utf8"));
    return { raw, data: this.#data };
  }
}

/** The index after the first blank line, or -1. */
function findEnd(bytes: Buffer): number {
  let at = bytes.indexOf(LINE_FEED);
  while (at >= 0) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}
