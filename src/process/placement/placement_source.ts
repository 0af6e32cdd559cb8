/**
 * Slots by this VM's own decision, on what all VMs tell each other.
 *
 * @module
 */
import { type DataCentre, type LeaseId, toId, type VmId } from "../../ids.ts";
import { RefusalError } from "../../outcome.ts";
import type { FateStep } from "../../request/fate.ts";
import type { Clock } from "../clock.ts";
import {
  HeldLease,
  type LeaseProgress,
  type LeaseRequest,
  LeaseSource,
} from "../services.ts";
import {
  choosePlacement,
  isShortPrompt,
  type Placement,
} from "./placement_choice.ts";
import type { PlacementState } from "./placement_state.ts";
import type { ListedReplica, ReplicaDirectory } from "./replica_list.ts";
import type { PlacedWork } from "./replica_loads.ts";

const DEFAULT_PRIORITY = 5;
const NO_REPLICA_RETRY_MS = 400;
/** Never are more replicas of a pool left out for failures than this share. */
const MOST_EJECTED_SHARE = 0.5;

/** What placing needs. */
export interface PlacementSourceOptions {
  clock: Clock;
  /** Where this VM stands. */
  dataCentre: DataCentre;
  directory: ReplicaDirectory;
  state: PlacementState;
}

/** Grants at once, or refuses. */
export class PlacementSource extends LeaseSource {
  readonly #options: PlacementSourceOptions;
  #granted = 0;

  constructor(options: PlacementSourceOptions) {
    super();
    this.#options = options;
  }

  static create(options: PlacementSourceOptions): PlacementSource {
    return new PlacementSource(options);
  }

  override acquire(
    request: LeaseRequest,
    _options: { signal: AbortSignal; onStep: (step: FateStep) => void },
  ): Promise<HeldLease> {
    const placement = choosePlacement(
      this.#listCandidates(request),
      {
        parts: request.prefixes,
        partTokens: request.partTokens ?? [],
        promptTokens: request.promptTokens,
      },
      { dataCentre: this.#options.dataCentre, state: this.#options.state },
    );
    if (placement === undefined) return Promise.reject(createNoReplica());
    this.#granted += 1;
    return Promise.resolve(
      new PlacedLease(toId<LeaseId>(String(this.#granted)), {
        ...this.#options,
        request,
        placement,
      }),
    );
  }

  #listCandidates(request: LeaseRequest): readonly ListedReplica[] {
    const { directory, state: { health } } = this.#options;
    const ready = directory.listReady(request.pool);
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

/** One request at one replica. */
class PlacedLease extends HeldLease {
  readonly lease: LeaseId;
  readonly upstream: VmId;
  readonly priority: number;
  override readonly reason: string;
  readonly preempted: AbortSignal = new AbortController().signal;
  readonly #options: PlacementSourceOptions & {
    request: LeaseRequest;
    placement: Placement;
  };
  readonly #work: PlacedWork;
  readonly #grantedAt: number;
  #hasOutput = false;
  #isReleased = false;

  constructor(
    lease: LeaseId,
    options: PlacementSourceOptions & {
      request: LeaseRequest;
      placement: Placement;
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
    this.#grantedAt = options.clock.now();
    const { ownTokens } = placement;
    this.#work = loads.addOwn(this.upstream, {
      pendingTokens: ownTokens,
      isTalking: isShortPrompt(request.promptTokens),
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

  noteProgress(progress: LeaseProgress): void {
    if (this.#hasOutput || progress.tokens === 0) return;
    this.#hasOutput = true;
    this.#work.noteFirstOutput();
    const { clock, state: { speeds }, placement } = this.#options;
    speeds.noteFirstOutput(
      this.upstream,
      placement.ownTokens + placement.tokensAhead,
      clock.now() - this.#grantedAt,
    );
  }

  release(state: "done" | "failed" | "cancelled" | "unused"): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#work.end();
    const { health } = this.#options.state;
    if (state === "done") health.noteResult(this.upstream, true);
    if (state === "failed") health.noteResult(this.upstream, false);
  }
}

function formatReason(placement: Placement): string {
  const { ownTokens, tokensAhead, running, predictedMs } = placement;
  return `running=${running} tokens_ahead=${tokensAhead} ` +
    `own_tokens=${ownTokens} predicted_ms=${Math.round(predictedMs)}`;
}

function createNoReplica(): RefusalError {
  return new RefusalError({
    code: "no_upstream",
    message: "No replica of the service takes new work",
    outcome: "not_run",
    retryAfterMs: NO_REPLICA_RETRY_MS,
  });
}
