/**
 * Fills the memory of a VM that has just started with what replicas hold.
 *
 * What VMs know of replicas' caches is lost with them. After all were killed at
 * once, prompts went to replicas that had not read their shared parts, and the
 * prefill of these again kept every answer late for some eight seconds. A VM
 * asks one that knows; where none does, one VM asks the replicas themselves,
 * since each list that they give delays their work.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { PlacementEntry, PrefixIndex } from "./prefix_index.ts";

/** Other VMs that start at the same time are heard within so long, in ms. */
const SETTLE_MS = 250;
const RETRY_MS = 100;
/** Whom the duty falls to may be dead: then each VM asks for itself. */
const PATIENCE_MS = 2_000;

/** Where the knowledge comes from. */
export interface PrimingSources {
  /** VMs that know, in the order in which they should be asked. */
  listPrimedPeers: () => VmId[];
  fetchFromPeer: (vm: VmId) => Promise<PlacementEntry[]>;
  /** Replicas that cache prompts; none before the list is known. */
  listReplicas: () => VmId[];
  fetchFromReplica: (replica: VmId) => Promise<string[]>;
  /** Whether the duty to ask the replicas is this VM's. */
  isResponsible: () => boolean;
}

/** What priming needs. */
export interface PrefixPrimingOptions {
  clock: Clock;
  log: Log;
  prefixes: PrefixIndex;
  sources: PrimingSources;
}

/** Fills a memory once. */
export class PrefixPriming {
  readonly #options: PrefixPrimingOptions;
  #isPrimed = false;

  constructor(options: PrefixPrimingOptions) {
    this.#options = options;
  }

  static create(options: PrefixPrimingOptions): PrefixPriming {
    return new PrefixPriming(options);
  }

  /** Whether other VMs may ask this one. */
  get isPrimed(): boolean {
    return this.#isPrimed;
  }

  /** Resolves once the memory is filled, or when `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, sources } = this.#options;
    while (sources.listReplicas().length === 0 && !signal.aborted) {
      await clock.sleep(RETRY_MS, signal);
    }
    const startedAt = clock.now();
    await clock.sleep(SETTLE_MS, signal);
    while (!this.#isPrimed && !signal.aborted) {
      await this.#runOnce(clock.now() - startedAt);
      if (!this.#isPrimed) await clock.sleep(RETRY_MS, signal);
    }
  }

  async #runOnce(waitedMs: number): Promise<void> {
    const { sources } = this.#options;
    const [peer] = sources.listPrimedPeers();
    if (peer !== undefined) await this.#fetchFromPeer(peer);
    else if (sources.isResponsible() || waitedMs > PATIENCE_MS) {
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
    // Replicas that did not answer are learnt of from requests, as always.
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
