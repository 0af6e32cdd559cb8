/**
 * Grants leases on replicas, by the decision of the pool's owner, or of this VM
 * while the owner does not answer or the fleet is small.
 *
 * @module
 */
import {
  type DataCentre,
  type LeaseId,
  type PoolName,
  type SoftwareVersion,
  toId,
  type VmId,
} from "../../ids.ts";
import { RefusalError } from "../../outcome.ts";
import type { RequestStep } from "../../request/request_status.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { Random } from "../random.ts";
import { type HeldLease, type LeaseRequest, LeaseSource } from "../services.ts";
import type { Locality } from "./locality.ts";
import { isInteractivePrompt, type Placement } from "./placement_choice.ts";
import { PlacedLease } from "./placed_lease.ts";
import { PlacementRefusals } from "./placement_refusals.ts";
import type { PlacementState } from "./placement_state.ts";
import { canBeDeferred } from "./on_time.ts";
import {
  type PlacementRequest,
  ReplicaChooser,
  type WaitingNeeds,
} from "./replica_chooser.ts";
import type { ReplicaDirectory } from "./replica_list.ts";
import type { WaitingTurn } from "./room_queue.ts";

/** Share of its time that a request waits for room at brittle replicas. */
const MAX_WAIT_SHARE = 0.25;
/** Unreachable replicas that a datagram to an owner names at most. */
const MAX_AVOIDED = 32;
/** Interval at which a request that waits for a version looks for a replica. */
const VERSION_CHECK_MS = 20;
/** Time between the end of a wait and the arrival at the replica. */
const SEND_MARGIN_MS = 50;
/**
 * A placement, that no replica has capacity, or that the request waited until a
 * placement would have been of no use; undefined where this VM has to decide
 * itself.
 */
export type OwnerDecision = Placement | "full" | "expired" | undefined;

/** Options of a request that may wait at the VM that places it. */
export interface WaitOptions {
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
  /** Called once if the request waits; `owner` is the VM where it does. */
  onWaiting: (owner: VmId) => void;
  /**
   * Resolves once the placement counts in this VM's own load, or is not used.
   * Until then the VM that placed it has to count it.
   */
  settled: Promise<void>;
}

/**
 * Requests a placement from the pool's owner; resolves to undefined where this
 * VM has to decide itself.
 */
export type FetchPlacement = (
  request: PlacementRequest,
  options: WaitOptions,
) => Promise<OwnerDecision>;

/** Options of `PlacementSource`. */
export interface PlacementSourceOptions {
  clock: Clock;
  log: Log;
  random: Random;
  /** Data centre of this VM. */
  dataCentre: DataCentre;
  directory: ReplicaDirectory;
  /** Time since the list of replicas was confirmed; below 0 for never. */
  getListAgeMs: () => number;
  /** Whether the list was not confirmed for some time. */
  isViewStale: () => boolean;
  /** Whether a request may be sent by the list that this VM has now. */
  canUseState: () => boolean;
  locality: Locality;
  state: PlacementState;
  fetchPlacement: FetchPlacement;
  /** Leases the request to another VM; undefined if it is to run here. */
  forward: (request: LeaseRequest) => HeldLease | undefined;
  /**
   * Resolves once the data that has arrived on this process's sockets has been
   * read.
   */
  waitForSocketReads: () => Promise<void>;
  /** Resolves once the directory is the newest, as far as this VM can tell. */
  waitForFreshState: () => Promise<void>;
}

interface AcquireOptions {
  signal: AbortSignal;
  onStep: (step: RequestStep) => void;
}

interface Settlement extends Pick<WaitOptions, "settled"> {
  /** Resolves `settled`. */
  settle: () => void;
}

/** Grants a lease at once, or refuses; it has no queue. */
export class PlacementSource extends LeaseSource {
  readonly #options: PlacementSourceOptions;
  readonly #chooser: ReplicaChooser;
  readonly #refusals: PlacementRefusals;
  #granted = 0;

  constructor(options: PlacementSourceOptions) {
    super();
    this.#options = options;
    this.#chooser = ReplicaChooser.create(
      options.directory,
      options.state,
      { locality: options.locality, random: options.random },
    );
    this.#refusals = PlacementRefusals.create({
      ...options,
      chooser: this.#chooser,
    });
  }

  static create(options: PlacementSourceOptions): PlacementSource {
    return new PlacementSource(options);
  }

  override async acquire(
    request: LeaseRequest,
    options: AcquireOptions,
  ): Promise<HeldLease> {
    const forwarded = this.#options.forward(request);
    if (forwarded !== undefined) {
      await this.#options.waitForSocketReads();
      return forwarded;
    }
    let settle = () => {};
    const settled = new Promise<void>((resolve) => settle = resolve);
    try {
      return await this.#grant(request, { ...options, settled, settle });
    } finally {
      settle();
    }
  }

  /** Calls `settle` once no placement of an owner is left to be counted. */
  async #grant(
    request: LeaseRequest,
    { settle, ...options }: AcquireOptions & Settlement,
  ): Promise<HeldLease> {
    const needs = this.#buildNeeds(request);
    const decision = await this.#options.fetchPlacement(needs, {
      signal: options.signal,
      settled: options.settled,
      onWaiting: (owner) =>
        options.onStep({
          step: "queued",
          ageMs: 0,
          peer: owner,
          detail: formatWaiting(needs),
        }),
    });
    if (options.signal.aborted) throw createCancelledError();
    // A VM that was stalled may not have read its sockets for some time: the
    // caller may have disconnected, and its request must not be sent then.
    await this.#options.waitForSocketReads();
    await this.#options.waitForFreshState();
    // A stream that goes on waits for a replica of its version.
    if (decision === "full" && request.version === undefined) {
      throw this.#refusals.createPoolFullError(request, needs);
    }
    if (decision === "expired") {
      throw this.#refusals.createExpiredError(request, needs);
    }
    if (typeof decision !== "object") settle();
    // The choice counts from the lease on: nothing may run between the two.
    const until = this.#computeWaitEnd(request);
    let placement = typeof decision === "object"
      ? decision
      : this.#chooseInTurn(request);
    while (placement === undefined && this.#canWait(request, until)) {
      await this.#options.state.rooms.wait(buildTurn(request));
      if (options.signal.aborted) throw createCancelledError();
      placement = this.#chooseInTurn(request);
    }
    while (placement === undefined && this.#canWaitForVersion(request, until)) {
      this.#options.state.versionWaits.noteWait(request.pool, request.version);
      await this.#options.clock.sleep(VERSION_CHECK_MS, options.signal);
      if (options.signal.aborted) throw createCancelledError();
      placement = this.#choose(request, this.#buildNeeds(request));
    }
    if (placement === undefined) {
      throw this.#refusals.createRefusal(request, needs);
    }
    if (typeof decision !== "object") {
      this.#options.state.addSent(placement.replica);
    }
    this.#granted += 1;
    return PlacedLease.create(toId<LeaseId>(String(this.#granted)), {
      ...this.#options,
      request,
      placement,
      isInteractive: needs.isInteractive,
    });
  }

  /** Whether the request may wait for room at brittle replicas. */
  #canWait({ pool }: LeaseRequest, until: number): boolean {
    const { clock, state } = this.#options;
    return state.brittle.isPoolBrittle(pool) && !state.rooms.isFull &&
      clock.now() < until;
  }

  /**
   * Whether the request may wait for a replica of its version: new streams have
   * all others to choose from.
   */
  #canWaitForVersion(
    request: LeaseRequest,
    until: number,
  ): request is LeaseRequest & { version: SoftwareVersion } {
    if (request.version === undefined) return false;
    const needs = { ...this.#buildNeeds(request), avoid: request.avoid };
    return this.#options.clock.now() < until &&
      this.#chooser.hasCandidates(needs);
  }

  #computeWaitEnd({ deadlineAt }: LeaseRequest): number {
    const now = this.#options.clock.now();
    return now + MAX_WAIT_SHARE * (deadlineAt - now);
  }

  /** Chooses a replica unless requests that go first wait for one. */
  #chooseInTurn(request: LeaseRequest): Placement | undefined {
    if (this.#options.state.rooms.hasEarlier(buildTurn(request))) {
      return undefined;
    }
    return this.#choose(request, this.#buildNeeds(request));
  }

  #choose(
    request: LeaseRequest,
    needs: PlacementRequest,
  ): Placement | undefined {
    const placement = this.#chooser.choose(needs);
    const { pool, avoid } = request;
    if (placement !== undefined || this.#listUnreachable(pool).length === 0) {
      return placement;
    }
    // A replica that was unreachable may be the only one left.
    const withUnreachable = [...avoid, ...this.#listBackedOff(pool)];
    return this.#chooser.choose({ ...needs, avoid: withUnreachable });
  }

  #buildNeeds(request: LeaseRequest): PlacementRequest {
    const isInteractive = isInteractivePrompt(
      request.promptTokens,
      request.isInteractive,
    );
    return {
      pool: request.pool,
      // A back-off and an unreachable replica concern this VM only, so the owner
      // has to be told of them.
      avoid: [
        ...request.avoid,
        ...this.#listBackedOff(request.pool),
        ...this.#listUnreachable(request.pool),
      ],
      dataCentre: this.#options.dataCentre,
      regions: request.regions,
      parts: request.prefixes,
      partTokens: request.partTokens ?? [],
      promptTokens: request.promptTokens,
      isInteractive,
      targetMs: isInteractive ? undefined : chooseTargetMs(request),
      version: request.version,
      isSuspect: request.isSuspect,
      workspace: request.workspace,
      waiting: this.#buildWaiting(request),
    };
  }

  /** What a call needs to wait; undefined for a prompt or without a target. */
  #buildWaiting(request: LeaseRequest): WaitingNeeds | undefined {
    const { firstOutputMs, promptTokens, className, arrivedAt } = request;
    // Engines order their queues by priority, so prompts wait there.
    if (firstOutputMs === undefined || promptTokens > 0) return undefined;
    const { clock, state } = this.#options;
    const now = clock.now();
    const expectedMs = state.callTimes.computeExpectedMs(className);
    const usefulBy = request.deadlineAt - expectedMs - SEND_MARGIN_MS;
    return {
      priority: request.priority ?? 0,
      waitedMs: Math.round(now - arrivedAt),
      onTimeMs: Math.round(arrivedAt + firstOutputMs - expectedMs - now),
      usefulMs: Math.round(usefulBy - now),
      expectedMs: Math.round(expectedMs),
    };
  }

  #listBackedOff(pool: PoolName): VmId[] {
    const { state, directory } = this.#options;
    return state.backOffs.list()
      .filter((replica) => directory.find(replica)?.pool === pool);
  }

  /** Replicas that this VM does not reach, unless it reaches none. */
  #listUnreachable(pool: PoolName): VmId[] {
    const { state, directory } = this.#options;
    if (state.links.countUnreachable() === 0) return [];
    const ready = directory.listReady(pool);
    const unreachable = ready.filter(({ id }) => state.links.isUnreachable(id));
    if (unreachable.length === ready.length) return [];
    return unreachable.map(({ id }) => id).slice(0, MAX_AVOIDED);
  }
}

/**
 * Target for the first output, in milliseconds; undefined where the prompt must
 * not be deferred.
 */
function chooseTargetMs(
  { firstOutputMs, clientTimeoutMs, arrivedAt, deadlineAt }: LeaseRequest,
): number | undefined {
  return canBeDeferred(clientTimeoutMs, deadlineAt - arrivedAt)
    ? firstOutputMs
    : undefined;
}

function buildTurn(
  { pool, priority = 0, arrivedAt }: LeaseRequest,
): WaitingTurn {
  return { pool, priority, arrivedAt };
}

function createCancelledError(): RefusalError {
  return new RefusalError({
    code: "cancelled",
    message: "The caller disconnected before a replica was chosen",
    outcome: "not_run",
  });
}

function formatWaiting({ waiting }: PlacementRequest): string {
  const usefulMs = Math.round(waiting?.usefulMs ?? 0);
  const onTimeMs = Math.round(waiting?.onTimeMs ?? 0);
  return `on_time_ms=${onTimeMs} useful_ms=${usefulMs}`;
}
