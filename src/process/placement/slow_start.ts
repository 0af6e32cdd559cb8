/**
 * How many requests a replica gets while it warms up.
 *
 * Pattern: replicas come back in the midst of a flood, after a crash, at the
 * end of an evacuation, or added to a pool. They look empty, so everybody's
 * next requests go there. One that has just started bears some six a second and
 * may fall over well above that, and then its work goes to the others. One
 * notices by requests at a replica in the second after it came back: 16 to 19,
 * where 14 are the most.
 *
 * Why this prevents it: what the whole fleet may send to such a replica in a
 * second is dealt out beforehand. A pool's owner, who decides for all, spaces
 * its requests. Its substitute may do the same in the second in which it takes
 * over, and VMs that hear neither keep to a part that holds for all of them
 * together though nobody hears anybody.
 *
 * @module
 */
import type { DataCentre, PoolName, VmId } from "../../ids.ts";
import type { WarmUp } from "../../version/records.ts";
import type { Clock } from "../clock.ts";
import { computeRendezvousRank } from "../rendezvous.ts";
import type { ListedReplica, ReplicaList } from "./replica_list.ts";

/**
 * Parts of the requests that a replica bears in any second. An owner and the
 * substitute that takes its place may both send within one second; the VMs that
 * hear neither share the rest. Their parts add up to one.
 */
const OWNER_PART = 0.4;
const ALONE_PART = 0.2;
/**
 * Where a fleet needs no owners, all VMs share this part: a request may reach a
 * replica some hundred milliseconds after it was sent, next to later ones.
 */
const NO_OWNER_PART = 0.8;
const MS_PER_SECOND = 1_000;

/** Who decides beside this VM. */
export interface PlacementRole {
  /**
   * `owner` decides for all, `alone` beside owners, `equal` without any; one
   * that is `unsettled` has not heard of the others yet.
   */
  role: "owner" | "alone" | "equal" | "unsettled";
  /** The other VMs of the fleet, silent ones included. */
  others: readonly VmId[];
}

/** How many more requests than it bears a replica may be sent in a second. */
export interface WarmUpExcess {
  /** Times the requests that it bears. */
  ratio: number;
  /** Requests beyond that. */
  slack: number;
}

/** What a slow start goes by. */
export interface SlowStartOptions {
  vm: VmId;
  clock: Clock;
  excess: WarmUpExcess;
  /** What a pool's replicas bear; undefined where they need no warm-up. */
  getWarmUp: (pool: PoolName) => WarmUp | undefined;
  getRole: (pool: PoolName) => PlacementRole;
}

/** Replicas that warm up. */
export class SlowStart {
  readonly #options: SlowStartOptions;
  /** Until when a replica is cold by its own entry, as `Clock.now()`. */
  readonly #toldUntil = new Map<VmId, number>();
  /** Revisions of the entries that said so: a list is often read again. */
  readonly #readRevisions = new Map<VmId, number>();
  /** When a replica may have started again at the latest. */
  readonly #downUntil = new Map<VmId, number>();
  /** When the next request may go to a replica. */
  readonly #nextAt = new Map<VmId, number>();
  #evacuated: ReadonlySet<DataCentre> = new Set();

  constructor(options: SlowStartOptions) {
    this.#options = options;
  }

  static create(options: SlowStartOptions): SlowStart {
    return new SlowStart(options);
  }

  /** Takes in what entries say, and which data centres are back. */
  noteList({ replicas, evacuated }: ReplicaList): void {
    const now = this.#options.clock.now();
    const before = this.#evacuated;
    this.#evacuated = new Set(evacuated);
    const isBack = (dataCentre: DataCentre) =>
      before.has(dataCentre) && !this.#evacuated.has(dataCentre);
    for (const replica of replicas) {
      this.#noteEntry(replica);
      if (isBack(replica.dataCentre)) this.#downUntil.set(replica.id, now);
    }
    this.#dropUnlisted(new Set(replicas.map(({ id }) => id)));
  }

  /**
   * A replica fails its requests for now. It may have crashed, and may start
   * again before its entry says so: entries are seconds apart.
   */
  noteFailing(replica: VmId, forMs: number): void {
    this.#downUntil.set(replica, this.#options.clock.now() + forMs);
  }

  isWarming(replica: ListedReplica): boolean {
    const warmUp = this.#options.getWarmUp(replica.pool);
    if (warmUp === undefined) return false;
    const downUntil = this.#downUntil.get(replica.id) ?? -Infinity;
    const toldUntil = this.#toldUntil.get(replica.id) ?? -Infinity;
    const now = this.#options.clock.now();
    return now < Math.max(toldUntil, downUntil + warmUp.ms);
  }

  /** Whether one more request of this VM's decision may go there now. */
  hasRoom(replica: ListedReplica): boolean {
    if (!this.isWarming(replica)) return true;
    const now = this.#options.clock.now();
    if (now < (this.#nextAt.get(replica.id) ?? -Infinity)) return false;
    return this.#computeGapMs(replica) !== undefined;
  }

  /** A request goes there by this VM's decision. */
  addSent(replica: ListedReplica): void {
    if (!this.isWarming(replica)) return;
    const gapMs = this.#computeGapMs(replica) ?? MS_PER_SECOND;
    this.#nextAt.set(replica.id, this.#options.clock.now() + gapMs);
  }

  #noteEntry({ id, warmUp }: ListedReplica): void {
    if (warmUp === undefined) return;
    if (this.#readRevisions.get(id) === warmUp.revision) return;
    this.#readRevisions.set(id, warmUp.revision);
    const until = this.#options.clock.now() + warmUp.leftMs;
    const before = this.#toldUntil.get(id) ?? -Infinity;
    this.#toldUntil.set(id, Math.max(before, until));
  }

  /**
   * Milliseconds between this VM's requests there; undefined where it has none
   * to send.
   */
  #computeGapMs({ id, pool }: ListedReplica): number | undefined {
    const { excess, getWarmUp, getRole: getShare } = this.#options;
    const warmUp = getWarmUp(pool);
    if (warmUp === undefined) return 0;
    const { requestsPerS } = warmUp;
    const mostPerS = excess.ratio * requestsPerS + excess.slack;
    const { role, others } = getShare(pool);
    if (role === "owner") {
      const perS = Math.min(requestsPerS, OWNER_PART * mostPerS);
      return MS_PER_SECOND / (perS >= 1 ? Math.floor(perS) : perS);
    }
    // Half of a fleet may start at once, each as if it were the only one.
    if (role === "unsettled") return undefined;
    const part = role === "alone" ? ALONE_PART : NO_OWNER_PART;
    const perS = Math.floor(Math.min(requestsPerS, part * mostPerS));
    return this.#computeSharedGapMs(id, others, perS);
  }

  /**
   * The same of a VM that shares `perS` requests with all others. Where there
   * are fewer requests than VMs, those that come first in an order by the
   * replica's id have one each: all VMs know of each other, if not of what the
   * others do now.
   */
  #computeSharedGapMs(
    replica: VmId,
    others: readonly VmId[],
    perS: number,
  ): number | undefined {
    const vms = [this.#options.vm, ...others];
    const perVm = Math.floor(perS / vms.length);
    if (perVm >= 1) return MS_PER_SECOND / perVm;
    const place = computeRendezvousRank(replica, this.#options.vm, others);
    return place < perS ? MS_PER_SECOND : undefined;
  }

  #dropUnlisted(listed: ReadonlySet<VmId>): void {
    const maps = [
      this.#toldUntil,
      this.#readRevisions,
      this.#downUntil,
      this.#nextAt,
    ];
    for (const byReplica of maps) {
      for (const replica of byReplica.keys()) {
        if (!listed.has(replica)) byReplica.delete(replica);
      }
    }
  }
}
