/**
 * Chooses the VMs that watch the store for all others.
 *
 * All VMs choose alike from the VMs that they consider live. In a large fleet a
 * VM may be considered live for most of a minute after it was cut off or
 * paused, so VMs under whose watch a view became stale are passed over until
 * they are heard again.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import { computeRendezvousOrder } from "../rendezvous.ts";

/** VMs that watch the store: two of them may fail without a gap. */
const WATCHER_COUNT = 3;
/** Each further time that a view becomes stale, so many times more are out. */
const GROWTH_FACTOR = 2;

/** The choice of one VM. */
export class WatcherElection {
  readonly #vm: VmId;
  readonly #passedOver = new Set<VmId>();
  #nextCount = WATCHER_COUNT;

  constructor(vm: VmId) {
    this.#vm = vm;
  }

  static create(vm: VmId): WatcherElection {
    return new WatcherElection(vm);
  }

  /** Whether this VM watches, if `others` can watch as well. */
  isChosen(others: readonly VmId[]): boolean {
    return this.#listOrder(others).slice(0, WATCHER_COUNT).includes(this.#vm);
  }

  /** Whether this VM comes first of those that watch. */
  isFirst(others: readonly VmId[]): boolean {
    return this.#listOrder(others)[0] === this.#vm;
  }

  /**
   * Passes over the VMs that should have kept the view fresh. Their number
   * doubles each time, so that a VM that hears from nobody soon relies on
   * itself.
   */
  noteStale(others: readonly VmId[]): void {
    const order = this.#listOrder(others);
    const chosen = order.filter((each) => each !== this.#vm)
      .slice(0, this.#nextCount);
    chosen.forEach((each) => this.#passedOver.add(each));
    this.#nextCount *= GROWTH_FACTOR;
  }

  /** Records that a VM was heard, which may watch again. */
  noteHeard(vm: VmId): void {
    this.#passedOver.delete(vm);
    if (this.#passedOver.size === 0) this.#nextCount = WATCHER_COUNT;
  }

  #listOrder(others: readonly VmId[]): VmId[] {
    const eligible = others.filter((each) => !this.#passedOver.has(each));
    return computeRendezvousOrder("store-watch", [this.#vm, ...eligible]);
  }
}
