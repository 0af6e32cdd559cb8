/**
 * Collects one VM's statistics for the error budget report, in bounded memory.
 *
 * @module
 */
import type { ClassName, WorkspaceName } from "../ids.ts";
import {
  buildBuckets,
  type BurnCause,
  type BurnCounts,
  type BurnEntry,
  type BurnSeries,
  COARSE_BUCKET_MS,
  COARSE_BUCKETS,
  compareCauses,
  createCounts,
  createSeries,
  FINE_BUCKET_MS,
  FINE_BUCKETS,
  MAX_EXAMPLES,
} from "./burn_stats.ts";
import type { Clock } from "./clock.ts";
import type { FinishedRequest } from "./services.ts";
import { SlidingHistogram } from "./sliding_histogram.ts";

/** Maximum number of stored counts, about 20 MB. */
const MAX_COUNTS = 100_000;
/** Maximum number of `EntryState` objects, a few tens of kilobytes each. */
const MAX_ENTRIES = 1_000;
/** Maximum number of causes per entry. */
const MAX_CAUSES = 32;
const OTHER_CAUSE = "other";
/** Few, long slots: each histogram takes a few kilobytes. */
const HISTOGRAM_SLOT_MS = 1_200_000;
const HISTOGRAM_SLOTS = 3;
const COARSE_SLOTS_PER_HOUR = 12;

/** Counts by time slot and entry. */
class TimeSlots {
  readonly #widthMs: number;
  readonly #depth: number;
  readonly #slots = new Map<number, Map<EntryState, BurnCounts>>();
  #size = 0;
  /** Oldest slot whose counts are complete. */
  #oldestComplete = -Infinity;

  constructor(widthMs: number, depth: number) {
    this.#widthMs = widthMs;
    this.#depth = depth;
  }

  get size(): number {
    return this.#size;
  }

  add(entry: EntryState, request: { result: Result; now: number }): void {
    const slot = this.getSlot(request.now);
    this.dropOld(request.now);
    const row = this.#slots.get(slot) ?? new Map<EntryState, BurnCounts>();
    this.#slots.set(slot, row);
    let counts = row.get(entry);
    if (counts === undefined) {
      counts = createCounts();
      row.set(entry, counts);
      this.#size++;
    }
    counts[request.result]++;
  }

  getSlot(now: number): number {
    return Math.floor(now / this.#widthMs);
  }

  /** Drops the slots that are older than the retention period. */
  dropOld(now: number): void {
    const oldest = this.getSlot(now) - this.#depth;
    for (const slot of this.#slots.keys()) {
      // The map's keys are in order of time.
      if (slot > oldest) return;
      this.#dropSlot(slot);
    }
  }

  /** Drops the oldest slot; false if it is the only one, which is kept. */
  dropOldest(): boolean {
    const [slot] = this.#slots.keys();
    if (slot === undefined || this.#slots.size === 1) return false;
    this.#dropSlot(slot);
    return true;
  }

  /**
   * How far back the counts are complete, in milliseconds. Periods without
   * requests count as complete.
   */
  getReach(now: number, startedAt: number): number {
    const inDepth = this.getSlot(now) - this.#depth + 1;
    const oldest = Math.max(this.#oldestComplete, inDepth);
    return now - Math.max(startedAt, oldest * this.#widthMs);
  }

  /** Collects each entry's counts by age in slots. */
  collect(now: number): Map<EntryState, Map<number, BurnCounts>> {
    const current = this.getSlot(now);
    const byEntry = new Map<EntryState, Map<number, BurnCounts>>();
    for (const [slot, row] of this.#slots) {
      for (const [entry, counts] of row) {
        const byAgo = byEntry.get(entry) ?? new Map<number, BurnCounts>();
        byAgo.set(current - slot, counts);
        byEntry.set(entry, byAgo);
      }
    }
    return byEntry;
  }

  #dropSlot(slot: number): void {
    this.#size -= this.#slots.get(slot)?.size ?? 0;
    this.#slots.delete(slot);
    this.#oldestComplete = slot + 1;
  }
}

type Result = FinishedRequest["result"];

/** A cause and its recent counts. */
interface CauseState {
  cause: BurnCause;
  /** Counts by coarse slot, of the last hour only. */
  recent: Map<number, number>;
}

/** Statistics of one class of one workspace. */
interface EntryState {
  workspace: WorkspaceName;
  className: ClassName;
  causes: Map<string, CauseState>;
  firstToken: SlidingHistogram;
  total: SlidingHistogram;
  tokens: number;
  wastedTokens: number;
}

/** Records finished requests. */
export class BurnRecorder {
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #entries = new Map<string, EntryState>();
  readonly #fine = new TimeSlots(FINE_BUCKET_MS, FINE_BUCKETS);
  readonly #coarse = new TimeSlots(COARSE_BUCKET_MS, COARSE_BUCKETS);

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
  }

  static create(clock: Clock): BurnRecorder {
    return new BurnRecorder(clock);
  }

  record(request: FinishedRequest): void {
    const now = this.#clock.now();
    const entry = this.#findEntry(request);
    this.#fine.add(entry, { result: request.result, now });
    this.#coarse.add(entry, { result: request.result, now });
    this.#dropExcess();
    entry.tokens += request.tokens;
    entry.wastedTokens += request.wastedTokens;
    if (request.firstTokenMs !== undefined) {
      entry.firstToken.record(request.firstTokenMs);
    }
    if (request.result === "met" || request.result === "late") {
      entry.total.record(request.totalMs);
    }
    this.#recordCause(entry, request);
  }

  /** Collects all statistics in a form that can be sent and merged. */
  collect(): BurnSeries {
    const now = this.#clock.now();
    this.#fine.dropOld(now);
    this.#coarse.dropOld(now);
    const fine = this.#fine.collect(now);
    const coarse = this.#coarse.collect(now);
    return {
      ...createSeries(),
      gatheredMs: now - this.#startedAt,
      reachMs: this.#coarse.getReach(now, this.#startedAt),
      fineReachMs: this.#fine.getReach(now, this.#startedAt),
      phaseMs: now % COARSE_BUCKET_MS,
      entries: [...this.#entries.values()].map((entry): BurnEntry => ({
        workspace: entry.workspace,
        className: entry.className,
        fine: buildBuckets(FINE_BUCKET_MS, fine.get(entry) ?? new Map()),
        coarse: buildBuckets(COARSE_BUCKET_MS, coarse.get(entry) ?? new Map()),
        causes: this.#collectCauses(entry),
        firstToken: entry.firstToken.collect().encode(),
        total: entry.total.collect().encode(),
        tokens: entry.tokens,
        wastedTokens: entry.wastedTokens,
      })),
    };
  }

  #findEntry(request: FinishedRequest): EntryState {
    const { workspace, className } = request;
    const key = JSON.stringify([workspace, className]);
    const known = this.#entries.get(key);
    if (known !== undefined) {
      // In order of last use, so that the least recently used is evicted.
      this.#entries.delete(key);
      this.#entries.set(key, known);
      return known;
    }
    if (this.#entries.size >= MAX_ENTRIES) {
      const [oldest] = this.#entries.keys();
      this.#entries.delete(oldest!);
    }
    const entry = this.#createEntry(workspace, className);
    this.#entries.set(key, entry);
    return entry;
  }

  #createEntry(workspace: WorkspaceName, className: ClassName): EntryState {
    const window = {
      clock: this.#clock,
      slotMs: HISTOGRAM_SLOT_MS,
      slots: HISTOGRAM_SLOTS,
    };
    return {
      workspace,
      className,
      causes: new Map(),
      firstToken: SlidingHistogram.create(window),
      total: SlidingHistogram.create(window),
      tokens: 0,
      wastedTokens: 0,
    };
  }

  /** Bounds memory: many workspaces over three days would exhaust it. */
  #dropExcess(): void {
    while (this.#fine.size + this.#coarse.size > MAX_COUNTS) {
      const slots = this.#coarse.size > this.#fine.size
        ? this.#coarse
        : this.#fine;
      if (!slots.dropOldest()) return;
    }
  }

  #recordCause(entry: EntryState, request: FinishedRequest): void {
    const { result } = request;
    if (result === "met" || result === "cancelled") return;
    const state = this.#findCause(entry, { ...request, result });
    const slot = this.#coarse.getSlot(this.#clock.now());
    this.#dropOldCounts(state, slot);
    state.recent.set(slot, (state.recent.get(slot) ?? 0) + 1);
    state.cause.total++;
    state.cause.examples = [
      request.requestId,
      ...state.cause.examples,
    ].slice(0, MAX_EXAMPLES);
  }

  #findCause(
    entry: EntryState,
    request: FinishedRequest & { result: BurnCause["result"] },
  ): CauseState {
    const isFull = entry.causes.size >= MAX_CAUSES;
    const { result } = request;
    const exact = {
      step: request.step,
      pool: String(request.pool ?? ""),
      upstream: String(request.upstream ?? ""),
    };
    const other = { step: OTHER_CAUSE, pool: "", upstream: "" };
    const exactKey = JSON.stringify([result, exact]);
    const isKnown = entry.causes.has(exactKey);
    const place = isKnown || !isFull ? exact : other;
    const key = JSON.stringify([result, place]);
    const known = entry.causes.get(key);
    if (known !== undefined) return known;
    const cause = { result, ...place, lastHour: 0, total: 0, examples: [] };
    const state = { cause, recent: new Map<number, number>() };
    entry.causes.set(key, state);
    return state;
  }

  #collectCauses(entry: EntryState): BurnCause[] {
    const slot = this.#coarse.getSlot(this.#clock.now());
    return [...entry.causes.values()].map((state) => {
      this.#dropOldCounts(state, slot);
      let lastHour = 0;
      for (const count of state.recent.values()) lastHour += count;
      return { ...state.cause, lastHour };
    }).sort(compareCauses);
  }

  #dropOldCounts(state: CauseState, slot: number): void {
    for (const old of state.recent.keys()) {
      if (old <= slot - COARSE_SLOTS_PER_HOUR) state.recent.delete(old);
    }
  }
}
