/**
 * Gathers one VM's figures for the report on service-level burn, in memory of a
 * fixed bound.
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

/** Counts held in all; about 20 MB at most. */
const MAX_COUNTS = 100_000;
/** Classes of workspaces held; each costs a few tens of kilobytes. */
const MAX_ENTRIES = 1_000;
/** Causes held for one class of one workspace. */
const MAX_CAUSES = 32;
const OTHER_CAUSE = "other";
/** Long slots, since each histogram costs a few kilobytes. */
const HISTOGRAM_SLOT_MS = 1_200_000;
const HISTOGRAM_SLOTS = 3;
const COARSE_SLOTS_OF_AN_HOUR = 12;

/** Counts by entry, in slots of time. */
class TimeSlots {
  readonly #widthMs: number;
  readonly #depth: number;
  readonly #slots = new Map<number, Map<EntryState, BurnCounts>>();
  #size = 0;
  /** The oldest slot of which all is held. */
  #oldestHeld = -Infinity;

  constructor(widthMs: number, depth: number) {
    this.#widthMs = widthMs;
    this.#depth = depth;
  }

  get size(): number {
    return this.#size;
  }

  add(entry: EntryState, figures: { result: Result; now: number }): void {
    const slot = this.getSlot(figures.now);
    this.dropOld(figures.now);
    const row = this.#slots.get(slot) ?? new Map<EntryState, BurnCounts>();
    this.#slots.set(slot, row);
    let counts = row.get(entry);
    if (counts === undefined) {
      counts = createCounts();
      row.set(entry, counts);
      this.#size++;
    }
    counts[figures.result]++;
  }

  getSlot(now: number): number {
    return Math.floor(now / this.#widthMs);
  }

  /** Forgets what is out of reach. */
  dropOld(now: number): void {
    const oldest = this.getSlot(now) - this.#depth;
    for (const slot of this.#slots.keys()) {
      // Slots stand in the order of time.
      if (slot > oldest) return;
      this.#dropSlot(slot);
    }
  }

  /** Forgets the oldest slot; false when none may go. */
  dropOldest(): boolean {
    const [slot] = this.#slots.keys();
    if (slot === undefined || this.#slots.size === 1) return false;
    this.#dropSlot(slot);
    return true;
  }

  /** How far back all is held, in milliseconds. An idle time counts as held:
   * that nothing came is known of it. */
  getReach(now: number, startedAt: number): number {
    const inDepth = this.getSlot(now) - this.#depth + 1;
    const oldest = Math.max(this.#oldestHeld, inDepth);
    return now - Math.max(startedAt, oldest * this.#widthMs);
  }

  /** Each entry's counts by how many slots ago they were. */
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
    this.#oldestHeld = slot + 1;
  }
}

type Result = FinishedRequest["result"];

/** A cause with what is needed to know its last hour. */
interface CauseState {
  cause: BurnCause;
  /** Counts by coarse slot, the last hour's only. */
  recent: Map<number, number>;
}

/** What is held of one class of one workspace. */
interface EntryState {
  workspace: WorkspaceName;
  className: ClassName;
  causes: Map<string, CauseState>;
  firstToken: SlidingHistogram;
  total: SlidingHistogram;
  tokens: number;
  wastedTokens: number;
}

/** Gathers finished requests. */
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

  record(figures: FinishedRequest): void {
    const now = this.#clock.now();
    const entry = this.#findEntry(figures);
    this.#fine.add(entry, { result: figures.result, now });
    this.#coarse.add(entry, { result: figures.result, now });
    this.#dropExcess();
    entry.tokens += figures.tokens;
    entry.wastedTokens += figures.wastedTokens;
    if (figures.firstTokenMs !== undefined) {
      entry.firstToken.record(figures.firstTokenMs);
    }
    if (figures.result === "met" || figures.result === "late") {
      entry.total.record(figures.totalMs);
    }
    this.#recordCause(entry, figures);
  }

  /** Everything held now, in a form that can be sent and merged. */
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

  #findEntry(figures: FinishedRequest): EntryState {
    const { workspace, className } = figures;
    const key = JSON.stringify([workspace, className]);
    const known = this.#entries.get(key);
    if (known !== undefined) {
      // Kept in the order of last use, so that the idle go first.
      this.#entries.delete(key);
      this.#entries.set(key, known);
      return known;
    }
    if (this.#entries.size >= MAX_ENTRIES) {
      const [idle] = this.#entries.keys();
      this.#entries.delete(idle!);
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

  /** Without a bound, many workspaces over three days would fill the VM. */
  #dropExcess(): void {
    while (this.#fine.size + this.#coarse.size > MAX_COUNTS) {
      const slots = this.#coarse.size > this.#fine.size
        ? this.#coarse
        : this.#fine;
      if (!slots.dropOldest()) return;
    }
  }

  #recordCause(entry: EntryState, figures: FinishedRequest): void {
    const { result } = figures;
    if (result === "met" || result === "cancelled") return;
    const state = this.#findCause(entry, { ...figures, result });
    const slot = this.#coarse.getSlot(this.#clock.now());
    this.#dropOldCounts(state, slot);
    state.recent.set(slot, (state.recent.get(slot) ?? 0) + 1);
    state.cause.total++;
    state.cause.examples = [
      figures.requestId,
      ...state.cause.examples,
    ].slice(0, MAX_EXAMPLES);
  }

  #findCause(
    entry: EntryState,
    figures: FinishedRequest & { result: BurnCause["result"] },
  ): CauseState {
    const isFull = entry.causes.size >= MAX_CAUSES;
    const { result } = figures;
    const exact = {
      step: figures.step,
      pool: String(figures.pool ?? ""),
      upstream: String(figures.upstream ?? ""),
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
      if (old <= slot - COARSE_SLOTS_OF_AN_HOUR) state.recent.delete(old);
    }
  }
}
