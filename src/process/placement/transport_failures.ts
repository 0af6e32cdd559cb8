/**
 * Tells failures of replicas from failures of this VM's links.
 *
 * A lost connection, or silence, has either cause. A replica that still accepts
 * connections from here failed the request itself. One that does not is down
 * only if this VM's links work and no other VM reaches it, so other VMs verify
 * such a report before they count it.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { LinkChecks } from "./link_checks.ts";
import type { ReplicaHealth } from "./replica_health.ts";
import type { ReplicaLinks } from "./replica_links.ts";
import type { ListedReplica } from "./replica_list.ts";

/** Failures of a replica that a VM with working links could not reach. */
export type UnreachedEntry = [replica: VmId, failed: number];

/** Options of `TransportFailures`. */
export interface TransportFailuresOptions {
  health: ReplicaHealth;
  links: ReplicaLinks;
  checks: LinkChecks;
  findReplica: (replica: VmId) => ListedReplica | undefined;
}

/** Attributes failures without an answer. */
export class TransportFailures {
  readonly #options: TransportFailuresOptions;
  #unsent = new Map<VmId, number>();

  constructor(options: TransportFailuresOptions) {
    this.#options = options;
  }

  static create(options: TransportFailuresOptions): TransportFailures {
    return new TransportFailures(options);
  }

  /**
   * Attributes the failure of one of this VM's own requests. Resolves once it is
   * known whether this VM reaches the replica.
   */
  async note(id: VmId): Promise<void> {
    const { health, links, checks, findReplica } = this.#options;
    const replica = findReplica(id);
    if (replica === undefined) return;
    const isReached = !links.isUnreachable(id) && await checks.check(id);
    if (isReached) health.noteResult(id, false);
    else void this.#noteUnreached(replica);
  }

  /**
   * Counts replicas that another VM did not reach if this VM does not reach them
   * either, or reaches none and so depends on what others report.
   */
  async notePeers(entries: readonly UnreachedEntry[]): Promise<void> {
    const { health, links, checks, findReplica } = this.#options;
    for (const [id, failed] of entries) {
      const replica = findReplica(id);
      if (replica === undefined) continue;
      const isReached = !links.isLost(replica.pool) && await checks.check(id);
      if (!isReached) health.notePeerResults([[id, 0, failed]]);
    }
  }

  /** Takes the failures that were not sent to the other VMs yet. */
  takeUnsent(): UnreachedEntry[] {
    const entries = [...this.#unsent];
    this.#unsent = new Map();
    return entries;
  }

  async #noteUnreached(replica: ListedReplica): Promise<void> {
    const { health, checks } = this.#options;
    if (!await checks.checkOthers(replica)) return;
    health.noteResult(replica.id, false, { isShared: false });
    this.#unsent.set(replica.id, (this.#unsent.get(replica.id) ?? 0) + 1);
  }
}
