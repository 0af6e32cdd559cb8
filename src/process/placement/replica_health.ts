/**
 * Which replicas fail, by the results of real requests of all VMs.
 *
 * A replica may answer its health check and fail requests, or answer nothing
 * while the platform still lists it. Its failures are the only sign.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** Results count half after so long, in milliseconds. */
const HALF_LIFE_MS = 1_500;
/** Failures of late, by weight, before a replica is left out. */
const LEAST_FAILURES = 2;
/** Failed share of late results at which a replica is left out. */
const FAILED_SHARE = 0.4;
/** How long it is left out the first time; doubled each time. */
const FIRST_EJECTION_MS = 500;
const LONGEST_EJECTION_MS = 4_000;
/** A replica that was well for so long starts at the first step again. */
const FORGIVEN_AFTER_MS = 10_000;

/** Results of one replica since the last message. */
export type ResultEntry = [replica: VmId, done: number, failed: number];

interface Record {
  done: number;
  failed: number;
  countedAt: number;
  ejectedUntil: number;
  ejections: number;
}

/** Counts results and leaves failing replicas out for a time. */
export class ReplicaHealth {
  readonly #clock: Clock;
  readonly #onEjected: (replica: VmId, forMs: number) => void;
  readonly #records = new Map<VmId, Record>();
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

  /** Takes in the end of one of this VM's own requests. */
  noteResult(replica: VmId, isDone: boolean): void {
    const unsent = this.#unsent.get(replica) ?? { done: 0, failed: 0 };
    this.#unsent.set(replica, unsent);
    if (isDone) unsent.done += 1;
    else unsent.failed += 1;
    this.#add(replica, isDone ? 1 : 0, isDone ? 0 : 1);
  }

  /** Takes in what another VM told. */
  notePeerResults(entries: readonly ResultEntry[]): void {
    for (const [replica, done, failed] of entries) {
      this.#add(replica, done, failed);
    }
  }

  /** Results that the other VMs have not been told of yet. */
  takeUnsent(): ResultEntry[] {
    const entries = [...this.#unsent].map(([replica, { done, failed }]) =>
      [replica, done, failed] as ResultEntry
    );
    this.#unsent = new Map();
    return entries;
  }

  /** Whether the replica is left out now. */
  isEjected(replica: VmId): boolean {
    const record = this.#records.get(replica);
    return record !== undefined && record.ejectedUntil > this.#clock.now();
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#records.keys()) {
      if (!isListed(replica)) this.#records.delete(replica);
    }
  }

  #add(replica: VmId, done: number, failed: number): void {
    const record = this.#getRecord(replica);
    this.#applyAge(record);
    record.done += done;
    record.failed += failed;
    if (failed > 0) this.#checkFailures(replica, record);
  }

  #checkFailures(replica: VmId, record: Record): void {
    const now = this.#clock.now();
    if (record.ejectedUntil > now) return;
    const isRecent = record.ejections > 0 &&
      now - record.ejectedUntil < FORGIVEN_AFTER_MS;
    if (!isRecent) record.ejections = 0;
    // One that was left out of late is on probation: one failure is enough.
    const least = isRecent ? 1 : LEAST_FAILURES;
    const share = record.failed / (record.failed + record.done);
    if (record.failed < least * 0.9 || share < FAILED_SHARE) return;
    const forMs = Math.min(
      LONGEST_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** record.ejections,
    );
    record.ejections += 1;
    record.ejectedUntil = now + forMs;
    record.failed = 0;
    record.done = 0;
    this.#onEjected(replica, forMs);
  }

  #getRecord(replica: VmId): Record {
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

  #applyAge(record: Record): void {
    const now = this.#clock.now();
    const kept = 0.5 ** ((now - record.countedAt) / HALF_LIFE_MS);
    record.done *= kept;
    record.failed *= kept;
    record.countedAt = now;
  }
}
