/**
 * What a VM knows of the others: the published list and its own probes.
 *
 * @module
 */
import type { PoolName, VmId } from "../ids.ts";
import type { ListedVm, MembershipList } from "../version/membership_list.ts";

/** A VM's view of the fleet. */
export abstract class MembershipView {
  abstract getList(): MembershipList;
  abstract findVm(vm: VmId): ListedVm | undefined;
  /** Entry VMs in the list, this one among them, leaving ones too. */
  abstract listEntryVms(): ListedVm[];
  /** Upstreams of `pool` that may get new work, by list and own word. */
  abstract listUpstreams(pool: PoolName): ListedVm[];
  /** Whether this VM believes that `vm` answers now. */
  abstract isReachable(vm: VmId): boolean;
  abstract isDraining(vm: VmId): boolean;
  /**
   * The VM that should act as the owner of `key` now: the first in rendezvous
   * order over the published list that this VM believes reachable and not
   * draining. Every VM with the same list and beliefs computes the same one.
   */
  abstract findOwner(key: string): VmId | undefined;
  /** The owner that the published list alone names, for orders. */
  abstract findListedOwner(key: string): VmId | undefined;
  /** Called after each change of the list or of a belief. */
  abstract onChange(callback: () => void): void;
}
