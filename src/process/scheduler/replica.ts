/**
 * The state of one upstream as its shard's owner tracks it.
 *
 * @module
 */
import type { LoadReport } from "../../connection/upstream_transport.ts";
import type { VmId } from "../../ids.ts";
import type { UpstreamPool } from "../../version/records.ts";
import { RequestRateLimiter } from "../limits/index.ts";
import { CacheIndex } from "./cache_index.ts";
import { LatencyTrack } from "./latency_track.ts";
import { SlotLimit } from "./slot_limit.ts";

/** The figures of a load report older than this are ignored. */
export const MAX_REPORT_AGE_MS = 5_000;

/** Slots in use from `at` until the next sample. */
interface InUseSample {
  at: number;
  inUse: number;
}

/** Options of a `Replica`. */
export interface ReplicaOptions {
  slots: UpstreamPool["slots"];
  /** Whether the slot limit adapts to latency and cache use. */
  adaptive: boolean;
  /** Whether load reports affect the free slots and the limit. */
  useReports: boolean;
  now: number;
}

/** One upstream of a shard. */
export class Replica {
  readonly id: VmId;
  readonly limit: SlotLimit;
  readonly cache = CacheIndex.create();
  readonly latency = LatencyTrack.create();
  /** Request rate that the upstream accepts, as announced to any VM. */
  readonly limiter: RequestRateLimiter;
  readonly #useReports: boolean;
  /** Whether it gets no new work except probes. */
  ejected = false;
  /** Whether the upstream has announced that it accepts no more work. */
  leaving = false;
  /** When an ejected replica may be probed next. */
  probeAt = 0;
  /** Ejections and failed probes so far; each doubles the probe delay. */
  ejections = 0;
  /** Whether a probe is running. */
  probing = false;
  /** Consecutive load polls without an answer. */
  missedPolls = 0;
  #report: LoadReport | undefined;
  #reportTakenAt = -Infinity;
  #backOffUntil = -Infinity;
  #untracked = 0;
  #inUseHistory: InUseSample[];

  constructor(id: VmId, options: ReplicaOptions) {
    this.id = id;
    this.limit = SlotLimit.create(options.slots, {
      adaptive: options.adaptive,
    });
    this.limiter = RequestRateLimiter.create(options.now);
    this.#useReports = options.useReports;
    this.#inUseHistory = [{ at: options.now, inUse: 0 }];
  }

  static create(id: VmId, options: ReplicaOptions): Replica {
    return new Replica(id, options);
  }

  /** Requests on the upstream that the ledger lacks, by the last report. */
  get untracked(): number {
    return this.#untracked;
  }

  /** Slots in use according to the ledger. */
  get inUse(): number {
    return this.#inUseHistory.at(-1)!.inUse;
  }

  /** Free slots; never below 0. */
  get freeSlots(): number {
    return Math.max(0, this.limit.slots - this.inUse - this.#untracked);
  }

  /** Records a back-off of the upstream; the latest end applies. */
  noteBackOff(until: number): void {
    this.#backOffUntil = Math.max(this.#backOffUntil, until);
  }

  /** Whether its back-off and its rate limit allow one more request now. */
  isAccepting(now: number): boolean {
    return now >= this.#backOffUntil && this.limiter.computeWaitMs(now) === 0;
  }

  setInUse(inUse: number, now: number): void {
    if (inUse === this.inUse) return;
    this.#inUseHistory.push({ at: now, inUse });
    if (inUse + this.#untracked >= this.limit.slots) this.limit.noteFull();
    this.#dropOldSamples(now);
  }

  /**
   * Records a load report whose figures are `ageMs` old. The ledger stays
   * authoritative: a report only adds requests above the ledger's peak since
   * the report was made. A comparison with the current ledger would count
   * requests that ended in between as running, and leave slots empty.
   */
  noteReport(
    report: LoadReport,
    options: { ageMs: number; now: number },
  ): void {
    this.missedPolls = 0;
    const takenAt = options.now - options.ageMs;
    if (takenAt < this.#reportTakenAt) return;
    // Leaving is final, so the age of the report does not matter.
    this.leaving = report.leaving;
    this.cache.noteEngineSequence(report.cacheSequence);
    if (options.ageMs > MAX_REPORT_AGE_MS) return;
    this.#report = report;
    this.#reportTakenAt = takenAt;
    if (!this.#useReports) return;
    this.limit.noteReport(report);
    const inLedger = this.#findPeakInUse(takenAt);
    this.#untracked = Math.max(0, report.running + report.waiting - inLedger);
  }

  /** Drops an outdated report and adapts the slot limit. */
  update(now: number): void {
    if (now - this.#reportTakenAt > MAX_REPORT_AGE_MS) {
      this.#untracked = 0;
      this.limit.dropReport();
    }
    this.limit.update(now);
    this.#dropOldSamples(now);
  }

  /**
   * Whether the replica holds the model, by its last report of any age. Before
   * the first report a replica is assumed to hold every model of its pool.
   */
  hasModel(model: string | undefined, adapter: string | undefined): boolean {
    if (model === undefined || this.#report === undefined) return true;
    return this.#report.models.some((held) =>
      held.model === model &&
      (adapter === undefined || held.adapters.includes(adapter))
    );
  }

  #findPeakInUse(since: number): number {
    let peak = 0;
    for (let index = this.#inUseHistory.length - 1; index >= 0; index--) {
      const sample = this.#inUseHistory[index]!;
      peak = Math.max(peak, sample.inUse);
      if (sample.at <= since) break;
    }
    return peak;
  }

  #dropOldSamples(now: number): void {
    const oldest = now - MAX_REPORT_AGE_MS;
    let dropCount = 0;
    while (
      dropCount + 1 < this.#inUseHistory.length &&
      this.#inUseHistory[dropCount + 1]!.at <= oldest
    ) dropCount++;
    if (dropCount > 0) this.#inUseHistory.splice(0, dropCount);
  }
}
