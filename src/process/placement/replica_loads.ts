/**
 * Load of each replica: this VM's own requests, counted as they are sent, and
 * those of the other VMs, as last reported.
 *
 * Reports of the replicas themselves lag by some hundred milliseconds, and VMs
 * that read the same report all send to the same replica. Reports between VMs
 * are a few milliseconds old.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { UnreportedLoads } from "./unreported_loads.ts";
import {
  addLoads,
  LoadTotals,
  NO_LOAD,
  type ReplicaLoad,
} from "./load_totals.ts";

/** Reports of other VMs expire after this time. */
const PEER_LOAD_TTL_MS = 1_500;

/** Load of one replica as a VM reports it. */
export type LoadEntry = [
  replica: VmId,
  pendingTokens: number,
  running: number,
  interactive: number,
  deferredTokens: number,
];

/** What one request adds to a load. */
export interface AddedLoad {
  pendingTokens: number;
  isInteractive: boolean;
  /** Whether it is prefilled after all prompts that can still be on time. */
  isDeferred?: boolean | undefined;
}

interface PeerLoads {
  notedAt: number;
  entries: { replica: VmId; load: ReplicaLoad }[];
}

/** One request of this VM at a replica. */
export class PlacedWork {
  readonly #load: ReplicaLoad;
  readonly #onChange: () => void;
  readonly #interactive: number;
  readonly #tokens: "pendingTokens" | "deferredTokens";
  #pendingTokens: number;
  #hasEnded = false;

  constructor(load: ReplicaLoad, added: AddedLoad, onChange: () => void) {
    this.#load = load;
    this.#onChange = onChange;
    this.#pendingTokens = added.pendingTokens;
    this.#interactive = added.isInteractive ? 1 : 0;
    this.#tokens = added.isDeferred ? "deferredTokens" : "pendingTokens";
    load[this.#tokens] += added.pendingTokens;
    load.running += 1;
    load.interactive += this.#interactive;
  }

  /**
   * Removes the tokens of the prompt: with the first output, it is prefilled.
   */
  noteFirstOutput(): void {
    if (this.#pendingTokens === 0) return;
    this.#load[this.#tokens] -= this.#pendingTokens;
    this.#pendingTokens = 0;
    this.#onChange();
  }

  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.noteFirstOutput();
    this.#load.running -= 1;
    this.#load.interactive -= this.#interactive;
    this.#onChange();
  }
}

/** Loads by replica. */
export class ReplicaLoads {
  readonly #clock: Clock;
  readonly #own = new Map<VmId, ReplicaLoad>();
  /** Reports of the other VMs; the oldest first. */
  readonly #peers = new Map<VmId, PeerLoads>();
  readonly #peerTotals = LoadTotals.create();
  /**
   * Requests placed here for other VMs that their reports do not include yet.
   */
  readonly unreported: UnreportedLoads;
  readonly #onChange: () => void;

  constructor(clock: Clock, onChange: () => void) {
    this.#clock = clock;
    this.#onChange = onChange;
    this.unreported = UnreportedLoads.create(clock);
  }

  /** `onChange` is called on each change of this VM's own load. */
  static create(clock: Clock, onChange: () => void): ReplicaLoads {
    return new ReplicaLoads(clock, onChange);
  }

  /** Counts a request of this VM until it ends. */
  addOwn(replica: VmId, added: AddedLoad): PlacedWork {
    const load = this.#own.get(replica) ?? { ...NO_LOAD };
    this.#own.set(replica, load);
    const work = new PlacedWork(load, added, () => {
      const isCurrent = this.#own.get(replica) === load;
      if (isCurrent && load.running === 0) this.#own.delete(replica);
      this.#onChange();
    });
    this.#onChange();
    return work;
  }

  /** Forgets this VM's requests at a replica whose process is gone. */
  dropOwn(replica: VmId): void {
    this.#own.delete(replica);
    this.#onChange();
  }

  /** Replaces the last report of `vm`. */
  putPeerLoads(vm: VmId, entries: readonly LoadEntry[]): void {
    this.#dropPeer(vm);
    const loads: PeerLoads = {
      notedAt: this.#clock.now(),
      entries: entries.map((
        [replica, pendingTokens, running, interactive, deferredTokens],
      ) => ({
        replica,
        load: { pendingTokens, deferredTokens, running, interactive },
      })),
    };
    this.#peers.set(vm, loads);
    for (const { replica, load } of loads.entries) {
      this.#peerTotals.add(replica, load);
    }
  }

  /** Renews the last report of `vm`. */
  notePeerAlive(vm: VmId): void {
    const loads = this.#peers.get(vm);
    if (loads === undefined) return;
    // Inserted again to keep the oldest first.
    this.#peers.delete(vm);
    this.#peers.set(vm, { ...loads, notedAt: this.#clock.now() });
  }

  /** Load of all VMs at `replica`. */
  getLoad(replica: VmId): ReplicaLoad {
    this.#dropExpiredPeers();
    const peerLoad = addLoads(
      this.#peerTotals.get(replica),
      this.unreported.get(replica),
    );
    return addLoads(this.#own.get(replica) ?? NO_LOAD, peerLoad);
  }

  /** Requests of this VM at `replica`. */
  countOwn(replica: VmId): number {
    return this.#own.get(replica)?.running ?? 0;
  }

  /** This VM's own load, as reported to the others. */
  listOwn(): LoadEntry[] {
    return [...this.#own].map(([replica, load]) => [
      replica,
      load.pendingTokens,
      load.running,
      load.interactive,
      load.deferredTokens,
    ]);
  }

  #dropExpiredPeers(): void {
    const oldest = this.#clock.now() - PEER_LOAD_TTL_MS;
    for (const [vm, peer] of this.#peers) {
      if (peer.notedAt >= oldest) return;
      this.#dropPeer(vm);
    }
  }

  #dropPeer(vm: VmId): void {
    const peer = this.#peers.get(vm);
    this.#peers.delete(vm);
    for (const { replica, load } of peer?.entries ?? []) {
      this.#peerTotals.remove(replica, load);
    }
  }
}
