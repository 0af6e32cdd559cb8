/**
 * Limits the requests to a replica that warms up.
 *
 * Replicas that come back under load, after a crash or an evacuation, or that
 * are added to a pool, look idle, so all VMs send their next requests there. A
 * replica that has just started sustains about six requests a second; well
 * above that it may crash, and its work goes to the others. The sign is a
 * replica that gets more requests in the second after its return than it may.
 *
 * Therefore the rate that the whole fleet may send to such a replica is divided
 * in advance. The owner of a pool, which decides for all VMs, spaces its
 * requests. Its substitute may do the same in the second in which it takes
 * over, and VMs that reach neither keep to a share that holds for all of them
 * together without any messages between them.
 *
 * @module
 */
import type { DataCentre, PoolName, VmId } from "../../ids.ts";
import type { WarmUp } from "../../version/records.ts";
import type { Clock } from "../clock.ts";
import { computeRendezvousRank } from "../rendezvous.ts";
import type { ListedReplica, ReplicaList } from "./replica_list.ts";

/**
 * Shares of the requests that a replica may be sent in any second. An owner and
 * the substitute that replaces it may both send within one second, and the VMs
 * that reach neither have the rest: the three shares add up to one.
 */
const OWNER_SHARE = 0.4;
const ISOLATED_SHARE = 0.2;
/**
 * Share of all VMs together in a fleet that needs no owners. The rest is a
 * margin: a request may arrive some hundred milliseconds after it was sent,
 * together with later ones.
 */
const NO_OWNER_SHARE = 0.8;
const MS_PER_SECOND = 1_000;

/** Role of this VM in placing the requests of a pool. */
export interface PlacementRole {
  /**
   * `owner` decides for all VMs, `alone` decides for itself beside owners,
   * `equal` decides in a fleet without owners, and `unsettled` has not
   * discovered the other VMs yet.
   */
  role: "owner" | "alone" | "equal" | "unsettled";
  /** The other VMs of the fleet, including unreachable ones. */
  others: readonly VmId[];
}

/**
 * How far the requests sent to a replica in a second may exceed the rate that
 * it sustains.
 */
export interface WarmUpExcess {
  /** Factor on the sustained rate. */
  ratio: number;
  /** Requests per second on top of that. */
  slack: number;
}

/** Options of `SlowStart`. */
export interface SlowStartOptions {
  vm: VmId;
  clock: Clock;
  excess: WarmUpExcess;
  /**
   * Warm-up and sustained rate of a pool's replicas; undefined where they need
   * no warm-up.
   */
  getWarmUp: (pool: PoolName) => WarmUp | undefined;
  getRole: (pool: PoolName) => PlacementRole;
}

/** Replicas that warm up. */
export class SlowStart {
  readonly #options: SlowStartOptions;
  /** Until when a replica is cold by its own entry, as `Clock.now()`. */
  readonly #announcedUntil = new Map<VmId, number>();
  /**
   * Revisions of the entries applied so far: the same entry is often read
   * again.
   */
  readonly #appliedRevisions = new Map<VmId, number>();
  /** Latest time at which a replica may have restarted. */
  readonly #restartedBy = new Map<VmId, number>();
  /** When the next request may be sent to a replica. */
  readonly #nextSendAt = new Map<VmId, number>();
  #evacuated: ReadonlySet<DataCentre> = new Set();

  constructor(options: SlowStartOptions) {
    this.#options = options;
  }

  static create(options: SlowStartOptions): SlowStart {
    return new SlowStart(options);
  }

  /**
   * Applies the warm-ups in the list, and notes which data centres are back
   * from an evacuation.
   */
  noteList({ replicas, evacuated }: ReplicaList): void {
    const now = this.#options.clock.now();
    const before = this.#evacuated;
    this.#evacuated = new Set(evacuated);
    const isBack = (dataCentre: DataCentre) =>
      before.has(dataCentre) && !this.#evacuated.has(dataCentre);
    for (const replica of replicas) {
      this.#noteEntry(replica);
      if (isBack(replica.dataCentre)) this.#restartedBy.set(replica.id, now);
    }
    this.#dropUnlisted(new Set(replicas.map(({ id }) => id)));
  }

  /**
   * Records that a replica fails its requests for `forMs` milliseconds. It may
   * have crashed, and may restart before its entry shows it: entries are
   * seconds apart.
   */
  noteFailing(replica: VmId, forMs: number): void {
    this.#restartedBy.set(replica, this.#options.clock.now() + forMs);
  }

  isWarming(replica: ListedReplica): boolean {
    const warmUp = this.#options.getWarmUp(replica.pool);
    if (warmUp === undefined) return false;
    const restartedBy = this.#restartedBy.get(replica.id) ?? -Infinity;
    const announcedUntil = this.#announcedUntil.get(replica.id) ?? -Infinity;
    const now = this.#options.clock.now();
    return now < Math.max(announcedUntil, restartedBy + warmUp.ms);
  }

  /** Whether this VM may place one more request there now. */
  hasCapacity(replica: ListedReplica): boolean {
    if (!this.isWarming(replica)) return true;
    const now = this.#options.clock.now();
    if (now < (this.#nextSendAt.get(replica.id) ?? -Infinity)) return false;
    return this.#computeGapMs(replica) !== undefined;
  }

  /** Counts a request that this VM placed there. */
  addSent(replica: ListedReplica): void {
    if (!this.isWarming(replica)) return;
    const gapMs = this.#computeGapMs(replica) ?? MS_PER_SECOND;
    this.#nextSendAt.set(replica.id, this.#options.clock.now() + gapMs);
  }

  #noteEntry({ id, warmUp }: ListedReplica): void {
    if (warmUp === undefined) return;
    if (this.#appliedRevisions.get(id) === warmUp.revision) return;
    this.#appliedRevisions.set(id, warmUp.revision);
    const until = this.#options.clock.now() + warmUp.leftMs;
    const before = this.#announcedUntil.get(id) ?? -Infinity;
    this.#announcedUntil.set(id, Math.max(before, until));
  }

  /**
   * Milliseconds between this VM's requests there; undefined where it may send
   * none.
   */
  #computeGapMs({ id, pool }: ListedReplica): number | undefined {
    const { excess, getWarmUp, getRole } = this.#options;
    const warmUp = getWarmUp(pool);
    if (warmUp === undefined) return 0;
    const { requestsPerS } = warmUp;
    const maxPerS = excess.ratio * requestsPerS + excess.slack;
    const { role, others } = getRole(pool);
    if (role === "owner") {
      const perS = Math.min(requestsPerS, OWNER_SHARE * maxPerS);
      return MS_PER_SECOND / (perS >= 1 ? Math.floor(perS) : perS);
    }
    // Half of a fleet may start at once, and until these VMs have discovered
    // the others, each would send as if it were the only one.
    if (role === "unsettled") return undefined;
    const share = role === "alone" ? ISOLATED_SHARE : NO_OWNER_SHARE;
    const perS = Math.floor(Math.min(requestsPerS, share * maxPerS));
    return this.#computeSharedGapMs(id, others, perS);
  }

  /**
   * The same for a VM that shares `perS` requests per second with all others.
   * Where there are fewer requests than VMs, the first VMs in a rendezvous
   * order by the replica's id get one each: this needs only the list of VMs,
   * which all of them have, and no messages.
   */
  #computeSharedGapMs(
    replica: VmId,
    others: readonly VmId[],
    perS: number,
  ): number | undefined {
    const vms = [this.#options.vm, ...others];
    const perVm = Math.floor(perS / vms.length);
    if (perVm >= 1) return MS_PER_SECOND / perVm;
    const rank = computeRendezvousRank(replica, this.#options.vm, others);
    return rank < perS ? MS_PER_SECOND : undefined;
  }

  #dropUnlisted(listed: ReadonlySet<VmId>): void {
    const maps = [
      this.#announcedUntil,
      this.#appliedRevisions,
      this.#restartedBy,
      this.#nextSendAt,
    ];
    for (const byReplica of maps) {
      for (const replica of byReplica.keys()) {
        if (!listed.has(replica)) byReplica.delete(replica);
      }
    }
  }
}
