/**
 * Sums of loads by replica, kept up to date with each change.
 *
 * A choice looks at every replica. To add up there what each of many VMs told
 * would cost VMs times replicas for each request.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";

/** Work at one replica. */
export interface ReplicaLoad {
  /** Prompt tokens that are still to be read before any prompt in time. */
  pendingTokens: number;
  /** The same of prompts that are late, and read after those in time. */
  deferredTokens: number;
  /** Requests that have not ended. */
  running: number;
  /** Streams among them that began with a short prompt and go on for long. */
  interactive: number;
}

/** No work. */
export const NO_LOAD: Readonly<ReplicaLoad> = {
  pendingTokens: 0,
  deferredTokens: 0,
  running: 0,
  interactive: 0,
};

/** Two loads together. */
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

/** Prompt tokens to be read there, in whatever order. */
export function countTokens(load: Readonly<ReplicaLoad>): number {
  return load.pendingTokens + load.deferredTokens;
}

/** Sums by replica. */
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

  /** Takes out what was added before. */
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
