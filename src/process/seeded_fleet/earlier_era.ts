/**
 * What a VM knew before the store was restored from an older copy, and does not
 * forget before it may have been written again.
 *
 * The copy may show a replica as ready that has left, and lack an evacuation. A
 * replica that lives writes its entry again, with its state; the entry of one
 * that has ended expires. After that time the store's word counts. An evacuation
 * also holds until the operator's configuration is there again. A replica that had
 * announced its leaving to callers only writes itself as ready, so its notice
 * counts too where the copy lacks it.
 *
 * An evacuation that had ended and that the copy still shows counts at once: the
 * other data centres serve for the moments until its end is written again.
 *
 * @module
 */
import type { DataCentre, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type {
  ListedReplica,
  ReplicaList,
  Withheld,
} from "../placement/replica_list.ts";
import { type KeptEntry, KeptIds } from "./kept_ids.ts";

/** Entries expire after so many intervals without a renewal. */
const EXPIRY_RENEWALS = 3;
/** Entries are written again within this time after the store is back. */
const REWRITE_MS = 2_200;
/** What a VM tells others of what it keeps. */
export interface KeptNews {
  withheld?: KeptEntry<VmId>[] | undefined;
  keptEvacuations?: KeptEntry<DataCentre>[] | undefined;
}

/** A list of a new era, and what this VM knew before. */
export interface RestoredList {
  before: ReplicaList;
  after: ReplicaList;
  /** Replicas that had left, or had begun to. */
  left: readonly ListedReplica[];
}

/** Options of `EarlierEra`. */
export interface EarlierEraOptions {
  clock: Clock;
  /** Interval at which replicas renew their entries. */
  entryRenewalMs: number;
  /** Called when something is kept no longer. */
  onEnd: () => void;
}

/** Knowledge of the era before. */
export class EarlierEra {
  readonly #options: EarlierEraOptions;
  readonly #left: KeptIds<VmId>;
  readonly #evacuated: KeptIds<DataCentre>;
  /** Replicas that had begun to leave, and that the copy lacks. */
  readonly #missing = new Map<VmId, ListedReplica>();
  /** Data centres of whose evacuation the new era has told. */
  readonly #settled = new Set<DataCentre>();
  #cancelTimer: () => void = () => {};

  constructor(options: EarlierEraOptions) {
    this.#options = options;
    const { clock, entryRenewalMs } = options;
    const keptMs = EXPIRY_RENEWALS * entryRenewalMs + REWRITE_MS;
    this.#left = KeptIds.create(clock, keptMs);
    this.#evacuated = KeptIds.create(clock, keptMs);
  }

  static create(options: EarlierEraOptions): EarlierEra {
    return new EarlierEra(options);
  }

  stop(): void {
    this.#cancelTimer();
  }

  /** Keeps what a list of a new era contradicts. */
  noteRestored({ before, after, left }: RestoredList): void {
    const known = new Set(before.replicas.map(({ id }) => id));
    const listed = new Map(
      after.replicas.map((replica) => [replica.id, replica]),
    );
    for (const replica of left) {
      const restored = listed.get(replica.id);
      if (restored === undefined) {
        if (known.has(replica.id)) this.#addMissing(replica);
      } else if (
        restored.state === "ready" && isSameProcess(restored, replica)
      ) {
        this.#left.add(replica.id);
      }
    }
    this.#settled.clear();
    for (const each of before.evacuated ?? []) this.#evacuated.add(each);
    this.noteList(after);
    this.#startTimer();
  }

  /**
   * Lets the store's word count for evacuations that a list of the era shows, and
   * for new processes; returns whether any of them was kept.
   */
  noteList({ evacuated = [], replicas }: ReplicaList): boolean {
    const kept = this.#evacuated.list();
    for (const each of evacuated) {
      this.#settled.add(each);
      this.#evacuated.remove(each);
    }
    const hasNewProcess = this.#dropReplaced(replicas);
    return hasNewProcess || evacuated.some((each) => kept.has(each));
  }

  /** Records that the store has an older configuration than is in force. */
  noteOperatorBehind(): void {
    this.#evacuated.renewAll();
    this.#startTimer();
  }

  /** Applies what another VM keeps; returns whether anything was new. */
  noteTold({ withheld = [], keptEvacuations = [] }: KeptNews): boolean {
    const unsettled = keptEvacuations.filter(([id]) => !this.#settled.has(id));
    const hasNewLeft = this.#left.addTold(withheld);
    const hasNewEvacuated = this.#evacuated.addTold(unsettled);
    this.#startTimer();
    return hasNewLeft || hasNewEvacuated;
  }

  /** What is not used now. */
  getWithheld(): Withheld {
    return {
      replicas: this.#left.list(),
      dataCentres: this.#evacuated.list(),
    };
  }

  /** What to tell other VMs. */
  buildNews(): Required<KeptNews> {
    return {
      withheld: this.#left.listOwn(),
      keptEvacuations: this.#evacuated.listOwn(),
    };
  }

  #addMissing(replica: ListedReplica): void {
    this.#left.add(replica.id);
    this.#missing.set(replica.id, replica);
  }

  /** Forgets those that are kept no longer. */
  #dropMissing(): void {
    const kept = this.#left.list();
    for (const id of this.#missing.keys()) {
      if (!kept.has(id)) this.#missing.delete(id);
    }
  }

  /** Returns whether another process has taken the id of one that is missing. */
  #dropReplaced(replicas: readonly ListedReplica[]): boolean {
    if (this.#missing.size === 0) return false;
    let isAnyReplaced = false;
    for (const replica of replicas) {
      const missing = this.#missing.get(replica.id);
      if (missing === undefined || isSameProcess(replica, missing)) continue;
      this.#missing.delete(replica.id);
      this.#left.remove(replica.id);
      isAnyReplaced = true;
    }
    return isAnyReplaced;
  }

  #startTimer(): void {
    this.#cancelTimer();
    const { clock, onEnd } = this.#options;
    const ends = [this.#left.getNextEnd(), this.#evacuated.getNextEnd()];
    const end = Math.min(...ends);
    if (end === Infinity) return;
    const ms = Math.max(0, end - clock.now());
    this.#cancelTimer = clock.startTimer(ms, () => {
      this.#left.dropEnded();
      this.#evacuated.dropEnded();
      this.#dropMissing();
      onEnd();
      this.#startTimer();
    });
  }
}

function isSameProcess(one: ListedReplica, other: ListedReplica): boolean {
  return one.startedAt === undefined || other.startedAt === undefined ||
    one.startedAt === other.startedAt;
}
