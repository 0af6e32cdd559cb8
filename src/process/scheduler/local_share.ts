/**
 * The slots of a shard that this VM may use while the shard's owner is
 * unreachable.
 *
 * The pool's initial slots are divided among all listed entry VMs, so that
 * without any coordination the VMs never use more slots than exist. The
 * remainder of the division goes to the first VMs in rendezvous order. A share
 * can be empty: if every VM had at least one slot, then with more VMs than
 * slots each replica would be overloaded several times over.
 *
 * @module
 */
import type { ShardId, VmId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import { computeRendezvousOrder } from "../rendezvous.ts";

/** Input of `computeLocalShare`. */
export interface LocalShareInput {
  vm: VmId;
  shard: ShardId;
  pool: UpstreamPool;
  /** The shard's upstreams that accept work. */
  upstreams: readonly ListedVm[];
  /** All listed entry VMs, whatever their member state. */
  entryVms: readonly ListedVm[];
}

/** Computes the number of slots of the shard that this VM may use. */
export function computeLocalShare(input: LocalShareInput): number {
  const slots = input.upstreams.length * input.pool.slots.initial;
  const vms = input.entryVms.map((vm) => vm.id);
  if (vms.length === 0) return 0;
  const slotsPerVm = Math.floor(slots / vms.length);
  const remainder = slots - slotsPerVm * vms.length;
  const order = computeRendezvousOrder(`local:${input.shard}`, vms);
  const position = order.indexOf(input.vm);
  return position >= 0 && position < remainder ? slotsPerVm + 1 : slotsPerVm;
}

/** Tracks this VM's use of its local share of one shard. */
export class LocalShare {
  readonly #inUse = new Map<VmId, number>();
  readonly #waitingRanks = new Map<number, number>();
  #totalInUse = 0;

  static create(): LocalShare {
    return new LocalShare();
  }

  get isIdle(): boolean {
    return this.#totalInUse === 0 && this.#waitingRanks.size === 0;
  }

  /** Adds a waiting request; lower tiers get no slot while it waits. */
  addWaiting(rank: number): void {
    this.#waitingRanks.set(rank, (this.#waitingRanks.get(rank) ?? 0) + 1);
  }

  removeWaiting(rank: number): void {
    const left = (this.#waitingRanks.get(rank) ?? 0) - 1;
    if (left > 0) this.#waitingRanks.set(rank, left);
    else this.#waitingRanks.delete(rank);
  }

  /**
   * Takes a slot on the least used upstream. Returns undefined if the share is
   * used up, a higher tier waits, or `upstreams` is empty.
   */
  take(
    rank: number,
    options: { share: number; upstreams: readonly VmId[] },
  ): VmId | undefined {
    if (this.#totalInUse >= options.share) return undefined;
    for (const waiting of this.#waitingRanks.keys()) {
      if (waiting < rank) return undefined;
    }
    const upstream = this.#findLeastUsed(options.upstreams);
    if (upstream === undefined) return undefined;
    this.#totalInUse++;
    this.#inUse.set(upstream, (this.#inUse.get(upstream) ?? 0) + 1);
    return upstream;
  }

  release(upstream: VmId): void {
    const left = (this.#inUse.get(upstream) ?? 0) - 1;
    this.#totalInUse--;
    if (left > 0) this.#inUse.set(upstream, left);
    else this.#inUse.delete(upstream);
  }

  #findLeastUsed(upstreams: readonly VmId[]): VmId | undefined {
    let least: VmId | undefined;
    for (const upstream of upstreams) {
      const used = this.#inUse.get(upstream) ?? 0;
      if (least === undefined || used < (this.#inUse.get(least) ?? 0)) {
        least = upstream;
      }
    }
    return least;
  }
}
