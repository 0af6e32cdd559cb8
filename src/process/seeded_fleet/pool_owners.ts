/**
 * Which VMs place requests: their owner, and the one that takes over while it
 * is silent.
 *
 * In a small fleet every VM hears of each request within some 25 ms and decides
 * by itself. In a large one that news would be most of what links and
 * processors do, and it would be old: hundreds of requests are sent in the time
 * that it takes. There, one VM decides for all, and it alone has to know.
 *
 * @module
 */
import type { PoolName, VmId } from "../../ids.ts";
import { computeRendezvousOrder, pickRendezvousFirst } from "../rendezvous.ts";

/**
 * Fleets of so many VMs, this one included, need no owners. Each VM there sends
 * and reads up to 330 datagrams a second of 0.6 KB. Of sixteen VMs with a third
 * of a core each, some read their callers' requests two seconds late in a
 * flood.
 */
const SMALL_FLEET_MOST = 12;
/**
 * The owner and its substitute, who hears all that it hears. What VMs tell of
 * their work goes to each of them; while both are gone, VMs decide alone.
 */
const OWNERS = 2;
/**
 * An owner has at least this share of the cores of the largest VM: it handles
 * three to four datagrams for each request of its pool.
 */
const ABLE_SHARE = 0.5;

/**
 * Pools are shared out among one owner for so many VMs. Each VM tells of its
 * work to every owner, so more owners than needed would be more datagrams; this
 * many VMs bring an owner some 700 requests a second.
 */
const VMS_PER_OWNER = 100;

/** A VM that may place requests. */
export interface OwnerCandidate {
  vm: VmId;
  /** Processor cores that it may use. */
  cores: number;
  /** Whether it knows what replicas have cached. */
  isPrimed: boolean;
}

/** A VM of the fleet; one that serves callers and stays may place requests. */
export interface FleetMember extends OwnerCandidate {
  isServing: boolean;
  isDraining: boolean;
}

/** Some VMs that place requests, and what they own or stand in for. */
export interface OwnerGroup {
  duties: readonly string[];
  vms: ReadonlySet<VmId>;
}

/** Who places the requests of each pool, as long as nobody comes or leaves. */
export class PoolOwners {
  /** What the owners were found by; another one needs them found anew. */
  readonly key: string;
  /** Whether the fleet is large enough for owners. */
  readonly isNeeded: boolean;
  /** Everybody who places requests of any pool. */
  readonly owners: ReadonlySet<VmId>;
  /** The same by duties; each VM is in one group. */
  readonly groups: readonly OwnerGroup[];
  readonly #byDuty: ReadonlyMap<string, readonly VmId[]>;
  readonly #duties: readonly string[];

  constructor(key: string, vms: readonly FleetMember[]) {
    this.key = key;
    this.isNeeded = !isSmallFleet(vms.length);
    this.#duties = this.isNeeded ? listDuties(vms.length) : [];
    const candidates = vms.filter(({ isServing, isDraining }) =>
      isServing && !isDraining
    );
    this.#byDuty = new Map(
      this.#duties.map((duty) => [duty, listPartitionOwners(duty, candidates)]),
    );
    this.owners = new Set([...this.#byDuty.values()].flat());
    this.groups = this.#listGroups();
  }

  /** `vms` are all that are heard and this VM itself. */
  static create(key: string, vms: readonly FleetMember[]): PoolOwners {
    return new PoolOwners(key, vms);
  }

  findDuty(pool: PoolName): string {
    return findDuty(pool, this.#duties);
  }

  /** The owner first, then who takes its place. */
  listOwners(pool: PoolName): readonly VmId[] {
    return this.#byDuty.get(this.findDuty(pool)) ?? [];
  }

  #listGroups(): OwnerGroup[] {
    const groups = new Map<string, { duties: string[]; vms: Set<VmId> }>();
    for (const vm of this.owners) {
      const duties = this.#duties.filter((duty) =>
        this.#byDuty.get(duty)?.includes(vm)
      );
      const key = duties.join();
      const group = groups.get(key) ?? { duties, vms: new Set() };
      groups.set(key, group);
      group.vms.add(vm);
    }
    return [...groups.values()];
  }
}

/** Whether a fleet of `count` VMs does without owners. */
export function isSmallFleet(count: number): boolean {
  return count <= SMALL_FLEET_MOST;
}

/** What there is to own in a fleet of `count` VMs. */
export function listDuties(count: number): string[] {
  const owners = Math.ceil(count / VMS_PER_OWNER);
  return Array.from({ length: owners }, (_, index) => `pools-${index}`);
}

/** Which of `duties` includes the pool. */
export function findDuty(pool: PoolName, duties: readonly string[]): string {
  return pickRendezvousFirst(pool, duties) ?? pool;
}

/**
 * The owner first, then who takes its place. A VM that has just started knows
 * of no cache, so those that do go first.
 */
export function listPartitionOwners(
  duty: string,
  candidates: readonly OwnerCandidate[],
): VmId[] {
  const mostCores = Math.max(...candidates.map(({ cores }) => cores));
  const able = candidates.filter(({ cores }) =>
    cores >= ABLE_SHARE * mostCores
  );
  const primed = able.filter(({ isPrimed }) => isPrimed);
  const others = able.filter(({ isPrimed }) => !isPrimed);
  return [primed, others]
    .flatMap((each) => computeRendezvousOrder(duty, each.map(({ vm }) => vm)))
    .slice(0, OWNERS);
}
