/**
 * Fills the prefix index of a VM that has just started.
 *
 * A VM's prefix index is lost when it stops. After a restart of all VMs at
 * once, prompts would go to replicas that have not cached their shared parts,
 * and prefilling these again would make every answer late for some eight
 * seconds.
 *
 * A VM fetches the entries of a VM that has them. Where none has, a single VM
 * asks the replicas, since listing their caches delays their work.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { PlacementEntry, PrefixIndex } from "./prefix_index.ts";

/** VMs that start at the same time discover each other within this time. */
const DISCOVERY_MS = 250;
const RETRY_MS = 100;
const CUT_OFF_RETRY_MS = 1_000;
/**
 * The responsible VM may be dead: after this time every VM asks the replicas
 * itself.
 */
const FALLBACK_AFTER_MS = 2_000;

/** Sources of index entries. */
export interface PrimingSources {
  /** VMs with a filled index, in the order in which they should be asked. */
  listPrimedPeers: () => VmId[];
  fetchFromPeer: (vm: VmId) => Promise<PlacementEntry[]>;
  /** Replicas that cache prompts; none before the list is known. */
  listReplicas: () => VmId[];
  fetchFromReplica: (replica: VmId) => Promise<string[]>;
  /** Whether this VM is the one that asks the replicas. */
  isResponsible: () => boolean;
  /** Whether this VM has no path to the replicas of a pool. */
  isCutOff: () => boolean;
}

/** Options of `PrefixPriming`. */
export interface PrefixPrimingOptions {
  clock: Clock;
  log: Log;
  prefixes: PrefixIndex;
  sources: PrimingSources;
}

/** Fills an index once. */
export class PrefixPriming {
  readonly #options: PrefixPrimingOptions;
  #isPrimed = false;

  constructor(options: PrefixPrimingOptions) {
    this.#options = options;
  }

  static create(options: PrefixPrimingOptions): PrefixPriming {
    return new PrefixPriming(options);
  }

  /** Whether other VMs may fetch entries from this one. */
  get isPrimed(): boolean {
    return this.#isPrimed;
  }

  /** Resolves once the index is filled, or when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, sources } = this.#options;
    while (sources.listReplicas().length === 0 && !signal.aborted) {
      await clock.sleep(RETRY_MS, signal);
    }
    const startedAt = clock.now();
    await clock.sleep(DISCOVERY_MS, signal);
    while (!this.#isPrimed && !signal.aborted) {
      await this.#runOnce(clock.now() - startedAt);
      if (this.#isPrimed) return;
      const isCutOff = this.#options.sources.isCutOff();
      await clock.sleep(isCutOff ? CUT_OFF_RETRY_MS : RETRY_MS, signal);
    }
  }

  async #runOnce(waitedMs: number): Promise<void> {
    const { sources } = this.#options;
    const [peer] = sources.listPrimedPeers();
    if (peer !== undefined) await this.#fetchFromPeer(peer);
    else if (sources.isResponsible() || waitedMs > FALLBACK_AFTER_MS) {
      await this.#fetchFromReplicas();
    }
  }

  async #fetchFromPeer(peer: VmId): Promise<void> {
    const { prefixes, sources, log } = this.#options;
    try {
      const entries = await sources.fetchFromPeer(peer);
      prefixes.notePeerPlacements(entries);
      this.#end({ from: peer, replicas: entries.length });
    } catch (thrown) {
      log.info("prefixes_not_fetched", {
        peer,
        error: toError(thrown).message,
      });
    }
  }

  async #fetchFromReplicas(): Promise<void> {
    const replicas = this.#options.sources.listReplicas();
    const fetched = await Promise.all(
      replicas.map((replica) => this.#fetchFromReplica(replica)),
    );
    const count = fetched.filter((isFetched) => isFetched).length;
    // Others would take an empty index from this VM.
    if (count === 0 && this.#options.sources.isCutOff()) return;
    // Caches of replicas that did not answer become known through requests.
    this.#end({ from: "replicas", replicas: count });
  }

  async #fetchFromReplica(replica: VmId): Promise<boolean> {
    const { prefixes, sources, log } = this.#options;
    try {
      const parts = await sources.fetchFromReplica(replica);
      prefixes.notePeerPlacements([[replica, parts, 0]]);
      return true;
    } catch (thrown) {
      log.info("prefixes_not_fetched", {
        peer: replica,
        error: toError(thrown).message,
      });
      return false;
    }
  }

  #end(fields: { from: string; replicas: number }): void {
    this.#isPrimed = true;
    this.#options.log.info("prefixes_primed", fields);
  }
}
