/**
 * The choice of a replica by what this VM knows, for itself or another VM.
 *
 * @module
 */
import type { DataCentre, PoolName, VmId } from "../../ids.ts";
import {
  choosePlacement,
  isShortPrompt,
  type Placement,
  type PlacementNeeds,
} from "./placement_choice.ts";
import type { PlacementState } from "./placement_state.ts";
import type { ListedReplica, ReplicaDirectory } from "./replica_list.ts";

/** Never are more replicas of a pool left out for failures than this share. */
const MOST_EJECTED_SHARE = 0.5;

/** A request that needs a replica. */
export interface PlacementRequest extends PlacementNeeds {
  pool: PoolName;
  /** Replicas that it was sent to before. */
  avoid: VmId[];
  /** Where the VM stands that will send it. */
  dataCentre: DataCentre;
}

/** Chooses among the replicas that are listed. */
export class ReplicaChooser {
  readonly #directory: ReplicaDirectory;
  readonly #state: PlacementState;

  constructor(directory: ReplicaDirectory, state: PlacementState) {
    this.#directory = directory;
    this.#state = state;
  }

  static create(
    directory: ReplicaDirectory,
    state: PlacementState,
  ): ReplicaChooser {
    return new ReplicaChooser(directory, state);
  }

  /** Undefined where no replica takes work. */
  choose(request: PlacementRequest): Placement | undefined {
    return choosePlacement(this.#listCandidates(request), request, {
      dataCentre: request.dataCentre,
      state: this.#state,
    });
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
    const load = {
      pendingTokens: placement.ownTokens,
      running: 1,
      talking: isShortPrompt(request.promptTokens) ? 1 : 0,
    };
    this.#state.loads.answered.note(vm, ask, { replica, load });
    this.#state.prefixes.notePeerPlacements([[replica, request.parts, 0]]);
    return placement;
  }

  #listCandidates(request: PlacementRequest): readonly ListedReplica[] {
    const { health } = this.#state;
    const ready = this.#directory.listReady(request.pool);
    const untried = ready.filter(({ id }) => !request.avoid.includes(id));
    const healthy = untried.filter(({ id }) => !health.isEjected(id));
    const least = Math.ceil(ready.length * MOST_EJECTED_SHARE);
    const ejected = ready.filter(({ id }) => health.isEjected(id)).length;
    // Where most fail, the cause is likely not theirs; the few that are left
    // would break down under everybody's work.
    const isTrusted = ready.length - ejected >= least;
    return isTrusted && healthy.length > 0 ? healthy : untried;
  }
}
