/**
 * Detects failing replicas, by the results of real requests of all VMs.
 *
 * A replica may pass its health check and fail requests, or answer nothing
 * while the platform still lists it. Failed requests are then the only sign.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** Half-life of the weight of a result. */
const HALF_LIFE_MS = 1_500;
/** Weight of recent failures at which a replica is ejected. */
const MIN_FAILURES = 2;
/** Share of failures in recent results at which a replica is ejected. */
const EJECTION_FAILED_SHARE = 0.4;
/** Length of the first ejection; doubled each time. */
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
/**
 * A replica that was healthy for this long starts with the first length again.
 */
const EJECTION_RESET_MS = 10_000;

/** Results of one replica since the last update. */
export type ResultEntry = [replica: VmId, done: number, failed: number];

interface HealthRecord {
  done: number;
  failed: number;
  countedAt: number;
  ejectedUntil: number;
  ejections: number;
}

/** Counts results and ejects failing replicas for a time. */
export class ReplicaHealth {
  readonly #clock: Clock;
  readonly #onEjected: (replica: VmId, forMs: number) => void;
  readonly #records = new Map<VmId, HealthRecord>();
  #unsent = new Map<VmId, { done: number; failed: number }>();

  constructor(
    clock: Clock,
    onEjected: (replica: VmId, forMs: number) => void,
  ) {
    this.#clock = clock;
    this.#onEjected = onEjected;
  }

  static create(
    clock: Clock,
    onEjected: (replica: VmId, forMs: number) => void,
  ): ReplicaHealth {
    return new ReplicaHealth(clock, onEjected);
  }

  /**
   * Records the result of one of this VM's own requests; `isShared` tells
   * whether the other VMs count it as it is.
   */
  noteResult(
    replica: VmId,
    isDone: boolean,
    { isShared = true }: { isShared?: boolean } = {},
  ): void {
    if (isShared) this.#addUnsent(replica, isDone);
    this.#add(replica, isDone ? 1 : 0, isDone ? 0 : 1);
  }

  /** Records results that another VM reported. */
  notePeerResults(entries: readonly ResultEntry[]): void {
    for (const [replica, done, failed] of entries) {
      this.#add(replica, done, failed);
    }
  }

  /** Takes the results that were not sent to the other VMs yet. */
  takeUnsent(): ResultEntry[] {
    const entries = [...this.#unsent].map(([replica, { done, failed }]) =>
      [replica, done, failed] as ResultEntry
    );
    this.#unsent = new Map();
    return entries;
  }

  /** Whether the replica is ejected now. */
  isEjected(replica: VmId): boolean {
    const record = this.#records.get(replica);
    return record !== undefined && record.ejectedUntil > this.#clock.now();
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#records.keys()) {
      if (!isListed(replica)) this.#records.delete(replica);
    }
  }

  #addUnsent(replica: VmId, isDone: boolean): void {
    const unsent = this.#unsent.get(replica) ?? { done: 0, failed: 0 };
    this.#unsent.set(replica, unsent);
    if (isDone) unsent.done += 1;
    else unsent.failed += 1;
  }

  #add(replica: VmId, done: number, failed: number): void {
    const record = this.#getRecord(replica);
    this.#applyAge(record);
    record.done += done;
    record.failed += failed;
    if (failed > 0) this.#checkFailures(replica, record);
  }

  #checkFailures(replica: VmId, record: HealthRecord): void {
    const now = this.#clock.now();
    if (record.ejectedUntil > now) return;
    const isRecent = record.ejections > 0 &&
      now - record.ejectedUntil < EJECTION_RESET_MS;
    if (!isRecent) record.ejections = 0;
    // A replica that was ejected recently is on probation: one failure is
    // enough.
    const needed = isRecent ? 1 : MIN_FAILURES;
    const share = record.failed / (record.failed + record.done);
    if (record.failed < needed * 0.9 || share < EJECTION_FAILED_SHARE) return;
    const forMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** record.ejections,
    );
    record.ejections += 1;
    record.ejectedUntil = now + forMs;
    record.failed = 0;
    record.done = 0;
    this.#onEjected(replica, forMs);
  }

  #getRecord(replica: VmId): HealthRecord {
    const known = this.#records.get(replica);
    if (known !== undefined) return known;
    const record = {
      done: 0,
      failed: 0,
      countedAt: this.#clock.now(),
      ejectedUntil: 0,
      ejections: 0,
    };
    this.#records.set(replica, record);
    return record;
  }

  #applyAge(record: HealthRecord): void {
    const now = this.#clock.now();
    const kept = 0.5 ** ((now - record.countedAt) / HALF_LIFE_MS);
    record.done *= kept;
    record.failed *= kept;
    record.countedAt = now;
  }
}
