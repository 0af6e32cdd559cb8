/**
 * Lets calls wait at the VM that places them until a replica has room.
 *
 * Plain services serve what they are sent in the order of arrival, whatever its
 * priority. Calls that queue at full replicas wait longer and longer until all
 * of them are late, and who is refused depends on the replica. Prompts do not
 * wait here: engines have queues by priority.
 *
 * All state is in memory. A VM whose requests wait here asks again from time to
 * time, here or at the next owner, with the time that each has waited; so this
 * VM may be lost at any moment. The sender alone sends the request to a replica,
 * once, whoever answers first.
 *
 * @module
 */
import {
  type Incarnation,
  type PoolName,
  toId,
  type VmId,
  type WorkspaceName,
} from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type {
  Placement,
  PlacementRequest,
  ReplicaChooser,
  WaitingNeeds,
} from "../placement/index.ts";
import {
  formatRequestKey,
  type PlacementRequestId,
  type WaitingRequest,
  type WaitResult,
} from "./waiting_request.ts";
import { computeMaxRunningShare, MAX_REPLICA_WAIT_MS } from "./call_room.ts";
import { LateTurnTracker } from "./late_turns.ts";
import { WaitingRequests } from "./waiting_requests.ts";

/** How often waiting requests are looked at. */
const GRANT_INTERVAL_MS = 10;
/** Results are kept for requests that were sent again meanwhile. */
const RESULT_TTL_MS = 1_500;
/** Shared by calls on routes that need no API key. */
const NO_WORKSPACE = toId<WorkspaceName>("");
/** Interval of the log line on the requests that wait. */
const LOG_INTERVAL_MS = 1_000;

/** Ends of waits since the start. */
export interface WaitCounts {
  placed: number;
  expired: number;
  /** The caller left, or its VM did. */
  withdrawn: number;
}

/** Options of `WaitingPlacements`. */
export interface WaitingPlacementsOptions {
  clock: Clock;
  log: Log;
  chooser: ReplicaChooser;
  /** Requests that may wait here at a time; 0 where none may. */
  maxRequests: number;
  /** Whether a VM with waiting requests is live. */
  isLive: (vm: VmId) => boolean;
}

/** Whether a request was placed, or waits and gets its result later. */
export type WaitDecision = WaitResult | { kind: "waiting" };

/** Decides when and where waiting requests are placed. */
export class WaitingPlacements {
  readonly counts: WaitCounts = { placed: 0, expired: 0, withdrawn: 0 };
  readonly #options: WaitingPlacementsOptions;
  readonly #requests: WaitingRequests;
  readonly #lateTurns = LateTurnTracker.create();
  /** Results by request; the oldest first. */
  readonly #results = new Map<string, { at: number; result: WaitResult }>();
  #sequence = 0;
  #isScheduled = false;
  #isStopped = false;
  #loggedAt = -Infinity;

  constructor(options: WaitingPlacementsOptions) {
    this.#options = options;
    this.#requests = WaitingRequests.create(options.maxRequests);
  }

  static create(options: WaitingPlacementsOptions): WaitingPlacements {
    return new WaitingPlacements(options);
  }

  get size(): number {
    return this.#requests.size;
  }

  /**
   * Places a request or lets it wait; undefined where it may not wait here.
   * `onResult` is called when its wait ends, except by a withdrawal.
   */
  admit(
    id: PlacementRequestId,
    request: PlacementRequest,
    onResult: (result: WaitResult) => void,
  ): WaitDecision | undefined {
    const key = formatRequestKey(id);
    if (this.#requests.find(key) !== undefined) return { kind: "waiting" };
    this.#dropOldResults();
    const known = this.#results.get(key);
    if (known !== undefined) return known.result;
    const { waiting: needs } = request;
    if (needs === undefined || id.incarnation === undefined) return undefined;
    if (!this.#canWait(request, needs)) return undefined;
    if (!this.#options.chooser.hasCandidates(request)) return undefined;
    let isAdmitted = false;
    const waiting = this.#buildWaiting(id, { request, needs }, (result) => {
      if (!isAdmitted) return;
      if (result.kind === "placed") this.counts.placed += 1;
      onResult(result);
    });
    if (!this.#requests.add(waiting, this.#options.clock.now())) {
      return undefined;
    }
    this.#grantInPool(waiting.pool);
    isAdmitted = true;
    const placed = this.#results.get(key);
    if (placed !== undefined) return placed.result;
    this.#planGrants();
    return { kind: "waiting" };
  }

  /**
   * Withdraws the requests that `vm` no longer waits for: those of another
   * process, and all up to `lastNumber` but those in `openNumbers`.
   */
  settle(
    { vm, incarnation }: { vm: VmId; incarnation: Incarnation },
    { lastNumber, openNumbers }: {
      lastNumber: number;
      openNumbers: readonly number[];
    },
  ): void {
    if (this.size === 0) return;
    for (const { id } of this.#requests.listOf(vm)) {
      const isOpen = id.incarnation === incarnation &&
        (id.number > lastNumber || openNumbers.includes(id.number));
      if (!isOpen) this.withdraw(id);
    }
  }

  /** Withdraws a request whose caller left. */
  withdraw(id: PlacementRequestId): void {
    const waiting = this.#requests.find(formatRequestKey(id));
    if (waiting === undefined) return;
    this.#requests.remove(waiting);
    this.counts.withdrawn += 1;
  }

  /** Places what replicas have room for, and ends waits that are of no use. */
  grantAll(): void {
    this.#dropExpired();
    for (const pool of this.#requests.listPools()) this.#grantInPool(pool);
    this.#noteState();
    if (this.size > 0) this.#planGrants();
  }

  /** Ends all waits without a result; the VMs ask the next owner. */
  stop(): void {
    this.#isStopped = true;
    this.#requests.clear();
  }

  #canWait({ isSuspect }: PlacementRequest, { usefulMs }: WaitingNeeds) {
    const mayWait = !this.#isStopped && this.#options.maxRequests > 0;
    return mayWait && usefulMs > 0 && !isSuspect;
  }

  #buildWaiting(
    id: PlacementRequestId,
    { request, needs }: { request: PlacementRequest; needs: WaitingNeeds },
    onResult: (result: WaitResult) => void,
  ): WaitingRequest {
    const { pool, workspace = NO_WORKSPACE } = request;
    const now = this.#options.clock.now();
    this.#sequence += 1;
    return {
      id,
      pool,
      workspace,
      priority: needs.priority,
      arrivedAt: now - needs.waitedMs,
      sequence: this.#sequence,
      // Loads lag, so it may wait once more at the replica.
      startBy: now + needs.onTimeMs - MAX_REPLICA_WAIT_MS,
      dropAt: now + needs.usefulMs,
      expectedMs: needs.expectedMs,
      cost: 1,
      isCostLearnt: true,
      request,
      onResult,
    };
  }

  #grantInPool(pool: PoolName): void {
    const now = this.#options.clock.now();
    let placement: Placement | undefined;
    const accepts = (waiting: WaitingRequest) => {
      placement = this.#chooseWithRoom(waiting);
      return placement !== undefined;
    };
    while (true) {
      const next = this.#requests.findNext(pool, now, accepts);
      if (next === undefined || placement === undefined) return;
      this.#requests.remove(next);
      if (!this.#options.isLive(next.id.vm)) {
        this.counts.withdrawn += 1;
        continue;
      }
      this.#requests.noteServed(next);
      if (next.startBy < now) this.#lateTurns.notePlaced(pool, now);
      this.#options.chooser.noteChosen(next.id, next.request, placement);
      this.#end(next, { kind: "placed", placement });
    }
  }

  #chooseWithRoom({ request }: WaitingRequest): Placement | undefined {
    return this.#options.chooser.chooseOnTime({
      ...request,
      maxRunningShare: computeMaxRunningShare(request),
    });
  }

  #dropExpired(): void {
    const now = this.#options.clock.now();
    const expired = this.#requests.listExpired(now);
    expired.forEach((waiting) => this.#endExpired(waiting));
    for (const pool of this.#requests.listPools()) {
      const late = this.#requests.listLate(pool, now);
      this.#lateTurns.listUnreachable(pool, late, now)
        .forEach((waiting) => this.#endExpired(waiting));
    }
  }

  #endExpired(waiting: WaitingRequest): void {
    this.#requests.remove(waiting);
    this.counts.expired += 1;
    this.#end(waiting, { kind: "expired" });
  }

  #end(waiting: WaitingRequest, result: WaitResult): void {
    const at = this.#options.clock.now();
    this.#results.set(formatRequestKey(waiting.id), { at, result });
    waiting.onResult(result);
  }

  #dropOldResults(): void {
    const oldest = this.#options.clock.now() - RESULT_TTL_MS;
    for (const [key, { at }] of this.#results) {
      if (at >= oldest) return;
      this.#results.delete(key);
    }
  }

  #planGrants(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#options.clock.startTimer(GRANT_INTERVAL_MS, () => {
      this.#isScheduled = false;
      this.grantAll();
    });
  }

  #noteState(): void {
    const now = this.#options.clock.now();
    if (this.size === 0 || now < this.#loggedAt + LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    for (const pool of this.#requests.listPools()) {
      this.#options.log.info("requests_waiting", {
        pool,
        waiting: this.#requests.count(pool),
        ...this.counts,
      });
    }
  }
}
