/**
 * Watches the store where this VM has to.
 *
 * Reads of the store are billed and limited for the whole fleet, so a few VMs
 * watch it and the others fetch changes from them. A VM that knows of no peer
 * with a fresh view watches the store itself until there is one again: a
 * watcher that is cut off from the store may show it only by the age of its
 * view.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { VmId } from "../../ids.ts";
import { computeListDigest } from "../placement/list_digest.ts";
import {
  isNewer,
  isSamePosition,
  type ListPosition,
} from "../placement/list_position.ts";
import type { ReplicaList } from "../placement/replica_list.ts";
import type { Random } from "../random.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { PublishedStore } from "./published_store.ts";
import {
  StoreAvailability,
  type StoreAvailabilityOptions,
} from "./store_availability.ts";
import { type ReadState, StoreReader } from "./store_reader.ts";
import { StoreRetry } from "./store_retry.ts";
import { WatcherElection } from "./watcher_election.ts";

/** A watch waits this long for a change. */
const WATCH_WAIT_MS = 1_000;
/** Length of a watch that only tells whether a stale view is the newest. */
const CONFIRMING_WATCH_WAIT_MS = 20;
/**
 * Length of a watch while expired replicas are retained, so that they are
 * dropped soon after their time is over.
 */
const EXPIRED_WATCH_WAIT_MS = 300;
/** Interval at which a VM checks whether it has to watch the store. */
const WATCH_CHECK_INTERVAL_MS = 200;

/** Failed calls in a row after which the store counts as unavailable. */
const UNAVAILABLE_FAILURES = 2;

/** Options of `StoreWatcher`. */
export interface StoreWatcherOptions extends StoreAvailabilityOptions {
  vm: VmId;
  random: Random;
  store: PublishedStore;
  peers: FleetPeers;
  /** Whether this VM has a configuration and a list. */
  hasState: () => boolean;
  /** The newest list that this VM has from the store or another VM. */
  getList: () => ReplicaList;
  /** Whether this VM has known of newer state for some time. */
  isBehind: () => boolean;
  /** Age of this VM's list in milliseconds, for the log. */
  getListAgeMs: () => number;
  /** Whether replicas are retained that are missing in the store's list. */
  isRetaining: () => boolean;
  onState: (read: ReadState) => void;
  /** Called when the store answers without its state. */
  onAnswered: () => void;
}

/** Why a VM watches the store. */
type WatchReason = "no_state" | "stale" | "behind" | "chosen";

/** Reads the store while this VM is one of those that watch it. */
export class StoreWatcher {
  readonly #options: StoreWatcherOptions;
  readonly #stopped = new AbortController();
  readonly #election: WatcherElection;
  readonly #retry = StoreRetry.create();
  readonly #reader: StoreReader;
  readonly #availability: StoreAvailability;
  #isWatching = false;
  #wasStale = false;
  /** Whether this process has read the store before. */
  #hasReadStore = false;
  /** Position of the state that the store last returned. */
  #position: ListPosition = { revision: 0 };
  /** Aborting it ends the wait for the next check. */
  #idle = new AbortController();

  constructor(options: StoreWatcherOptions) {
    this.#options = options;
    this.#election = WatcherElection.create(options.vm);
    this.#availability = StoreAvailability.create(options);
    this.#reader = StoreReader.create({
      ...options,
      onAnswered: (calledAt) => {
        this.#retry.noteAnswered();
        this.#availability.noteAnswered(calledAt);
        options.onAnswered();
      },
    });
  }

  static create(options: StoreWatcherOptions): StoreWatcher {
    return new StoreWatcher(options);
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
    this.#idle.abort();
    this.#reader.stop();
  }

  /** Checks at once whether this VM has to watch. */
  checkNow(): void {
    this.#idle.abort();
  }

  /** Whether the last call to the store failed. */
  get isLost(): boolean {
    return this.#availability.isLost;
  }

  /** Whether the store is unavailable to this VM: it may cut one call. */
  get isUnavailable(): boolean {
    return this.#retry.failures >= UNAVAILABLE_FAILURES;
  }

  get isWatching(): boolean {
    return this.#isWatching;
  }

  /** Records that another VM was heard. */
  noteHeard(vm: VmId): void {
    this.#election.noteHeard(vm);
  }

  async #run(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      this.#checkStale();
      this.#updateWatching();
      if (this.#isWatching) await this.#watchOnce();
      else await this.#waitForCheck();
    }
  }

  #updateWatching(): void {
    const reason = this.#findReason();
    const isNeeded = reason !== undefined;
    if (isNeeded === this.#isWatching) return;
    this.#isWatching = isNeeded;
    this.#availability.noteWatching();
    if (isNeeded) this.#reader.start();
    else this.#reader.stop();
    this.#options.log.info("store_watch", {
      watching: isNeeded,
      reason,
      list_age_ms: this.#options.getListAgeMs(),
    });
  }

  async #waitForCheck(): Promise<void> {
    const { clock, random } = this.#options;
    const ms = WATCH_CHECK_INTERVAL_MS * (0.5 + random.next());
    await clock.sleep(ms, this.#idle.signal);
    if (this.#idle.signal.aborted) this.#idle = new AbortController();
  }

  /**
   * VMs without access to the store are skipped, because the store may refuse
   * only these. Waiting until all views are stale would take longer than a
   * revoked key may remain valid.
   */
  #findReason(): WatchReason | undefined {
    const { hasState, isBehind, isViewStale } = this.#options;
    if (!hasState()) return "no_state";
    if (isViewStale()) return "stale";
    if (isBehind()) return "behind";
    const isChosen = this.#election.isChosen(this.#listCandidates());
    return isChosen ? "chosen" : undefined;
  }

  /** Other VMs that can watch the store. */
  #listCandidates(): VmId[] {
    return this.#options.peers.listLive()
      .filter(({ heartbeat }) =>
        !heartbeat.isDraining && !heartbeat.isStoreLost
      )
      .map((peer) => peer.heartbeat.vm);
  }

  #checkStale(): void {
    const isStale = this.#options.isViewStale();
    if (isStale === this.#wasStale) return;
    this.#wasStale = isStale;
    if (isStale) this.#election.noteStale(this.#listCandidates());
    const { log, getList, getListAgeMs } = this.#options;
    log.info(isStale ? "list_unconfirmed" : "list_confirmed", {
      list_revision: getList().revision,
      list_age_ms: getListAgeMs(),
    });
  }

  async #watchOnce(): Promise<void> {
    const { clock, random, store, getList } = this.#options;
    const calledAt = clock.now();
    try {
      const waitMs = this.#computeWatchWaitMs();
      const list = getList();
      store.resumeFrom(list);
      const known = isNewer(list, this.#position) ? list : this.#position;
      const read = this.#canWatch() && !this.#isAuditDue()
        ? await this.#reader.watchOnce(waitMs, known)
        : await this.#reader.fetchAll();
      this.#hasReadStore = true;
      this.#retry.noteAnswered();
      this.#availability.noteAnswered(calledAt);
      this.#applyRead(read, list);
      await this.#waitAfterFruitless();
    } catch (thrown) {
      this.#retry.noteFailed();
      this.#availability.noteFailed(calledAt, toError(thrown));
      const ms = Math.max(this.#computeRetryMs(), this.#computeFruitlessMs());
      await clock.sleep(ms * (0.5 + random.next()), this.#stopped.signal);
    }
  }

  /** Applies what a call returned that was sent with `known` as the list. */
  #applyRead(read: ReadState, known: ReplicaList): void {
    const { store, getList, onState } = this.#options;
    const list = getList();
    if (!read.isWhole && isOutdated(read, known, list)) {
      store.replaceBy(list);
      this.#position = { era: list.era, revision: list.revision };
      return;
    }
    const { era, revision } = read.state;
    this.#position = { era, revision };
    onState(read);
  }

  /** A store that answers at once, and tells nothing, is not called at once. */
  async #waitAfterFruitless(): Promise<void> {
    const { clock, random } = this.#options;
    const ms = this.#computeFruitlessMs();
    if (ms === 0) return;
    await clock.sleep(ms * (0.5 + random.next()), this.#stopped.signal);
  }

  /**
   * A watch that failed twice may do so each time, because there is more to tell
   * than fits into its answer or its time: every other call reads everything.
   */
  #canWatch(): boolean {
    const { failures } = this.#retry;
    return this.#hasReadStore &&
      (failures < UNAVAILABLE_FAILURES || failures % 2 === 1);
  }

  /** One VM audits for all; with a stale view it confirms that one first. */
  #isAuditDue(): boolean {
    const isAuditor = !this.#options.isViewStale() &&
      this.#election.isFirst(this.#listCandidates());
    return this.#reader.audit.checkDue(isAuditor);
  }

  #computeWatchWaitMs(): number {
    const { isRetaining, isViewStale } = this.#options;
    if (isViewStale()) return CONFIRMING_WATCH_WAIT_MS;
    return isRetaining() ? EXPIRED_WATCH_WAIT_MS : WATCH_WAIT_MS;
  }

  #computeFruitlessMs(): number {
    const { isViewStale, peers } = this.#options;
    const vmCount = 1 + peers.listLive().length;
    return this.#reader.fruitless.computeIntervalMs(vmCount, isViewStale());
  }

  #computeRetryMs(): number {
    const { isViewStale, peers } = this.#options;
    const vmCount = peers.listLive().length;
    return this.#retry.computeIntervalMs(vmCount, isViewStale());
  }
}

/**
 * Whether changes were added to a list that has been replaced meanwhile, by one
 * that may have been wrong.
 */
function isOutdated(
  { state }: ReadState,
  known: ReplicaList,
  list: ReplicaList,
): boolean {
  if (list === known) return false;
  if (list.replicas.some(({ isRetained }) => isRetained)) return false;
  return !isSamePosition(state, list) ||
    computeListDigest(state.replicas) !== computeListDigest(list);
}
