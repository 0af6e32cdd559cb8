/**
 * The choice of a replica by what this VM knows, for itself or another VM.
 *
 * @module
 */
import type { DataCentre, PoolName, Region, VmId } from "../../ids.ts";
import {
  choosePlacement,
  listPlacements,
  type Placement,
  type PlacementNeeds,
} from "./placement_choice.ts";
import { type Random, SystemRandom } from "../random.ts";
import { Locality } from "./locality.ts";
import type { PlacementState } from "./placement_state.ts";
import type { ListedReplica, ReplicaDirectory } from "./replica_list.ts";
import type { ScoredPlacement } from "./replica_score.ts";

/** Failing replicas are left out while this share of the pool is well. */
const LEAST_WELL_SHARE = 0.5;

/** A request that needs a replica. */
export interface PlacementRequest extends PlacementNeeds {
  pool: PoolName;
  /** Replicas that it was sent to before. */
  avoid: VmId[];
  /** Where the VM stands that will send it. */
  dataCentre: DataCentre;
  /** Replicas elsewhere must not get it; undefined where any may. */
  regions?: Region[] | undefined;
  /** Whether it may be what crashes replicas. */
  isSuspect?: boolean | undefined;
}

/** What the choice needs beside the replicas and what is known of them. */
export interface ReplicaChooserOptions {
  locality: Locality;
  random: Random;
}

/** Chooses among the replicas that are listed. */
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
    } = options;
    return new ReplicaChooser(directory, state, { locality, random });
  }

  /**
   * Undefined where no replica takes work. A prompt that none would begin in
   * time goes where it is read first, behind all that can be in time.
   */
  choose(request: PlacementRequest): Placement | undefined {
    const withRoom = this.#listCandidates(request)
      .filter((replica) => this.#state.hasRoom(replica));
    const onTime = this.#chooseAmong(withRoom, request);
    if (onTime !== undefined || request.targetMs === undefined) return onTime;
    const late = { ...request, targetMs: undefined, isDeferred: true };
    const placement = this.#chooseAmong(withRoom, late);
    return placement && { ...placement, isDeferred: true };
  }

  /** Whether there are replicas that take work, with room or without. */
  hasCandidates(request: PlacementRequest): boolean {
    return this.#listCandidates(request).length > 0;
  }

  /**
   * Milliseconds until the first of the replicas that take work may have room
   * for this VM by what they ask; infinite where none is known to.
   */
  computeRoomWaitMs(request: PlacementRequest): number {
    const { rateLimits, backOffs } = this.#state;
    const waits = this.#listCandidates(request).map((replica) =>
      Math.max(
        rateLimits.computeWaitMs(replica),
        backOffs.getRemainingMs(replica.id),
      )
    );
    return Math.min(...waits);
  }

  /** Chooses for ask number `ask` of `vm`, and counts the request from now. */
  chooseFor(
    vm: VmId,
    ask: number,
    request: PlacementRequest,
  ): Placement | undefined {
    const placement = this.choose(request);
    if (placement === undefined) return undefined;
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
    this.#state.loads.unreported.note(vm, ask, { replica, load });
    this.#state.prefixes.notePeerPlacements([[replica, request.parts, 0]]);
    return placement;
  }

  #chooseAmong(
    candidates: readonly ListedReplica[],
    request: PlacementRequest,
  ): Placement | undefined {
    const { dataCentre } = request;
    const knowledge = { dataCentre, state: this.#state };
    return request.isSuspect
      ? this.#pickAmong(listPlacements(candidates, request, knowledge))
      : choosePlacement(candidates, request, knowledge);
  }

  /**
   * What was cut by one crash would mostly go to the same best replica, and
   * would be cut together again: then nothing tells the request that crashes
   * replicas from those beside it. Spread at random, few are beside it twice.
   */
  #pickAmong(scored: readonly ScoredPlacement[]): Placement | undefined {
    const placements = scored.map(({ placement }) => placement);
    const free = placements.filter(({ replica, running }) =>
      running < replica.slots
    );
    return this.#options.random.pick(free.length > 0 ? free : placements);
  }

  #listCandidates(request: PlacementRequest): readonly ListedReplica[] {
    const { health } = this.#state;
    const ready = this.#directory.listReady(request.pool)
      .filter(({ dataCentre }) =>
        this.#options.locality.isWithin(dataCentre, request.regions)
      );
    const isUntried = ({ id }: ListedReplica) => !request.avoid.includes(id);
    const well = ready.filter(({ id }) => !health.isEjected(id));
    // Where most fail, the cause is likely not theirs; the few that are left
    // would break down under everybody's work.
    const isTrusted = well.length >= Math.ceil(ready.length * LEAST_WELL_SHARE);
    const trusted = isTrusted ? well.filter(isUntried) : [];
    return trusted.length > 0 ? trusted : ready.filter(isUntried);
  }
}
