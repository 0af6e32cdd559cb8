/**
 * Splits a stream of server-sent events at event boundaries without parsing
 * the events.
 *
 * @module
 */
import type { EventSourceMessage } from "eventsource-parser";
import { createParser } from "eventsource-parser";
import { StepError } from "../errors.ts";
import { SseBoundary } from "./sse_boundary.ts";

const INITIAL_PENDING_BYTES = 1_024;
const MAX_EVENT_BYTES = 262_144;
const MAX_DONE_BYTES = 20;
const DONE = /^data: ?\[DONE\]\s*$/;

/** Complete events of a chunk. */
export interface SseFrame {
  /** The bytes of the events as received, blank lines included. */
  bytes: Uint8Array;
  /** Number of events in `bytes`; comments do not count. */
  events: number;
}

/** Splits chunks into complete events; one instance per stream. */
export class SseFramer {
  readonly #maxEventBytes: number;
  readonly #boundary = SseBoundary.create();
  #pending: Buffer = Buffer.alloc(0);
  #pendingLength = 0;
  #hasDone = false;

  constructor(maxEventBytes: number) {
    this.#maxEventBytes = maxEventBytes;
  }

  static create(options: { maxEventBytes?: number } = {}): SseFramer {
    return new SseFramer(options.maxEventBytes ?? MAX_EVENT_BYTES);
  }

  /** Whether `data: [DONE]`, which ends a complete answer, was received. */
  get hasDoneMarker(): boolean {
    return this.#hasDone;
  }

  /** Where the stream stands after all chunks. */
  get boundary(): SseBoundary {
    return this.#boundary;
  }

  /** Number of bytes after the last complete event. */
  get pendingBytes(): number {
    return this.#pendingLength;
  }

  /** The bytes after the last complete event. */
  getPending(): Uint8Array {
    return this.#pending.subarray(0, this.#pendingLength);
  }

  /**
   * Adds a chunk and returns the events that it completes, possibly none. A
   * chunk of complete events is returned without a copy. Throws `StepError` if
   * an event exceeds the size limit.
   */
  push(chunk: Uint8Array): SseFrame {
    const searchFrom = this.#pendingLength;
    const bytes = searchFrom === 0
      ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
      : this.#addPending(chunk);
    const eventsBefore = this.#boundary.events;
    const end = this.#findEnd(bytes, searchFrom);
    this.#setPending(bytes, end);
    const whole = end === bytes.length ? bytes : bytes.subarray(0, end);
    return { bytes: whole, events: this.#boundary.events - eventsBefore };
  }

  /** The index after the last event that ends in `bytes`; 0 for none. */
  #findEnd(bytes: Buffer, searchFrom: number): number {
    let end = 0;
    let next = this.#boundary.findNext(bytes, searchFrom);
    while (next !== undefined) {
      if (next - end <= MAX_DONE_BYTES) this.#checkDone(bytes, end, next);
      end = next;
      next = this.#boundary.findNext(bytes, end);
    }
    return end;
  }

  #checkDone(bytes: Buffer, start: number, end: number): void {
    if (DONE.test(bytes.toString("latin1", start, end))) this.#hasDone = true;
  }

  /** Appends a chunk to the pending bytes, in a buffer that doubles. */
  #addPending(chunk: Uint8Array): Buffer {
    const length = this.#pendingLength + chunk.length;
    if (length > this.#pending.length) {
      const larger = Buffer.allocUnsafe(
        Math.max(length, 2 * this.#pending.length),
      );
      this.#pending.copy(larger, 0, 0, this.#pendingLength);
      this.#pending = larger;
    }
    this.#pending.set(chunk, this.#pendingLength);
    return this.#pending.subarray(0, length);
  }

  #setPending(bytes: Buffer, end: number): void {
    const rest = bytes.length - end;
    if (rest > this.#maxEventBytes) {
      throw new StepError(
        { step: "read_events" },
        "Server-sent event exceeds the size limit",
      );
    }
    if (rest === 0) {
      this.#pendingLength = 0;
      return;
    }
    if (end > 0 || this.#pendingLength === 0) {
      // The returned frame may be a view of the old buffer.
      const copy = Buffer.allocUnsafe(Math.max(INITIAL_PENDING_BYTES, rest));
      bytes.copy(copy, 0, end);
      this.#pending = copy;
    }
    this.#pendingLength = rest;
  }
}

/** Parses the events of a frame, to read ids and usage, not to forward them. */
export function parseEvents(bytes: Uint8Array): EventSourceMessage[] {
  const events: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => events.push(event) });
  const text = new TextDecoder().decode(bytes);
  // The parser waits for what follows a CR at the end.
  parser.feed(text.endsWith("\r") ? `${text}\n` : text);
  return events;
}

/** Parses the only event in `bytes`; undefined for a comment. */
export function parseEvent(bytes: Uint8Array): EventSourceMessage | undefined {
  return parseEvents(bytes)[0];
}
