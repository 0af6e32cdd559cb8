/**
 * A VM's view of the other VMs: the published list combined with its own
 * probes.
 *
 * @module
 */
import type { PoolName, VmId } from "../ids.ts";
import type { ListedVm, MembershipList } from "../version/membership_list.ts";

/** A VM's view of the fleet. */
export abstract class MembershipView {
  abstract getList(): MembershipList;
  abstract findVm(vm: VmId): ListedVm | undefined;
  /** Entry VMs of the list, including this one and those that are leaving. */
  abstract listEntryVms(): ListedVm[];
  /**
   * Upstreams of `pool` that may get new requests according to the list and to
   * their own notices.
   */
  abstract listUpstreams(pool: PoolName): ListedVm[];
  /** Whether this VM considers `vm` able to answer now. */
  abstract isReachable(vm: VmId): boolean;
  abstract isDraining(vm: VmId): boolean;
  /**
   * The current owner of `key`: the first VM in rendezvous order over the
   * published list that this VM considers reachable and not draining. VMs with
   * the same list and the same member states find the same owner.
   */
  abstract findOwner(key: string): VmId | undefined;
  /** The owner according to the published list alone, for engine commands. */
  abstract findListedOwner(key: string): VmId | undefined;
  /** Calls `callback` after each change of the list or of a member state. */
  abstract onChange(callback: () => void): void;
}
