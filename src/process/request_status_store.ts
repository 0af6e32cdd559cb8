/**
 * Stores the status of each request on this VM, up to a size limit.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { RequestStatus, RequestStep } from "../request/request_status.ts";

/** Limit on steps of one request; the first are kept as the most useful. */
const MAX_STEPS = 64;
const DEFAULT_MAX_RECORDS = 20_000;
const DEFAULT_MAX_BYTES = 32 * 1024 * 1024;
/** Approximate sizes in memory. */
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

/** Request statuses by id; the oldest finished ones are evicted first. */
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

  /** The number of records, running and finished. */
  get size(): number {
    return this.#running.size + this.#finished.size;
  }

  /** Approximate size of the records, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Starts a record. If the id has one from an earlier execution, its steps are
   * kept before the new ones.
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

  /** Adds a step; ignored if the id has no record. */
  note(requestId: RequestId, step: RequestStep): void {
    const entry = this.#running.get(requestId) ??
      this.#finished.get(requestId);
    if (entry === undefined) return;
    this.#addStep(entry, step);
    this.#dropOldest();
  }

  /** Ends a record; it is kept until it is evicted. */
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
