/**
 * What each replica has in hand: this VM's own work, counted as it is sent,
 * and the other VMs', as they last told.
 *
 * Replicas' own reports lag by some hundred milliseconds, and VMs that read
 * the same report all send to the same replica; what VMs tell each other of
 * their own work is a few milliseconds old.
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

/** What another VM told is ignored after so long, in milliseconds. */
const PEER_LOAD_TTL_MS = 1_500;

/** One replica's load as a VM tells it. */
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
  /** Whether it goes behind all that can still be in time. */
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

  /** The prompt has been read: the first output is there. */
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
  /** By when they were told; the oldest first. */
  readonly #peers = new Map<VmId, PeerLoads>();
  readonly #peerTotals = LoadTotals.create();
  /** Placed here for other VMs and not told by them yet. */
  readonly unreported: UnreportedLoads;
  readonly #onChange: () => void;

  constructor(clock: Clock, onChange: () => void) {
    this.#clock = clock;
    this.#onChange = onChange;
    this.unreported = UnreportedLoads.create(clock);
  }

  /** `onChange` hears of each change of this VM's own work. */
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

  /** Replaces what `vm` told before. */
  putPeer(vm: VmId, entries: readonly LoadEntry[]): void {
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

  /** What `vm` told before still holds. */
  notePeerAlive(vm: VmId): void {
    const loads = this.#peers.get(vm);
    if (loads === undefined) return;
    // Set anew, so that the oldest stay first.
    this.#peers.delete(vm);
    this.#peers.set(vm, { ...loads, notedAt: this.#clock.now() });
  }

  /** Everybody's work at `replica`. */
  getLoad(replica: VmId): ReplicaLoad {
    this.#dropOldPeers();
    const ofOthers = addLoads(
      this.#peerTotals.get(replica),
      this.unreported.get(replica),
    );
    return addLoads(this.#own.get(replica) ?? NO_LOAD, ofOthers);
  }

  /** This VM's own work, to be told to the others. */
  listOwn(): LoadEntry[] {
    return [...this.#own].map(([replica, load]) => [
      replica,
      load.pendingTokens,
      load.running,
      load.interactive,
      load.deferredTokens,
    ]);
  }

  #dropOldPeers(): void {
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
