/**
 * Selects the VMs that place requests: an owner for each pool, and a substitute
 * for the time in which the owner is silent.
 *
 * In a small fleet each VM learns of every request within some 25 ms and places
 * requests itself. In a large fleet these updates would take most of the
 * network and processor time, and would still be too late: hundreds of requests
 * are sent in that time. There the owner places all requests of a pool, and
 * only the owner needs the updates.
 *
 * @module
 */
import type { PoolName, VmId } from "../../ids.ts";
import { computeRendezvousOrder, pickRendezvousFirst } from "../rendezvous.ts";

/**
 * Fleets up to this size, this VM included, have no owners. Each VM of such a
 * fleet sends and receives up to 330 datagrams of 0.6 KB a second. That was too
 * much for sixteen VMs with a third of a core each: under overload, some of them
 * read callers' requests two seconds late.
 */
const MAX_SMALL_FLEET_VMS = 12;
/**
 * The owner and its substitute. VMs send their work reports to both; while both
 * are down, each VM places requests itself.
 */
const OWNERS_PER_PARTITION = 2;
/**
 * Minimum cores of an owner, as a share of the cores of the largest VM: an
 * owner handles three to four datagrams for each request of its pools.
 */
const MIN_CORE_SHARE = 0.5;

/**
 * There is one owner for this many VMs, which send it some 700 requests a
 * second. Each VM sends its work report to every owner, so more owners than
 * needed would mean more datagrams.
 */
const VMS_PER_OWNER = 100;

/** VM that may place requests. */
export interface OwnerCandidate {
  vm: VmId;
  /** Processor cores that the VM may use. */
  cores: number;
  /** Whether the VM knows what replicas have cached. */
  isPrimed: boolean;
}

/**
 * Member of the fleet; it may place requests if it serves callers and is not
 * draining.
 */
export interface FleetMember extends OwnerCandidate {
  isServing: boolean;
  isDraining: boolean;
}

/** Owners and substitutes of the same partitions. */
export interface OwnerGroup {
  partitions: readonly string[];
  vms: ReadonlySet<VmId>;
}

/** Owners of all pools for one set of fleet members. */
export class PoolOwners {
  /**
   * Key of the members that the owners were chosen from; another key needs a
   * new `PoolOwners`.
   */
  readonly key: string;
  /** Whether the fleet is large enough for owners. */
  readonly isNeeded: boolean;
  /** All VMs that own a pool or substitute for its owner. */
  readonly owners: ReadonlySet<VmId>;
  /** The owners grouped by partitions; each VM is in exactly one group. */
  readonly groups: readonly OwnerGroup[];
  readonly #ownersByPartition: ReadonlyMap<string, readonly VmId[]>;
  readonly #partitions: readonly string[];

  constructor(key: string, vms: readonly FleetMember[]) {
    this.key = key;
    this.isNeeded = !isSmallFleet(vms.length);
    this.#partitions = this.isNeeded ? listPartitions(vms.length) : [];
    const candidates = vms.filter(({ isServing, isDraining }) =>
      isServing && !isDraining
    );
    this.#ownersByPartition = new Map(
      this.#partitions.map((
        partition,
      ) => [partition, listPartitionOwners(partition, candidates)]),
    );
    this.owners = new Set([...this.#ownersByPartition.values()].flat());
    this.groups = this.#listGroups();
  }

  /** `vms` are all live VMs, this one included. */
  static create(key: string, vms: readonly FleetMember[]): PoolOwners {
    return new PoolOwners(key, vms);
  }

  findPartition(pool: PoolName): string {
    return findPartition(pool, this.#partitions);
  }

  /** The owner of the pool, followed by its substitute. */
  listOwners(pool: PoolName): readonly VmId[] {
    return this.#ownersByPartition.get(this.findPartition(pool)) ?? [];
  }

  #listGroups(): OwnerGroup[] {
    const groups = new Map<string, { partitions: string[]; vms: Set<VmId> }>();
    for (const vm of this.owners) {
      const partitions = this.#partitions.filter((partition) =>
        this.#ownersByPartition.get(partition)?.includes(vm)
      );
      const key = partitions.join();
      const group = groups.get(key) ?? { partitions, vms: new Set() };
      groups.set(key, group);
      group.vms.add(vm);
    }
    return [...groups.values()];
  }
}

/** Whether a fleet of `count` VMs has no owners. */
export function isSmallFleet(count: number): boolean {
  return count <= MAX_SMALL_FLEET_VMS;
}

/**
 * Names of the partitions that pools are divided into in a fleet of `count`
 * VMs.
 */
export function listPartitions(count: number): string[] {
  const owners = Math.ceil(count / VMS_PER_OWNER);
  return Array.from({ length: owners }, (_, index) => `pools-${index}`);
}

/** Finds the partition of a pool. */
export function findPartition(
  pool: PoolName,
  partitions: readonly string[],
): string {
  return pickRendezvousFirst(pool, partitions) ?? pool;
}

/**
 * The owner of a partition, followed by its substitute. VMs that know what
 * replicas have cached come before VMs that have just started.
 */
export function listPartitionOwners(
  partition: string,
  candidates: readonly OwnerCandidate[],
): VmId[] {
  const maxCores = Math.max(...candidates.map(({ cores }) => cores));
  const eligible = candidates.filter(({ cores }) =>
    cores >= MIN_CORE_SHARE * maxCores
  );
  const primed = eligible.filter(({ isPrimed }) => isPrimed);
  const others = eligible.filter(({ isPrimed }) => !isPrimed);
  return [primed, others]
    .flatMap((each) =>
      computeRendezvousOrder(partition, each.map(({ vm }) => vm))
    )
    .slice(0, OWNERS_PER_PARTITION);
}
