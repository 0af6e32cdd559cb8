/**
 * A bounded store of what became of each request on this VM.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { RequestStatus, RequestStep } from "../request/request_status.ts";

/** Steps kept for one request; the first ones tell the most. */
const MAX_STEPS = 64;
const DEFAULT_MAX_RECORDS = 20_000;
const DEFAULT_MAX_BYTES = 32 * 1024 * 1024;
/** Rough sizes in the process's memory. */
const RECORD_BYTES = 600;
const STEP_BYTES = 96;

/** How a request ended. */
export interface RequestEnd {
  outcome: RequestStatus["outcome"];
  code: RequestStatus["code"];
  tokens: number;
}

interface Entry {
  record: RequestStatus;
  bytes: number;
}

/** Fate records by request id; the oldest finished ones go first. */
export class RequestStatusStore {
  readonly #maxRecords: number;
  readonly #maxBytes: number;
  readonly #running = new Map<RequestId, Entry>();
  readonly #finished = new Map<RequestId, Entry>();
  #bytes = 0;

  constructor(maxRecords: number, maxBytes: number) {
    this.#maxRecords = maxRecords;
    this.#maxBytes = maxBytes;
  }

  static create(
    options: { maxRecords?: number; maxBytes?: number } = {},
  ): RequestStatusStore {
    return new RequestStatusStore(
      options.maxRecords ?? DEFAULT_MAX_RECORDS,
      options.maxBytes ?? DEFAULT_MAX_BYTES,
    );
  }

  /** Records held, running and finished. */
  get size(): number {
    return this.#running.size + this.#finished.size;
  }

  /** A rough count of the bytes held. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Begins a record. Where the id ran before (and did not run to an end), the
   * earlier steps are kept before the new ones.
   */
  start(record: RequestStatus): void {
    const earlier = this.find(record.requestId);
    this.#remove(record.requestId);
    const entry: Entry = {
      record: {
        ...record,
        steps: [],
        droppedSteps: earlier?.droppedSteps ?? 0,
      },
      bytes: RECORD_BYTES,
    };
    this.#running.set(record.requestId, entry);
    this.#bytes += entry.bytes;
    const steps = [...(earlier?.steps ?? []), ...record.steps];
    steps.forEach((step) => this.#addStep(entry, step));
    this.#dropOldest();
  }

  /** Adds a step; an id that is not held is ignored. */
  note(requestId: RequestId, step: RequestStep): void {
    const entry = this.#running.get(requestId) ??
      this.#finished.get(requestId);
    if (entry === undefined) return;
    this.#addStep(entry, step);
    this.#dropOldest();
  }

  /** Ends a record; it is kept until its room is needed. */
  end(requestId: RequestId, end: RequestEnd): void {
    const entry = this.#running.get(requestId);
    if (entry === undefined) return;
    Object.assign(entry.record, end);
    this.#running.delete(requestId);
    this.#finished.set(requestId, entry);
  }

  find(requestId: RequestId): RequestStatus | undefined {
    const entry = this.#running.get(requestId) ??
      this.#finished.get(requestId);
    return entry?.record;
  }

  #addStep(entry: Entry, step: RequestStep): void {
    if (entry.record.steps.length >= MAX_STEPS) {
      entry.record.droppedSteps++;
      return;
    }
    entry.record.steps.push(step);
    const bytes = STEP_BYTES + (step.detail?.length ?? 0) +
      (step.peer?.length ?? 0);
    entry.bytes += bytes;
    this.#bytes += bytes;
  }

  #dropOldest(): void {
    while (this.size > this.#maxRecords || this.#bytes > this.#maxBytes) {
      const oldest = this.#finished.keys().next().value ??
        this.#running.keys().next().value;
      if (oldest === undefined) return;
      this.#remove(oldest);
    }
  }

  #remove(requestId: RequestId): void {
    const entry = this.#running.get(requestId) ??
      this.#finished.get(requestId);
    if (entry === undefined) return;
    this.#running.delete(requestId);
    this.#finished.delete(requestId);
    this.#bytes -= entry.bytes;
  }
}
