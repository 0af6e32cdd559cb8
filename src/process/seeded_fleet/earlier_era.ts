/**
 * What a VM knew before the store was restored from an older copy, and does not
 * forget before it may have been written again.
 *
 * The copy may show a replica as ready that has left, and lack an evacuation. A
 * replica that lives writes its entry again, with its state; the entry of one
 * that has ended expires. After that time the store's word counts. An evacuation
 * also holds until the operator's configuration is there again.
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
  after: ReplicaList;
  /** Replicas that had left, or had begun to. */
  left: readonly ListedReplica[];
  /** Data centres that were evacuated. */
  evacuated: readonly DataCentre[];
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
  noteRestored({ after, left, evacuated }: RestoredList): void {
    const ready = new Map(
      after.replicas.filter(({ state }) => state === "ready")
        .map((replica) => [replica.id, replica]),
    );
    for (const replica of left) {
      const listed = ready.get(replica.id);
      if (listed !== undefined && isSameProcess(listed, replica)) {
        this.#left.add(replica.id);
      }
    }
    this.#settled.clear();
    for (const each of evacuated) this.#evacuated.add(each);
    this.noteList(after);
    this.#startTimer();
  }

  /**
   * Lets the store's word count for evacuations that a list of the era shows;
   * returns whether any of them was kept.
   */
  noteList({ evacuated = [] }: ReplicaList): boolean {
    const kept = this.#evacuated.list();
    for (const each of evacuated) {
      this.#settled.add(each);
      this.#evacuated.remove(each);
    }
    return evacuated.some((each) => kept.has(each));
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
      onEnd();
      this.#startTimer();
    });
  }
}

function isSameProcess(one: ListedReplica, other: ListedReplica): boolean {
  return one.startedAt === undefined || other.startedAt === undefined ||
    one.startedAt === other.startedAt;
}
