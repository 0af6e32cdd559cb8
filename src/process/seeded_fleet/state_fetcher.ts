/**
 * Fetches newer state from other VMs.
 *
 * A connection may be silent and a VM too busy to answer, so this does not wait
 * for one VM only: while a call is open, others are sent to other VMs that have
 * newer state.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { Random } from "../random.ts";
import type { FleetPeer, FleetPeers } from "./fleet_peers.ts";

/** A call takes a few milliseconds; one open for so long is hedged. */
const HEDGE_AFTER_MS = 100;
/** Bounds the load of a VM that answers late because it is busy. */
const MAX_OPEN_CALLS = 5;

/** Options of `StateFetcher`. */
export interface StateFetcherOptions {
  clock: Clock;
  random: Random;
  log: Log;
  peers: FleetPeers;
  /** Whether the peer has newer state than this VM. */
  isAhead: (peer: FleetPeer) => boolean;
  /** Fetches and applies the peer's newer state. */
  fetchFrom: (
    peer: FleetPeer,
    options: { freshConnection: boolean },
  ) => Promise<void>;
}

/** Sends calls until this VM has the newest state that it heard of. */
export class StateFetcher {
  readonly #options: StateFetcherOptions;
  readonly #open = new Set<VmId>();
  /** Peers whose calls failed since this VM last got newer state. */
  readonly #failed = new Set<VmId>();
  #lastCallAt = -Infinity;
  #failures = 0;

  constructor(options: StateFetcherOptions) {
    this.#options = options;
  }

  static create(options: StateFetcherOptions): StateFetcher {
    return new StateFetcher(options);
  }

  /** Calls that failed. */
  get failures(): number {
    return this.#failures;
  }

  /** Fetches from a peer that has newer state, unless a call was just sent. */
  noteAhead(peer: FleetPeer): void {
    if (this.#isCallDue()) void this.#fetchFrom(peer);
  }

  async #fetchFrom(peer: FleetPeer): Promise<void> {
    const { vm } = peer.heartbeat;
    if (this.#open.has(vm)) return;
    const freshConnection = this.#open.size + this.#failed.size > 0;
    this.#open.add(vm);
    this.#lastCallAt = this.#options.clock.now();
    const cancelHedge = this.#options.clock.startTimer(
      HEDGE_AFTER_MS,
      () => this.#fetchElsewhere(),
    );
    try {
      await this.#options.fetchFrom(peer, { freshConnection });
      this.#noteEnded(vm);
      this.#failed.clear();
    } catch (thrown) {
      this.#noteEnded(vm);
      this.#noteFailure(vm, toError(thrown));
    } finally {
      cancelHedge();
    }
  }

  /** Sends a call to another peer that has newer state, if there is one. */
  #fetchElsewhere(): void {
    const { peers, random, isAhead } = this.#options;
    if (this.#open.size >= MAX_OPEN_CALLS) return;
    const ahead = peers.listLive().filter((peer) =>
      isAhead(peer) && !this.#open.has(peer.heartbeat.vm) &&
      !this.#failed.has(peer.heartbeat.vm)
    );
    const peer = random.pick(ahead);
    if (peer !== undefined) void this.#fetchFrom(peer);
  }

  #isCallDue(): boolean {
    const sinceMs = this.#options.clock.now() - this.#lastCallAt;
    return this.#open.size < MAX_OPEN_CALLS &&
      (this.#open.size === 0 || sinceMs >= HEDGE_AFTER_MS);
  }

  #noteEnded(vm: VmId): void {
    this.#open.delete(vm);
    this.#lastCallAt = -Infinity;
  }

  #noteFailure(vm: VmId, error: Error): void {
    this.#failures += 1;
    this.#failed.add(vm);
    this.#options.log.info("peer_fetch_failed", {
      peer: vm,
      error: error.message,
    });
    this.#fetchElsewhere();
  }
}
