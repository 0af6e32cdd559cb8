/**
 * What a shard's owner knows of one upstream.
 *
 * @module
 */
import type { LoadReport } from "../../connection/upstream_transport.ts";
import type { VmId } from "../../ids.ts";
import type { UpstreamPool } from "../../version/records.ts";
import { RequestRate } from "../limits/index.ts";
import { CacheIndex } from "./cache_index.ts";
import { LatencyTrack } from "./latency_track.ts";
import { SlotLimit } from "./slot_limit.ts";

/** A load report older than this is ignored, in milliseconds. */
export const MAX_REPORT_AGE_MS = 5_000;

/** Use of slots at one moment; it held until the next mark. */
interface UseMark {
  at: number;
  inUse: number;
}

/** Which parts of the load control are on. */
export interface ReplicaOptions {
  slots: UpstreamPool["slots"];
  adaptive: boolean;
  useReports: boolean;
  now: number;
}

/** One upstream of a shard. */
export class Replica {
  readonly id: VmId;
  readonly limit: SlotLimit;
  readonly cache = CacheIndex.create();
  readonly latency = LatencyTrack.create();
  /** Requests a second that it takes, by its word to any VM. */
  readonly rate: RequestRate;
  readonly #useReports: boolean;
  /** Out of service for new work but for probes. */
  ejected = false;
  /** The upstream's own word that it takes no more work. */
  leaving = false;
  /** When an ejected replica may be tried next. */
  probeAt = 0;
  /** Ejections one after the other, which lengthen the time to the probe. */
  ejections = 0;
  probing = false;
  /** Load polls without an answer, one after the other. */
  missedPolls = 0;
  #report: LoadReport | undefined;
  #reportTakenAt = -Infinity;
  #backOffUntil = -Infinity;
  #foreign = 0;
  #marks: UseMark[];

  constructor(id: VmId, options: ReplicaOptions) {
    this.id = id;
    this.limit = SlotLimit.create(options.slots, {
      adaptive: options.adaptive,
    });
    this.rate = RequestRate.create(options.now);
    this.#useReports = options.useReports;
    this.#marks = [{ at: options.now, inUse: 0 }];
  }

  static create(id: VmId, options: ReplicaOptions): Replica {
    return new Replica(id, options);
  }

  /** Work there that the ledger does not know of, by the last report. */
  get foreign(): number {
    return this.#foreign;
  }

  /** Slots in use by the ledger. */
  get inUse(): number {
    return this.#marks.at(-1)!.inUse;
  }

  /** Free slots; never below 0. */
  get freeSlots(): number {
    return Math.max(0, this.limit.slots - this.inUse - this.#foreign);
  }

  /** Takes in until when it wants nothing; the longest time holds. */
  noteBackOff(until: number): void {
    this.#backOffUntil = Math.max(this.#backOffUntil, until);
  }

  /** Whether it takes one more request now, by what it asked in answers. */
  canTake(now: number): boolean {
    return now >= this.#backOffUntil && this.rate.computeWaitMs(now) === 0;
  }

  setInUse(inUse: number, now: number): void {
    if (inUse === this.inUse) return;
    this.#marks.push({ at: now, inUse });
    if (inUse + this.#foreign >= this.limit.slots) this.limit.noteFull();
    this.#dropOldMarks(now);
  }

  /**
   * Takes a report in whose figures are `ageMs` old. The ledger stays the
   * truth: a report only adds work that the ledger did not know of at any time
   * since. Comparing it with the ledger of now would count work that ended in
   * between as running, and slots would stay empty.
   */
  noteReport(
    report: LoadReport,
    options: { ageMs: number; now: number },
  ): void {
    this.missedPolls = 0;
    const takenAt = options.now - options.ageMs;
    if (takenAt < this.#reportTakenAt) return;
    // Leaving is for good: the age of the word does not matter.
    this.leaving = report.leaving;
    this.cache.noteLatest(report.cacheSequence);
    if (options.ageMs > MAX_REPORT_AGE_MS) return;
    this.#report = report;
    this.#reportTakenAt = takenAt;
    if (!this.#useReports) return;
    this.limit.noteReport(report);
    const known = this.#findMostInUse(takenAt);
    this.#foreign = Math.max(0, report.running + report.waiting - known);
  }

  /** Drops what an old report said, and adapts the limit. */
  update(now: number): void {
    if (now - this.#reportTakenAt > MAX_REPORT_AGE_MS) {
      this.#foreign = 0;
      this.limit.dropReport();
    }
    this.limit.update(now);
    this.#dropOldMarks(now);
  }

  /**
   * Whether the replica holds the model, by its last word however old. Before
   * any word every replica of the pool is taken to hold it.
   */
  hasModel(model: string | undefined, adapter: string | undefined): boolean {
    if (model === undefined || this.#report === undefined) return true;
    return this.#report.models.some((held) =>
      held.model === model &&
      (adapter === undefined || held.adapters.includes(adapter))
    );
  }

  #findMostInUse(since: number): number {
    let most = 0;
    for (let index = this.#marks.length - 1; index >= 0; index--) {
      const mark = this.#marks[index]!;
      most = Math.max(most, mark.inUse);
      if (mark.at <= since) break;
    }
    return most;
  }

  #dropOldMarks(now: number): void {
    const oldest = now - MAX_REPORT_AGE_MS;
    let drop = 0;
    while (
      drop + 1 < this.#marks.length && this.#marks[drop + 1]!.at <= oldest
    ) drop++;
    if (drop > 0) this.#marks.splice(0, drop);
  }
}
