/**
 * Chooses replicas from the state of this VM, for its own requests or those of
 * another VM.
 *
 * @module
 */
import type {
  DataCentre,
  PoolName,
  Region,
  SoftwareVersion,
  VmId,
  WorkspaceName,
} from "../../ids.ts";
import {
  choosePlacement,
  listPlacements,
  type Placement,
  type PlacementNeeds,
} from "./placement_choice.ts";
import { type Random, SystemRandom } from "../random.ts";
import { Locality } from "./locality.ts";
import type { PlacementState } from "./placement_state.ts";
import {
  hasVersion,
  type ListedReplica,
  type ReplicaDirectory,
} from "./replica_list.ts";
import type { ScoredPlacement } from "./replica_score.ts";

/** Failing replicas are left out while this share of the pool is healthy. */
const MIN_HEALTHY_SHARE = 0.5;

/** A request that needs a replica. */
export interface PlacementRequest extends PlacementNeeds {
  pool: PoolName;
  /**
   * Replicas that must not get it: it was sent there before, or they asked the
   * VM to back off.
   */
  avoid: VmId[];
  /** Data centre of the VM that will send it. */
  dataCentre: DataCentre;
  /** Regions whose replicas may get it; undefined where any may. */
  regions?: Region[] | undefined;
  /** Version that its replica's software must have; undefined for any. */
  version?: SoftwareVersion | undefined;
  /** Whether it is suspected of crashing replicas. */
  isSuspect?: boolean | undefined;
  /** Undefined where workspaces need no fair shares. */
  workspace?: WorkspaceName | undefined;
  /** Set on a call that may wait at the VM that places it. */
  waiting?: WaitingNeeds | undefined;
}

/**
 * What a call needs in order to wait at the VM that places it; times in
 * milliseconds from now.
 */
export interface WaitingNeeds {
  /** Lower priorities go first. */
  priority: number;
  /** Time since the call arrived. */
  waitedMs: number;
  /** Until the latest placement that meets the target; below 0 if late. */
  onTimeMs: number;
  /** Until the latest placement that is of any use to the caller. */
  usefulMs: number;
  /** Expected time at the replica. */
  expectedMs: number;
}

/** Options of `ReplicaChooser`. */
export interface ReplicaChooserOptions {
  locality: Locality;
  random: Random;
  /**
   * Whether prompts beyond the share of their workspace are deferred: of use only
   * to a VM that places the requests of all others.
   */
  sharesFairly: boolean;
}

/** Chooses among the listed replicas. */
export class ReplicaChooser {
  readonly #directory: ReplicaDirectory;
  readonly #state: PlacementState;
  readonly #options: ReplicaChooserOptions;

  constructor(
    directory: ReplicaDirectory,
    state: PlacementState,
    options: ReplicaChooserOptions,
  ) {
    this.#directory = directory;
    this.#state = state;
    this.#options = options;
  }

  static create(
    directory: ReplicaDirectory,
    state: PlacementState,
    options: Partial<ReplicaChooserOptions> = {},
  ): ReplicaChooser {
    const {
      locality = Locality.create(new Map()),
      random = SystemRandom.create(),
      sharesFairly = false,
    } = options;
    return new ReplicaChooser(directory, state, {
      locality,
      random,
      sharesFairly,
    });
  }

  /**
   * Chooses a replica; undefined where none has capacity. A prompt that no
   * replica would begin on time is deferred, and goes where it is prefilled
   * first. So is one that exceeds the share of its workspace while others are
   * late.
   */
  choose(request: PlacementRequest): Placement | undefined {
    const onTime = this.#isInExcess(request)
      ? undefined
      : this.chooseOnTime(request);
    if (onTime !== undefined || request.targetMs === undefined) return onTime;
    this.#state.shares.noteShort(request.pool);
    const late = { ...request, targetMs: undefined, isDeferred: true };
    const placement = this.chooseOnTime(late);
    return placement && { ...placement, isDeferred: true };
  }

  /**
   * Chooses among the replicas that meet the request's target and limits, if it
   * has any; undefined where none does.
   */
  chooseOnTime(request: PlacementRequest): Placement | undefined {
    return this.#chooseFrom(this.#listAvailable(request), request);
  }

  /** Whether any replicas take work, with free capacity or without. */
  hasCandidates(request: PlacementRequest): boolean {
    return this.#listCandidates(request).length > 0;
  }

  /**
   * Milliseconds until one of the replicas that take work may have capacity for
   * this VM, by its rate limit and back-off; infinite where that is not
   * foreseeable.
   */
  computeCapacityWaitMs(request: PlacementRequest): number {
    const { rateLimits, backOffs } = this.#state;
    const waits = this.#listCandidates(request).map((replica) =>
      Math.max(
        rateLimits.computeWaitMs(replica),
        backOffs.getRemainingMs(replica.id),
      )
    );
    return Math.min(...waits);
  }

  /**
   * Chooses for placement request `requestNumber` of `vm`, and counts the
   * request from now on.
   */
  chooseFor(
    vm: VmId,
    requestNumber: number,
    request: PlacementRequest,
  ): Placement | undefined {
    const placement = this.choose(request);
    if (placement === undefined) return undefined;
    this.noteChosen({ vm, number: requestNumber }, request, placement);
    return placement;
  }

  /** Counts placement request `number` of `vm` at its replica from now on. */
  noteChosen(
    { vm, number }: { vm: VmId; number: number },
    request: PlacementRequest,
    placement: Placement,
  ): void {
    const replica = placement.replica.id;
    const tokens = placement.ownTokens - placement.fetchedTokens;
    const interactive = request.isInteractive ? 1 : 0;
    const load = {
      pendingTokens: placement.isDeferred ? 0 : tokens,
      deferredTokens: placement.isDeferred ? tokens : 0,
      running: 1,
      interactive,
    };
    this.#state.addSent(placement.replica);
    this.#state.loads.unreported.add(vm, number, { replica, load });
    this.#state.prefixes.notePeerPlacements([[replica, request.parts, 0]]);
  }

  #isInExcess(request: PlacementRequest): boolean {
    const { pool, workspace, targetMs, promptTokens, partTokens } = request;
    if (!this.#options.sharesFairly) return false;
    if (workspace === undefined || targetMs === undefined) return false;
    if (promptTokens === 0) return false;
    const tokens = partTokens.at(-1) ?? promptTokens;
    return this.#state.shares.addRequest({ pool, workspace, tokens });
  }

  #listAvailable(request: PlacementRequest): ListedReplica[] {
    return this.#listCandidates(request)
      .filter((replica) => this.#state.hasCapacity(replica));
  }

  #chooseFrom(
    candidates: readonly ListedReplica[],
    request: PlacementRequest,
  ): Placement | undefined {
    const { dataCentre } = request;
    const context = { dataCentre, state: this.#state };
    return request.isSuspect
      ? this.#pickRandom(listPlacements(candidates, request, context))
      : choosePlacement(candidates, request, context);
  }

  /**
   * Requests that were cut off by one crash would mostly go to the same best
   * replica and be cut off together again, so that nothing would tell the one
   * that crashes replicas from the others. Spread at random, few are beside it
   * twice.
   */
  #pickRandom(scored: readonly ScoredPlacement[]): Placement | undefined {
    const placements = scored.map(({ placement }) => placement);
    const withFreeSlot = placements.filter(({ replica, running }) =>
      running < replica.slots
    );
    return this.#options.random.pick(
      withFreeSlot.length > 0 ? withFreeSlot : placements,
    );
  }

  #listCandidates(request: PlacementRequest): readonly ListedReplica[] {
    const { health } = this.#state;
    const ready = this.#directory.listReady(request.pool)
      .filter(({ dataCentre }) =>
        this.#options.locality.isWithin(dataCentre, request.regions)
      )
      .filter((replica) => hasVersion(replica, request.version));
    const isNotAvoided = ({ id }: ListedReplica) => !request.avoid.includes(id);
    const healthy = ready.filter(({ id }) => !health.isEjected(id));
    // Where most replicas fail, the cause is probably not theirs, and the few
    // others would break down under the work of all.
    const isTrusted =
      healthy.length >= Math.ceil(ready.length * MIN_HEALTHY_SHARE);
    const trusted = isTrusted ? healthy.filter(isNotAvoided) : [];
    const candidates = trusted.length > 0
      ? trusted
      : ready.filter(isNotAvoided);
    return request.version === undefined
      ? this.#state.versionWaits.listFree(request.pool, candidates)
      : candidates;
  }
}
