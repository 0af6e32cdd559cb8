/**
 * Slots by the decision of a pool's owner, or by this VM's own while the owner
 * is silent or the fleet is small.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import { type DataCentre, type LeaseId, toId, type VmId } from "../../ids.ts";
import { RefusalError } from "../../outcome.ts";
import type { FateStep } from "../../request/fate.ts";
import type { Clock } from "../clock.ts";
import type { Random } from "../random.ts";
import {
  HeldLease,
  type LeaseProgress,
  type LeaseRequest,
  LeaseSource,
} from "../services.ts";
import { isTalkPrompt, type Placement } from "./placement_choice.ts";
import type { PlacementState } from "./placement_state.ts";
import { type PlacementRequest, ReplicaChooser } from "./replica_chooser.ts";
import type { ReplicaDirectory } from "./replica_list.ts";
import type { PlacedWork } from "./replica_loads.ts";

const DEFAULT_PRIORITY = 5;
const NO_REPLICA_RETRY_MS = 400;
/**
 * A request may wait so many times its predicted wait before silence tells
 * anything: the prediction leaves out the steps of running streams, which come
 * between the chunks of a reading and at most double it.
 */
const PREDICTION_SLACK = 2;

/**
 * Streams whose callers accept no longer pauses, in milliseconds, need replicas
 * that do not read all the time: there an event of four tokens comes each 280
 * to 400 ms.
 */
const PACE_PAUSE_MS = 300;
/**
 * Callers of a full pool are asked to come back after so long, in milliseconds,
 * spread over as much again: a pool has room for some more in each second, and
 * not for all that it turned away at once.
 */
const FULL_RETRY_MS = 800;

/** A replica, or that none has room; undefined where the VM decides alone. */
export type OwnerDecision = Placement | "full" | undefined;

/** Asks a pool's owner; undefined where this VM is to decide by itself. */
export type AskOwner = (request: PlacementRequest) => Promise<OwnerDecision>;

/** What placing needs. */
export interface PlacementSourceOptions {
  clock: Clock;
  random: Random;
  /** Where this VM stands. */
  dataCentre: DataCentre;
  directory: ReplicaDirectory;
  state: PlacementState;
  askOwner: AskOwner;
}

/** Grants without a queue, or refuses. */
export class PlacementSource extends LeaseSource {
  readonly #options: PlacementSourceOptions;
  readonly #chooser: ReplicaChooser;
  #granted = 0;

  constructor(options: PlacementSourceOptions) {
    super();
    this.#options = options;
    this.#chooser = ReplicaChooser.create(options.directory, options.state);
  }

  static create(options: PlacementSourceOptions): PlacementSource {
    return new PlacementSource(options);
  }

  override async acquire(
    request: LeaseRequest,
    _options: { signal: AbortSignal; onStep: (step: FateStep) => void },
  ): Promise<HeldLease> {
    const needs = this.#buildNeeds(request);
    const decision = await this.#options.askOwner(needs);
    if (decision === "full") throw createPoolFull(this.#options.random);
    // One who decides alone does not see what others send, and refuses nobody.
    const placement = decision ??
      this.#chooser.choose({ ...needs, needsPace: false });
    if (placement === undefined) throw createNoReplica();
    this.#granted += 1;
    return new PlacedLease(toId<LeaseId>(String(this.#granted)), {
      ...this.#options,
      request,
      placement,
      isTalk: needs.isTalk,
    });
  }

  #buildNeeds(request: LeaseRequest): PlacementRequest {
    const isTalk = isTalkPrompt(request.promptTokens, request.isTalk);
    return {
      pool: request.pool,
      avoid: request.avoid,
      dataCentre: this.#options.dataCentre,
      parts: request.prefixes,
      partTokens: request.partTokens ?? [],
      promptTokens: request.promptTokens,
      isTalk,
      needsPace: !isTalk && isPaceNeeded(request),
    };
  }
}

/** One request at one replica. */
class PlacedLease extends HeldLease {
  readonly lease: LeaseId;
  readonly upstream: VmId;
  readonly priority: number;
  override readonly reason: string;
  override readonly fetchFrom: Endpoint | undefined;
  readonly preempted: AbortSignal = new AbortController().signal;
  readonly #options: PlacementSourceOptions & {
    request: LeaseRequest;
    placement: Placement;
    isTalk: boolean;
  };
  readonly #work: PlacedWork;
  /** Which incarnation of the replica has the request. */
  readonly #startedAt: number | undefined;
  readonly #grantedAt: number;
  #hasOutput = false;
  #isReleased = false;

  constructor(
    lease: LeaseId,
    options: PlacementSourceOptions & {
      request: LeaseRequest;
      placement: Placement;
      isTalk: boolean;
    },
  ) {
    super();
    const { placement, request, state } = options;
    const { loads, prefixes, readings, speeds } = state;
    this.lease = lease;
    this.upstream = placement.replica.id;
    this.priority = request.priority ?? DEFAULT_PRIORITY;
    this.#options = options;
    this.reason = formatReason(placement);
    this.fetchFrom = placement.fetchFrom;
    this.#startedAt = placement.replica.startedAt;
    this.#grantedAt = options.clock.now();
    const ownTokens = placement.ownTokens - placement.fetchedTokens;
    this.#work = loads.addOwn(this.upstream, {
      pendingTokens: ownTokens,
      isTalking: options.isTalk,
    });
    prefixes.noteSent(this.upstream, request.prefixes, ownTokens);
    readings.addReading(
      this.upstream,
      ownTokens * speeds.getMsPerToken(this.upstream),
    );
  }

  /** A replica that was told to leave since gets nothing new. */
  isValid(): boolean {
    return this.#options.directory.isReady(this.upstream);
  }

  override isUpstreamAlive(): boolean {
    if (!this.#isSameProcess()) return false;
    const { clock, placement, state } = this.#options;
    const waitedMs = clock.now() - this.#grantedAt;
    const isExpected = !this.#hasOutput &&
      waitedMs < PREDICTION_SLACK * placement.predictedMs;
    return isExpected || state.signs.isAlive(this.upstream);
  }

  noteProgress(progress: LeaseProgress): void {
    if (!this.#isSameProcess()) return;
    if (progress.tokens > 0) this.#options.state.signs.note(this.upstream);
    if (this.#hasOutput || progress.tokens === 0) return;
    const { clock, request, state, placement } = this.#options;
    const { prefixes, speeds } = state;
    this.#hasOutput = true;
    prefixes.noteRead(this.upstream, request.prefixes);
    this.#work.noteFirstOutput();
    speeds.noteFirstOutput(
      this.upstream,
      placement.ownTokens - placement.fetchedTokens + placement.tokensAhead,
      clock.now() - this.#grantedAt,
    );
  }

  release(state: "done" | "failed" | "cancelled" | "unused"): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#work.end();
    if (!this.#isSameProcess()) return;
    const { health } = this.#options.state;
    if (state === "done") health.noteResult(this.upstream, true);
    if (state === "failed") health.noteResult(this.upstream, false);
  }

  /** What came of an earlier incarnation tells nothing of this one. */
  #isSameProcess(): boolean {
    const { directory } = this.#options;
    return directory.isIncarnation(this.upstream, this.#startedAt);
  }
}

function formatReason(placement: Placement): string {
  const { ownTokens, fetchedTokens, tokensAhead, owner } = placement;
  const { running, predictedMs } = placement;
  return `by=${
    owner ?? "self"
  } running=${running} tokens_ahead=${tokensAhead} ` +
    `own_tokens=${ownTokens} fetched=${fetchedTokens} predicted_ms=${
      Math.round(predictedMs)
    }`;
}

/** A request that was tried before is not refused for want of room. */
function isPaceNeeded({ pauseMs, avoid }: LeaseRequest): boolean {
  return pauseMs !== undefined && pauseMs <= PACE_PAUSE_MS &&
    avoid.length === 0;
}

function createPoolFull(random: Random): RefusalError {
  return new RefusalError({
    code: "queue_full",
    message: "The service's replicas have no time for another stream now",
    outcome: "not_run",
    retryAfterMs: Math.round(FULL_RETRY_MS * (1 + random.next())),
  });
}

function createNoReplica(): RefusalError {
  return new RefusalError({
    code: "no_upstream",
    message: "No replica of the service takes new work",
    outcome: "not_run",
    retryAfterMs: NO_REPLICA_RETRY_MS,
  });
}
