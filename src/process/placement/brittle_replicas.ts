/**
 * Replicas that fall over if they have to turn away too many requests within a
 * second, and say so in their answers.
 *
 * What a replica has said and turned away counts for all VMs together, also for
 * one that places requests and gets no answers itself. While replicas
 * are brittle, VMs that decide for themselves divide the slots of a pool among
 * each other, since their reports are too late to share a free one: without any
 * message, each finds its own slots from the lists of replicas and of VMs.
 *
 * @module
 */
import type { PoolName, VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";
import { computeRendezvousRank } from "../rendezvous.ts";
import type { ReplicaLoads } from "./replica_loads.ts";
import type { ListedReplica } from "./replica_list.ts";
import type { PlacementRole } from "./slow_start.ts";

const WINDOW_MS = 1_000;
/**
 * Share of the rejections that a replica bears in a second at which all VMs
 * leave it alone: others are on their way by then.
 */
const MAX_REJECTION_SHARE = 0.5;
/**
 * Requests beyond the slots of a replica, as a share of the rejections that it
 * bears in a second: some calls that count as running have ended, and if none
 * has, it rejects no more than these.
 */
const EXTRA_SHARE = 0.25;
/** A replica that has not answered for this long is no longer brittle. */
const BRITTLE_TTL_MS = 10_000;

/** The division of a pool's slots is computed again this often. */
const DIVISION_TTL_MS = 50;

/** Brittle replicas are named to the other VMs again after this time. */
const REPORT_INTERVAL_MS = 2_000;
const NOT_BRITTLE = -1;

/**
 * Requests that a replica rejected since the sender's last update, and how many
 * it bears in a second; below 0 if it is not brittle.
 */
export type RejectionEntry = [
  replica: VmId,
  rejections: number,
  maxRejectionsPerS: number,
];

/** Called when a replica begins or ends to be brittle; undefined for the end. */
export type OnBrittle = (
  replica: VmId,
  maxRejectionsPerS: number | undefined,
) => void;

/** Options of `BrittleReplicas`. */
export interface BrittleReplicasOptions {
  vm: VmId;
  clock: Clock;
  loads: ReplicaLoads;
  listReady: (pool: PoolName) => readonly ListedReplica[];
  getRole: (pool: PoolName) => PlacementRole;
  onChange: OnBrittle;
}

interface Brittleness {
  maxRejectionsPerS: number;
  notedAt: number;
}

/** Slots of a pool that are this VM's. */
interface Division {
  computedAt: number;
  role: PlacementRole["role"];
  others: readonly VmId[];
  ownSlots: ReadonlyMap<VmId, number>;
}

/** Brittle replicas, and what they have rejected. */
export class BrittleReplicas {
  readonly #options: BrittleReplicasOptions;
  readonly #brittle = new Map<VmId, Brittleness>();
  /** Rejections of the last second, by this VM's clock. */
  readonly #rejections = new Map<VmId, { at: number; count: number }[]>();
  readonly #divisions = new Map<PoolName, Division>();
  #unsent = new Map<VmId, number>();
  /** What was reported last of each replica. */
  readonly #reported = new Map<VmId, Brittleness>();

  constructor(options: BrittleReplicasOptions) {
    this.#options = options;
  }

  static create(options: BrittleReplicasOptions): BrittleReplicas {
    return new BrittleReplicas(options);
  }

  /** Applies an answer of the replica to this VM. */
  noteSignals(
    replica: VmId,
    { maxRejectionsPerS, isRejected }: UpstreamSignals,
  ): void {
    this.#noteBrittle(replica, maxRejectionsPerS);
    const isCounted = isRejected && maxRejectionsPerS !== undefined;
    if (!isCounted && !this.#isReportDue(replica, maxRejectionsPerS)) return;
    const rejections = isCounted ? 1 : 0;
    if (isCounted) this.#addRejections(replica, rejections);
    const unsent = this.#unsent.get(replica) ?? 0;
    this.#unsent.set(replica, unsent + rejections);
  }

  /** Records what another VM reported. */
  notePeers(entries: readonly RejectionEntry[]): void {
    for (const [replica, count, maxRejectionsPerS] of entries) {
      const isBrittle = maxRejectionsPerS !== NOT_BRITTLE;
      this.#noteBrittle(replica, isBrittle ? maxRejectionsPerS : undefined);
      if (count > 0) this.#addRejections(replica, count);
    }
  }

  /** Takes what was not sent to the other VMs yet. */
  takeUnsent(): RejectionEntry[] {
    const notedAt = this.#options.clock.now();
    const entries = [...this.#unsent].map(([replica, count]) => {
      const maxRejectionsPerS = this.#getMaxRejections(replica);
      this.#reported.set(replica, { maxRejectionsPerS, notedAt });
      return [replica, count, maxRejectionsPerS] as RejectionEntry;
    });
    this.#unsent = new Map();
    return entries;
  }

  /** Whether the replica has said so in its last answer. */
  isBrittle(replica: VmId): boolean {
    const known = this.#brittle.get(replica);
    return known !== undefined &&
      this.#options.clock.now() < known.notedAt + BRITTLE_TTL_MS;
  }

  /** Whether any replica of the pool is brittle. */
  isPoolBrittle(pool: PoolName): boolean {
    return this.#brittle.size > 0 &&
      this.#options.listReady(pool).some(({ id }) => this.isBrittle(id));
  }

  /** Whether this VM may place one more request there now. */
  hasCapacity(replica: ListedReplica): boolean {
    if (!this.isPoolBrittle(replica.pool)) return true;
    if (this.#isPressed(replica.id)) return false;
    const { loads } = this.#options;
    const { role, ownSlots } = this.#getDivision(replica.pool);
    const { running } = loads.getLoad(replica.id);
    if (role === "owner") {
      return running < replica.slots + this.#countExtra(replica.id);
    }
    const own = loads.countOwn(replica.id);
    if (role === "unsettled") return own === 0 && running < replica.slots;
    // The owner, which does not answer this VM, may have given all slots away.
    if (role === "alone") return own === 0 && this.#canBorrow(replica);
    const slots = ownSlots.get(replica.id) ?? 0;
    if (own < slots) return true;
    // One request may wait there, so that no slot is idle between two calls.
    return own === slots && running <= replica.slots &&
      this.#canBorrow(replica);
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const byReplica of [this.#brittle, this.#rejections, this.#reported]) {
      for (const replica of byReplica.keys()) {
        if (!isListed(replica)) byReplica.delete(replica);
      }
    }
  }

  #getMaxRejections(replica: VmId): number {
    return this.#brittle.get(replica)?.maxRejectionsPerS ?? NOT_BRITTLE;
  }

  /** Whether the other VMs are to hear of the replica's last answer. */
  #isReportDue(
    replica: VmId,
    maxRejectionsPerS: number = NOT_BRITTLE,
  ): boolean {
    const reported = this.#reported.get(replica);
    const last = reported?.maxRejectionsPerS ?? NOT_BRITTLE;
    if (last !== maxRejectionsPerS) return true;
    return maxRejectionsPerS !== NOT_BRITTLE &&
      this.#options.clock.now() >= reported!.notedAt + REPORT_INTERVAL_MS;
  }

  #noteBrittle(replica: VmId, maxRejectionsPerS: number | undefined): void {
    const before = this.#brittle.get(replica)?.maxRejectionsPerS;
    if (maxRejectionsPerS === undefined) this.#brittle.delete(replica);
    else {
      const notedAt = this.#options.clock.now();
      this.#brittle.set(replica, { maxRejectionsPerS, notedAt });
    }
    if (before === maxRejectionsPerS) return;
    this.#options.onChange(replica, maxRejectionsPerS);
  }

  /** Whether it has rejected nearly as much as it bears. */
  #isPressed(replica: VmId): boolean {
    const max = this.#brittle.get(replica)?.maxRejectionsPerS;
    if (max === undefined) return false;
    const count = this.#listRecent(replica)
      .reduce((sum, each) => sum + each.count, 0);
    return count > 0 && count >= MAX_REJECTION_SHARE * max;
  }

  /**
   * Whether this VM may use a slot that another leaves free, or wait for one at
   * the replica: a few VMs may, for one request each, until it rejects one.
   */
  #canBorrow({ id, pool }: ListedReplica): boolean {
    const { others } = this.#getDivision(pool);
    const rank = computeRendezvousRank(id, this.#options.vm, others);
    return rank < this.#countExtra(id);
  }

  /**
   * Requests beyond its slots that all VMs together may send to a replica; none
   * for a second after it has rejected one.
   */
  #countExtra(replica: VmId): number {
    const max = this.#brittle.get(replica)?.maxRejectionsPerS ?? 0;
    if (this.#listRecent(replica).length > 0) return 0;
    return Math.floor(EXTRA_SHARE * max);
  }

  #addRejections(replica: VmId, count: number): void {
    const at = this.#options.clock.now();
    this.#rejections.set(replica, [
      ...this.#listRecent(replica),
      { at, count },
    ]);
  }

  #listRecent(replica: VmId): { at: number; count: number }[] {
    const since = this.#options.clock.now() - WINDOW_MS;
    return (this.#rejections.get(replica) ?? []).filter(({ at }) => at > since);
  }

  #getDivision(pool: PoolName): Division {
    const now = this.#options.clock.now();
    const known = this.#divisions.get(pool);
    if (known !== undefined && now < known.computedAt + DIVISION_TTL_MS) {
      return known;
    }
    const { role, others } = this.#options.getRole(pool);
    const ownSlots = this.#computeOwnSlots(pool, others);
    const division = { computedAt: now, role, others, ownSlots };
    this.#divisions.set(pool, division);
    return division;
  }

  /**
   * Slots of each replica that are this VM's. The slots of the pool are dealt to
   * the VMs in turn, so that each has the same number, give or take one.
   */
  #computeOwnSlots(
    pool: PoolName,
    others: readonly VmId[],
  ): Map<VmId, number> {
    const { vm, listReady } = this.#options;
    const vms = [vm, ...others].toSorted();
    const offset = vms.length - 1 - vms.indexOf(vm);
    const countOwn = (slots: number) =>
      Math.floor((slots + offset) / vms.length);
    const ownSlots = new Map<VmId, number>();
    let dealt = 0;
    const replicas = listReady(pool)
      .toSorted((left, right) => left.id < right.id ? -1 : 1);
    for (const { id, slots } of replicas) {
      ownSlots.set(id, countOwn(dealt + slots) - countOwn(dealt));
      dealt += slots;
    }
    return ownSlots;
  }
}
