/**
 * Slots by the decision of a pool's owner, or by this VM's own while the owner
 * is silent or the fleet is small.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import {
  type DataCentre,
  type Incarnation,
  type LeaseId,
  type PoolName,
  toId,
  type VmId,
} from "../../ids.ts";
import { RefusalError } from "../../outcome.ts";
import type { FateStep } from "../../request/fate.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";
import type { Random } from "../random.ts";
import {
  HeldLease,
  type LeaseProgress,
  type LeaseRequest,
  LeaseSource,
} from "../services.ts";
import type { Locality } from "./locality.ts";
import { isInteractivePrompt, type Placement } from "./placement_choice.ts";
import type { PlacementState } from "./placement_state.ts";
import { canBeDeferred } from "./on_time.ts";
import { type PlacementRequest, ReplicaChooser } from "./replica_chooser.ts";
import type { ReplicaDirectory } from "./replica_list.ts";
import type { PlacedWork } from "./replica_loads.ts";

const DEFAULT_PRIORITY = 5;
const NO_REPLICA_RETRY_MS = 400;
/**
 * A request may wait so many times its predicted wait before silence tells
 * anything: the prediction leaves out the steps of running streams, which come
 * between the chunks of a prefill and at most double it.
 */
const PREDICTION_SLACK = 2;

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
export type AskOwner = (request: PlacementRequest) => Promise<OwnerDecision>;

/** What placing needs. */
export interface PlacementSourceOptions {
  clock: Clock;
  random: Random;
  /** Where this VM stands. */
  dataCentre: DataCentre;
  directory: ReplicaDirectory;
  locality: Locality;
  state: PlacementState;
  askOwner: AskOwner;
  /** Resolves once what has arrived on this process's sockets was read. */
  readArrived: () => Promise<void>;
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
    _options: { signal: AbortSignal; onStep: (step: FateStep) => void },
  ): Promise<HeldLease> {
    const needs = this.#buildNeeds(request);
    const decision = await this.#options.askOwner(needs);
    // Time may have passed without the sockets being read, on a VM that is held
    // up: the caller may have left, and its request must not be sent then.
    await this.#options.readArrived();
    if (decision === "full") throw this.#createPoolFull(request, needs);
    const placement = decision ?? this.#chooser.choose(needs);
    if (placement === undefined) throw this.#createRefusal(request, needs);
    if (decision === undefined) {
      this.#options.state.addSent(placement.replica);
    }
    this.#granted += 1;
    return new PlacedLease(toId<LeaseId>(String(this.#granted)), {
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

/** One request at one replica. */
class PlacedLease extends HeldLease {
  readonly lease: LeaseId;
  readonly upstream: VmId;
  readonly priority: number;
  override readonly reason: string;
  override readonly upstreamIncarnation: Incarnation;
  override readonly fetchFrom: Endpoint | undefined;
  readonly preempted: AbortSignal = new AbortController().signal;
  readonly #options: PlacementSourceOptions & {
    request: LeaseRequest;
    placement: Placement;
    isInteractive: boolean;
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
      isInteractive: boolean;
    },
  ) {
    super();
    const { placement, request, state } = options;
    const { loads, prefixes, prefills, speeds } = state;
    this.lease = lease;
    this.upstream = placement.replica.id;
    this.priority = choosePriority(request, placement);
    this.#options = options;
    this.reason = formatReason(placement);
    this.fetchFrom = placement.fetchFrom;
    this.#startedAt = placement.replica.startedAt;
    // Without a start to tell them apart, each start has an id of its own.
    this.upstreamIncarnation = toId<Incarnation>(
      `${this.upstream}@${this.#startedAt ?? ""}`,
    );
    this.#grantedAt = options.clock.now();
    const ownTokens = placement.ownTokens - placement.fetchedTokens;
    this.#work = loads.addOwn(this.upstream, {
      pendingTokens: ownTokens,
      isDeferred: placement.isDeferred,
      isInteractive: options.isInteractive,
    });
    prefixes.noteSent(this.upstream, request.prefixes, ownTokens);
    prefills.addPrefill(
      this.upstream,
      ownTokens * speeds.getMsPerToken(this.upstream),
    );
  }

  /** A replica that leaves or asked to back off since gets nothing new. */
  isValid(): boolean {
    const { directory, state } = this.#options;
    return directory.isReady(this.upstream) &&
      !state.backOffs.isBackingOff(this.upstream);
  }

  override isUpstreamAlive(): boolean {
    if (!this.#isSameProcess()) return false;
    const { clock, placement, request, state } = this.#options;
    const waitedMs = clock.now() - this.#grantedAt;
    // What goes behind others waits in silence until its caller leaves.
    const expectedMs = placement.isDeferred
      ? request.patienceMs ?? 0
      : PREDICTION_SLACK * placement.predictedMs;
    const isExpected = !this.#hasOutput && waitedMs < expectedMs;
    return isExpected || state.liveness.isAlive(this.upstream);
  }

  noteProgress(progress: LeaseProgress): void {
    if (!this.#isSameProcess()) return;
    if (progress.tokens > 0) this.#options.state.liveness.note(this.upstream);
    if (this.#hasOutput || progress.tokens === 0) return;
    const { clock, request, state, placement } = this.#options;
    const { prefixes, speeds } = state;
    this.#hasOutput = true;
    prefixes.noteRead(this.upstream, request.prefixes);
    this.#work.noteFirstOutput();
    // What went behind others waited for more than the tokens before it.
    if (placement.isDeferred) return;
    speeds.noteFirstOutput(
      this.upstream,
      placement.ownTokens - placement.fetchedTokens + placement.tokensAhead,
      clock.now() - this.#grantedAt,
    );
  }

  override noteSignals(signals: UpstreamSignals): void {
    if (!this.#isSameProcess()) return;
    const { directory, state } = this.#options;
    if (signals.isLeaving) directory.noteLeaving(this.upstream);
    state.rateLimits.noteSignals(this.upstream, signals);
    state.backOffs.noteSignals(this.upstream, signals);
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

/** Undefined where the prompt takes its turn however late that is. */
function chooseTarget(
  { firstOutputMs, patienceMs, arrivedAt, deadlineAt }: LeaseRequest,
): number | undefined {
  return canBeDeferred(patienceMs, deadlineAt - arrivedAt)
    ? firstOutputMs
    : undefined;
}

/** Late prompts go behind others of their class, and before the next class. */
function choosePriority(
  { priority, latePriority }: LeaseRequest,
  { isDeferred }: Placement,
): number {
  const onTime = priority ?? DEFAULT_PRIORITY;
  return isDeferred ? latePriority ?? onTime : onTime;
}

function formatReason(placement: Placement): string {
  const { ownTokens, fetchedTokens, tokensAhead, owner } = placement;
  const { running, predictedMs, isDeferred } = placement;
  return `by=${
    owner ?? "self"
  } running=${running} tokens_ahead=${tokensAhead} ` +
    `own_tokens=${ownTokens} fetched=${fetchedTokens} predicted_ms=${
      Math.round(predictedMs)
    } deferred=${isDeferred ?? false}`;
}

function createNoReplica(): RefusalError {
  return new RefusalError({
    code: "no_upstream",
    message: "No replica of the service takes new work",
    outcome: "not_run",
    retryAfterMs: NO_REPLICA_RETRY_MS,
  });
}
