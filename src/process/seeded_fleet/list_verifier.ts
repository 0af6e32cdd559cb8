/**
 * Reads the store once more when other VMs have another list at one position.
 *
 * Neither list shows which of them is right, so the store decides. Of the VMs that
 * have one list a few read, and the others get what they find.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { VmId } from "../../ids.ts";
import type { CancelTimer, Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { ReplicaDirectory } from "../placement/replica_list.ts";
import type { Random } from "../random.ts";
import { computeRendezvousRank } from "../rendezvous.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { ListAgreement } from "./list_agreement.ts";
import type { PublishedStore } from "./published_store.ts";
import type { ReadState } from "./store_reader.ts";

/** A change may be on its way to one of the VMs. */
const MIN_WAIT_MS = 100;
const SPREAD_MS = 200;
/**
 * VMs with the same list read one after the other, until one of them has found
 * what is wrong: 500 calls a second at most.
 */
const SPREAD_PER_CALL_MS = 2;
const ITEMS_PER_CALL = 500;
/** Comparisons that show whether most VMs have another list. */
const MIN_COMPARED = 3;
const FIRST_INTERVAL_MS = 500;
const MAX_INTERVAL_MS = 300_000;
const GROWTH_FACTOR = 2;
/** After so long without a VM that differs, the next is another matter. */
const CALM_MS = 10_000;

/** Options of `ListVerifier`. */
export interface ListVerifierOptions {
  vm: VmId;
  clock: Clock;
  random: Random;
  log: Log;
  peers: FleetPeers;
  replicas: ReplicaDirectory;
  agreement: ListAgreement;
  /** Creates a client of the store that shares nothing with another one. */
  createStore: () => PublishedStore;
  onState: (read: ReadState) => void;
}

/** Verifies the list of this VM. */
export class ListVerifier {
  readonly #options: ListVerifierOptions;
  #cancelTimer: CancelTimer | undefined;
  #isReading = false;
  #isStopped = false;
  #intervalMs = FIRST_INTERVAL_MS;
  /** `Clock.now()` before which this VM reads no more. */
  #nextAt = -Infinity;
  #differedAt = -Infinity;
  #count = 0;

  constructor(options: ListVerifierOptions) {
    this.#options = options;
  }

  static create(options: ListVerifierOptions): ListVerifier {
    return new ListVerifier(options);
  }

  /** Reads of the store, failed ones included. */
  get count(): number {
    return this.#count;
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer?.();
  }

  /** Records that another VM was heard whose list differs. */
  noteDiffering(): void {
    const now = this.#options.clock.now();
    if (now - this.#differedAt > CALM_MS) this.#intervalMs = FIRST_INTERVAL_MS;
    this.#differedAt = now;
    if (this.#cancelTimer || this.#isReading || this.#isStopped) return;
    const ms = Math.max(this.#nextAt - now, 0) + this.#computeWaitMs();
    this.#cancelTimer = this.#options.clock.startTimer(ms, () => {
      this.#cancelTimer = undefined;
      if (this.#isDue()) void this.#runRead();
    });
  }

  #computeWaitMs(): number {
    const { agreement, random, replicas } = this.#options;
    const { agreeing } = agreement.countCompared();
    const calls = 2 + replicas.getList().replicas.length / ITEMS_PER_CALL;
    const spreadMs = SPREAD_MS + SPREAD_PER_CALL_MS * calls * (1 + agreeing);
    return MIN_WAIT_MS + spreadMs * random.next();
  }

  /**
   * Whether most VMs have another list, or this VM is the first of those that
   * have the same.
   */
  #isDue(): boolean {
    const { vm, agreement, peers } = this.#options;
    const { differing, agreeing } = agreement.countCompared();
    if (differing === 0) return false;
    const needed = Math.min(MIN_COMPARED, peers.listLive().length);
    if (differing + agreeing >= needed && differing > agreeing) return true;
    const others = agreement.listAgreeing();
    return computeRendezvousRank("list-check", vm, others) === 0;
  }

  async #runRead(): Promise<void> {
    const { clock, log, random, replicas, createStore, onState } =
      this.#options;
    this.#isReading = true;
    this.#count += 1;
    const newestAt = clock.now();
    try {
      const state = await createStore().fetchState();
      if (this.#isStopped) return;
      const before = replicas.getList();
      onState({ state, newestAt, isWhole: true, source: { kind: "unknown" } });
      const isSame = replicas.getList() === before;
      if (isSame) log.info("list_verified", { revision: state.revision });
    } catch (thrown) {
      log.info("list_not_verified", { error: toError(thrown).message });
    } finally {
      this.#isReading = false;
      this.#nextAt = clock.now() + this.#intervalMs * (0.5 + random.next());
      const grownMs = GROWTH_FACTOR * this.#intervalMs;
      this.#intervalMs = Math.min(MAX_INTERVAL_MS, grownMs);
    }
  }
}
