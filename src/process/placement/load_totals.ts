/**
 * Total load of each replica, updated with every change.
 *
 * A choice looks at every replica. Adding up the reports of all VMs there would
 * cost the number of VMs times the number of replicas for each request.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";

/** Load of one replica. */
export interface ReplicaLoad {
  /** Prompt tokens still to be prefilled, except those of deferred prompts. */
  pendingTokens: number;
  /** The same for deferred prompts, which are prefilled after those on time. */
  deferredTokens: number;
  /** Requests there that have not ended, running or queued. */
  running: number;
  /** Interactive streams among them, with short prompts and long outputs. */
  interactive: number;
}

/** Load of an idle replica. */
export const NO_LOAD: Readonly<ReplicaLoad> = {
  pendingTokens: 0,
  deferredTokens: 0,
  running: 0,
  interactive: 0,
};

/** Sum of two loads. */
export function addLoads(
  left: Readonly<ReplicaLoad>,
  right: Readonly<ReplicaLoad>,
): ReplicaLoad {
  return {
    pendingTokens: left.pendingTokens + right.pendingTokens,
    deferredTokens: left.deferredTokens + right.deferredTokens,
    running: left.running + right.running,
    interactive: left.interactive + right.interactive,
  };
}

/** Prompt tokens still to be prefilled, deferred or not. */
export function countTokens(load: Readonly<ReplicaLoad>): number {
  return load.pendingTokens + load.deferredTokens;
}

/** Total loads by replica. */
export class LoadTotals {
  readonly #totals = new Map<VmId, ReplicaLoad>();

  static create(): LoadTotals {
    return new LoadTotals();
  }

  get(replica: VmId): Readonly<ReplicaLoad> {
    return this.#totals.get(replica) ?? NO_LOAD;
  }

  add(replica: VmId, load: Readonly<ReplicaLoad>): void {
    this.#totals.set(replica, addLoads(this.get(replica), load));
  }

  /** Subtracts a load that was added before. */
  remove(replica: VmId, load: Readonly<ReplicaLoad>): void {
    const rest = addLoads(this.get(replica), {
      pendingTokens: -load.pendingTokens,
      deferredTokens: -load.deferredTokens,
      running: -load.running,
      interactive: -load.interactive,
    });
    if (rest.running === 0) this.#totals.delete(replica);
    else this.#totals.set(replica, rest);
  }
}
