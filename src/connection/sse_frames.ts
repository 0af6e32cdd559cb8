/**
 * Splits a stream of server-sent events at event boundaries without parsing
 * the events.
 *
 * @module
 */
import type { EventSourceMessage } from "eventsource-parser";
import { createParser } from "eventsource-parser";
import { StepError } from "../errors.ts";

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
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
  #pending: Buffer = Buffer.alloc(0);
  #pendingLength = 0;
  /** Offset in the pending bytes from which to search for a blank line. */
  #searchFrom = 0;
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

  /** Number of bytes of the incomplete event at the end. */
  get pendingBytes(): number {
    return this.#pendingLength;
  }

  /**
   * Adds a chunk and returns the events that it completes, possibly none. A
   * chunk of complete events is returned without a copy. Throws `StepError` if
   * an event exceeds the size limit.
   */
  push(chunk: Uint8Array): SseFrame {
    const bytes = this.#pendingLength === 0
      ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
      : this.#addPending(chunk);
    const found = this.#findEvents(bytes);
    this.#setPending(bytes, found.end);
    const whole = found.end === bytes.length
      ? bytes
      : bytes.subarray(0, found.end);
    return { bytes: whole, events: found.events };
  }

  #findEvents(bytes: Buffer): { end: number; events: number } {
    let end = 0;
    let events = 0;
    let newline = bytes.indexOf(LF, this.#searchFrom);
    while (newline >= 0) {
      const blank = findBlankLineEnd(bytes, newline);
      if (blank > 0) {
        if (bytes[end] !== COLON && newline > end) events += 1;
        if (blank - end <= MAX_DONE_BYTES) this.#checkDone(bytes, end, blank);
        end = blank;
      }
      newline = bytes.indexOf(LF, blank > 0 ? blank : newline + 1);
    }
    return { end, events };
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
      this.#searchFrom = 0;
      return;
    }
    if (end > 0 || this.#pendingLength === 0) {
      // The returned frame may be a view of the old buffer.
      const copy = Buffer.allocUnsafe(Math.max(INITIAL_PENDING_BYTES, rest));
      bytes.copy(copy, 0, end);
      this.#pending = copy;
    }
    this.#pendingLength = rest;
    // The next chunk may complete a blank line: search the last two bytes again.
    this.#searchFrom = Math.max(0, rest - 2);
  }
}

/** Parses the events of a frame, to read ids and usage, not to forward them. */
export function parseEvents(bytes: Uint8Array): EventSourceMessage[] {
  const events: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => events.push(event) });
  parser.feed(new TextDecoder().decode(bytes));
  return events;
}

/** Parses the only event in `bytes`; undefined for a comment. */
export function parseEvent(bytes: Uint8Array): EventSourceMessage | undefined {
  return parseEvents(bytes)[0];
}

/** The index after the blank line that follows `newline`; 0 if there is none. */
function findBlankLineEnd(bytes: Buffer, newline: number): number {
  const next = bytes[newline + 1];
  if (next === LF) return newline + 2;
  if (next === CR && bytes[newline + 2] === LF) return newline + 3;
  return 0;
}
