/**
 * Slots by the decision of a pool's owner, or by this VM's own while the owner
 * is silent or the fleet is small.
 *
 * @module
 */
import {
  type DataCentre,
  type LeaseId,
  type PoolName,
  toId,
  type VmId,
} from "../../ids.ts";
import { RefusalError } from "../../outcome.ts";
import type { RequestStep } from "../../request/request_status.ts";
import type { Clock } from "../clock.ts";
import type { Random } from "../random.ts";
import { type HeldLease, type LeaseRequest, LeaseSource } from "../services.ts";
import type { Locality } from "./locality.ts";
import { isInteractivePrompt, type Placement } from "./placement_choice.ts";
import { PlacedLease } from "./placed_lease.ts";
import type { PlacementState } from "./placement_state.ts";
import { canBeDeferred } from "./on_time.ts";
import { type PlacementRequest, ReplicaChooser } from "./replica_chooser.ts";
import type { ReplicaDirectory } from "./replica_list.ts";

const NO_REPLICA_RETRY_MS = 400;
/**
 * Callers of a full pool are asked to come back within these shares of the time
 * that they have left: one with more time can let more of a flood pass, and all
 * at once would find it as full. Beyond a third they do not wait.
 */
const LEAST_RETRY_SHARE = 0.1;
const MOST_RETRY_SHARE = 0.3;

/** A replica, or that none has room; undefined where the VM decides alone. */
export type OwnerDecision = Placement | "full" | undefined;

/** Asks a pool's owner; undefined where this VM is to decide by itself. */
export type FetchPlacement = (
  request: PlacementRequest,
) => Promise<OwnerDecision>;

/** What placing needs. */
export interface PlacementSourceOptions {
  clock: Clock;
  random: Random;
  /** Where this VM stands. */
  dataCentre: DataCentre;
  directory: ReplicaDirectory;
  locality: Locality;
  state: PlacementState;
  fetchPlacement: FetchPlacement;
  /** Resolves once what has arrived on this process's sockets was read. */
  waitForSocketReads: () => Promise<void>;
}

/** Grants without a queue, or refuses. */
export class PlacementSource extends LeaseSource {
  readonly #options: PlacementSourceOptions;
  readonly #chooser: ReplicaChooser;
  #granted = 0;

  constructor(options: PlacementSourceOptions) {
    super();
    this.#options = options;
    this.#chooser = ReplicaChooser.create(
      options.directory,
      options.state,
      { locality: options.locality, random: options.random },
    );
  }

  static create(options: PlacementSourceOptions): PlacementSource {
    return new PlacementSource(options);
  }

  override async acquire(
    request: LeaseRequest,
    _options: { signal: AbortSignal; onStep: (step: RequestStep) => void },
  ): Promise<HeldLease> {
    const needs = this.#buildNeeds(request);
    const decision = await this.#options.fetchPlacement(needs);
    // Time may have passed without the sockets being read, on a VM that is held
    // up: the caller may have left, and its request must not be sent then.
    await this.#options.waitForSocketReads();
    if (decision === "full") throw this.#createPoolFull(request, needs);
    const placement = decision ?? this.#chooser.choose(needs);
    if (placement === undefined) throw this.#createRefusal(request, needs);
    if (decision === undefined) {
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

  #buildNeeds(request: LeaseRequest): PlacementRequest {
    const isInteractive = isInteractivePrompt(
      request.promptTokens,
      request.isInteractive,
    );
    return {
      pool: request.pool,
      // Only this VM is to back off, so that an owner has to be told.
      avoid: [...request.avoid, ...this.#listBackedOff(request.pool)],
      dataCentre: this.#options.dataCentre,
      regions: request.regions,
      parts: request.prefixes,
      partTokens: request.partTokens ?? [],
      promptTokens: request.promptTokens,
      isInteractive,
      targetMs: isInteractive ? undefined : chooseTarget(request),
      isSuspect: request.isSuspect,
    };
  }

  #listBackedOff(pool: PoolName): VmId[] {
    const { directory, state } = this.#options;
    return state.backOffs.list()
      .filter((replica) => directory.find(replica)?.pool === pool);
  }

  #createRefusal(request: LeaseRequest, needs: PlacementRequest): RefusalError {
    const wanted = { ...needs, avoid: request.avoid };
    return this.#chooser.hasCandidates(wanted)
      ? this.#createPoolFull(request, wanted)
      : createNoReplica();
  }

  #createPoolFull(
    { deadlineAt }: LeaseRequest,
    needs: PlacementRequest,
  ): RefusalError {
    const { clock, random } = this.#options;
    const leftMs = Math.max(0, deadlineAt - clock.now());
    const spread = (MOST_RETRY_SHARE - LEAST_RETRY_SHARE) * random.next();
    const spreadMs = leftMs * (LEAST_RETRY_SHARE + spread);
    const roomMs = this.#chooser.computeRoomWaitMs(needs);
    return new RefusalError({
      code: "queue_full",
      message: "No replica of the service has room for more requests now",
      outcome: "not_run",
      retryAfterMs: Math.round(
        Number.isFinite(roomMs) ? Math.max(roomMs, spreadMs) : spreadMs,
      ),
    });
  }
}

/** Undefined where the prompt takes its turn however late that is. */
function chooseTarget(
  { firstOutputMs, clientTimeoutMs: patienceMs, arrivedAt, deadlineAt }:
    LeaseRequest,
): number | undefined {
  return canBeDeferred(patienceMs, deadlineAt - arrivedAt)
    ? firstOutputMs
    : undefined;
}

function createNoReplica(): RefusalError {
  return new RefusalError({
    code: "no_upstream",
    message: "No replica of the service takes new work",
    outcome: "not_run",
    retryAfterMs: NO_REPLICA_RETRY_MS,
  });
}
