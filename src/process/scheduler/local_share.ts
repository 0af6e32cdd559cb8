/**
 * The slots that this VM may use of a shard whose owner does not answer.
 *
 * Each listed entry VM takes its part of the pool's initial slots, so that all
 * of them together use no more slots than there are, with no word between
 * them. What is left of an uneven division goes to the first VMs in rendezvous
 * order. Weighed against one slot for each VM at least: with more VMs than
 * slots that would put a multiple of its load on each replica.
 *
 * @module
 */
import type { ShardId, VmId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import { computeRendezvousOrder } from "../rendezvous.ts";

/** What the share is worked out from. */
export interface LocalShareInput {
  vm: VmId;
  shard: ShardId;
  pool: UpstreamPool;
  /** The shard's upstreams that may get work. */
  upstreams: readonly ListedVm[];
  /** Every listed entry VM, whatever this VM believes of it. */
  entryVms: readonly ListedVm[];
}

/** This VM's part of the shard's slots. */
export function computeLocalShare(input: LocalShareInput): number {
  const slots = input.upstreams.length * input.pool.slots.initial;
  const vms = input.entryVms.map((vm) => vm.id);
  if (vms.length === 0) return 0;
  const each = Math.floor(slots / vms.length);
  const left = slots - each * vms.length;
  const order = computeRendezvousOrder(`local:${input.shard}`, vms);
  const place = order.indexOf(input.vm);
  return place >= 0 && place < left ? each + 1 : each;
}

/** Local use of one shard's slots. */
export class LocalShare {
  readonly #inUse = new Map<VmId, number>();
  readonly #waitingRanks = new Map<number, number>();
  #total = 0;

  static create(): LocalShare {
    return new LocalShare();
  }

  get isIdle(): boolean {
    return this.#total === 0 && this.#waitingRanks.size === 0;
  }

  /** Notes a request that waits, so that no lower tier goes before it. */
  addWaiting(rank: number): void {
    this.#waitingRanks.set(rank, (this.#waitingRanks.get(rank) ?? 0) + 1);
  }

  removeWaiting(rank: number): void {
    const left = (this.#waitingRanks.get(rank) ?? 0) - 1;
    if (left > 0) this.#waitingRanks.set(rank, left);
    else this.#waitingRanks.delete(rank);
  }

  /**
   * Takes a slot on the upstream used least; undefined when the share is used
   * up, a higher tier waits, or no upstream is left.
   */
  take(
    rank: number,
    options: { share: number; upstreams: readonly VmId[] },
  ): VmId | undefined {
    if (this.#total >= options.share) return undefined;
    for (const waiting of this.#waitingRanks.keys()) {
      if (waiting < rank) return undefined;
    }
    const upstream = this.#findLeastUsed(options.upstreams);
    if (upstream === undefined) return undefined;
    this.#total++;
    this.#inUse.set(upstream, (this.#inUse.get(upstream) ?? 0) + 1);
    return upstream;
  }

  release(upstream: VmId): void {
    const left = (this.#inUse.get(upstream) ?? 0) - 1;
    this.#total--;
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
