/**
 * Lease of a request at the replica where it was placed: adds to the replica's
 * load and records what its answer shows.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import {
  type Incarnation,
  type LeaseId,
  type SoftwareVersion,
  toId,
  type VmId,
} from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import {
  HeldLease,
  type LeaseProgress,
  type LeaseRequest,
} from "../services.ts";
import type { Placement } from "./placement_choice.ts";
import type { PlacementState } from "./placement_state.ts";
import {
  getSoftwareVersion,
  hasVersion,
  type ReplicaDirectory,
} from "./replica_list.ts";
import { buildListFields } from "./last_sends.ts";
import type { PlacedWork } from "./replica_loads.ts";
import type { UnansweredRequest } from "./unanswered_requests.ts";

const DEFAULT_PRIORITY = 5;
/**
 * A request may wait this many times its predicted wait before silence counts
 * against the replica: the prediction leaves out the steps of running streams,
 * which come between the chunks of a prefill and at most double it.
 */
const MAX_WAIT_RATIO = 2;
/** A sound replica may send nothing for a second or so, and then go on. */
const MAX_SILENCE_MS = 1_500;

/** Options of `PlacedLease`. */
export interface PlacedLeaseOptions {
  clock: Clock;
  log: Log;
  directory: ReplicaDirectory;
  /** Whether the list was not confirmed for some time. */
  isViewStale: () => boolean;
  /** Whether a request may be sent by the list that this VM has now. */
  canUseState: () => boolean;
  /** Time since the list of replicas was confirmed; below 0 for never. */
  getListAgeMs: () => number;
  state: PlacementState;
  request: LeaseRequest;
  placement: Placement;
  /** Whether the request counts as an interactive stream. */
  isInteractive: boolean;
}

/** Lease of one request at one replica. */
export class PlacedLease extends HeldLease {
  readonly lease: LeaseId;
  readonly upstream: VmId;
  readonly priority: number;
  override readonly reason: string;
  override readonly upstreamIncarnation: Incarnation;
  override readonly fetchFrom: Endpoint | undefined;
  readonly preempted: AbortSignal = new AbortController().signal;
  readonly #withdrawal = new AbortController();
  readonly #options: PlacedLeaseOptions;
  readonly #work: PlacedWork;
  /** Start of the replica's process that has the request. */
  readonly #startedAt: number | undefined;
  readonly #grantedAt: number;
  /** Undefined until it is written. */
  #unanswered: UnansweredRequest | undefined;
  #hasOutput = false;
  #hasTransportFailed = false;
  #isReleased = false;

  constructor(lease: LeaseId, options: PlacedLeaseOptions) {
    super();
    const { placement, request, state } = options;
    const { loads, prefixes, prefills, speeds } = state;
    this.lease = lease;
    this.upstream = placement.replica.id;
    this.priority = choosePriority(request, placement);
    this.#options = options;
    this.reason = `${formatReason(placement)} expected_tokens=${
      request.expectedTokens ?? "unknown"
    } ${this.formatState()}`;
    this.fetchFrom = placement.fetchFrom;
    this.#startedAt = placement.replica.startedAt;
    // Each start of a replica is an incarnation of its own. Without a known
    // start time, incarnations cannot be told apart and share one id.
    this.upstreamIncarnation = toId<Incarnation>(
      `${this.upstream}@${this.#startedAt ?? ""}`,
    );
    this.#grantedAt = options.clock.now();
    const prefillTokens = placement.ownTokens - placement.fetchedTokens;
    this.#work = loads.addOwn(this.upstream, {
      pendingTokens: prefillTokens,
      isDeferred: placement.isDeferred,
      isInteractive: options.isInteractive,
    });
    prefixes.noteSent(this.upstream, request.prefixes, prefillTokens);
    prefills.addPrefill(
      this.upstream,
      prefillTokens * speeds.getMsPerToken(this.upstream),
    );
  }

  static create(lease: LeaseId, options: PlacedLeaseOptions): PlacedLease {
    return new PlacedLease(lease, options);
  }

  override get withdrawn(): AbortSignal {
    return this.#withdrawal.signal;
  }

  /**
   * False once the replica is leaving or has asked to back off, or while this VM
   * can't tell.
   */
  isValid(): boolean {
    const { directory, state, canUseState } = this.#options;
    return directory.isReady(this.upstream) &&
      !state.backOffs.isBackingOff(this.upstream) && canUseState();
  }

  /**
   * Undefined if the list names another process under the replica's id since the
   * choice: either may have the work.
   */
  override getUpstreamVersion(): SoftwareVersion | undefined {
    const { directory, placement: { replica } } = this.#options;
    const version = getSoftwareVersion(replica);
    const listed = directory.find(this.upstream);
    if (listed === undefined) return version;
    const isSame = this.#isSameProcess() && hasVersion(listed, version);
    return isSame ? version : undefined;
  }

  override formatState(): string {
    const { directory, getListAgeMs } = this.#options;
    const { era, revision, ageMs, from } = directory.buildView(getListAgeMs());
    return `list_era=${era} list_revision=${revision} list_age_ms=${ageMs} ` +
      `list_from=${from}`;
  }

  override isUpstreamAlive(): boolean {
    if (!this.#isSameProcess()) return false;
    const { clock, placement, request, state } = this.#options;
    const waitedMs = clock.now() - this.#grantedAt;
    // A deferred request waits without output until its caller disconnects.
    const expectedMs = placement.isDeferred
      ? request.clientTimeoutMs ?? 0
      : MAX_WAIT_RATIO * placement.predictedMs;
    const isExpected = !this.#hasOutput &&
      waitedMs < expectedMs;
    return isExpected || state.liveness.isAlive(this.upstream);
  }

  /**
   * Checks at the same time whether the replica is there at all, and whether one
   * that has begun its answer still responds.
   */
  override computeSilenceLeftMs(): number {
    const { clock, state } = this.#options;
    if (!this.#isSameProcess()) return 0;
    if (state.links.isUnreachable(this.upstream)) return 0;
    void state.checks.check(this.upstream);
    const activeAt = state.liveness.getActiveAt(this.upstream);
    const silentSince = Math.max(this.#grantedAt, activeAt);
    const leftMs = Math.max(0, silentSince + MAX_SILENCE_MS - clock.now());
    if (!this.#hasOutput) return leftMs;
    const answerMs = state.probes?.ask(this.upstream, silentSince) ?? 0;
    return Math.max(leftMs, answerMs);
  }

  override noteSending(): void {
    const { state, request, directory, getListAgeMs } = this.#options;
    const { requestId } = request;
    const list = directory.buildView(getListAgeMs());
    state.lastSends.note(this.upstream, { requestId, list });
    this.#unanswered = state.unanswered.add({
      requestId,
      replica: this.upstream,
      list,
      onWithdrawn: () => this.#withdrawal.abort(),
    });
    if (this.#options.isViewStale()) this.#writeStale();
  }

  override noteAnswered(): void {
    this.#unanswered?.noteAnswered();
  }

  noteProgress(progress: LeaseProgress): void {
    if (!this.#isSameProcess()) return;
    if (progress.tokens > 0) this.#options.state.liveness.note(this.upstream);
    if (this.#hasOutput || progress.tokens === 0) return;
    const { clock, request, state, placement } = this.#options;
    const { prefixes, speeds, links } = state;
    this.#hasOutput = true;
    prefixes.notePrefilled(this.upstream, request.prefixes);
    this.#work.noteFirstOutput();
    // A deferred prompt has waited for more than `tokensAhead`, so its time
    // says nothing about speed.
    if (placement.isDeferred) return;
    // Nor does it if this VM had lost its link meanwhile.
    if (links.hasFailedSince(this.upstream, this.#grantedAt)) return;
    speeds.noteFirstOutput(
      this.upstream,
      placement.ownTokens - placement.fetchedTokens + placement.tokensAhead,
      clock.now() - this.#grantedAt,
    );
  }

  override noteTransportFailure(): Promise<void> {
    if (this.#isReleased || !this.#isSameProcess()) return Promise.resolve();
    this.#hasTransportFailed = true;
    return this.#options.state.failures.note(this.upstream);
  }

  override noteSignals(signals: UpstreamSignals): void {
    if (!this.#isSameProcess()) return;
    const { directory, state } = this.#options;
    if (signals.isLeaving) directory.noteLeaving(this.upstream);
    state.rateLimits.noteSignals(this.upstream, signals);
    state.backOffs.noteSignals(this.upstream, signals);
    state.brittle.noteSignals(this.upstream, signals);
  }

  release(state: "done" | "failed" | "cancelled" | "unused"): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#work.end();
    this.#unanswered?.end();
    this.#options.state.rooms.endFirstWait(this.#options.request.pool);
    if (state === "done") this.#addCallTime();
    if (!this.#isSameProcess()) return;
    const { health } = this.#options.state;
    if (state === "done") health.noteResult(this.upstream, true);
    if (state === "failed" && !this.#hasTransportFailed) {
      health.noteResult(this.upstream, false);
    }
  }

  #writeStale(): void {
    const { clock, log, request, directory, getListAgeMs } = this.#options;
    log.info("sent_by_stale_view", {
      request_id: request.requestId,
      replica: this.upstream,
      ...buildListFields(directory.buildView(getListAgeMs())),
      granted_ms: Math.round(clock.now() - this.#grantedAt),
    });
  }

  #addCallTime(): void {
    const { clock, request, state } = this.#options;
    if (request.promptTokens > 0) return;
    state.callTimes.add(request.className, clock.now() - this.#grantedAt);
  }

  /**
   * Whether the replica still runs the process that got the request: results
   * from an earlier incarnation do not count for the current one.
   */
  #isSameProcess(): boolean {
    const { directory } = this.#options;
    return directory.isIncarnation(this.upstream, this.#startedAt);
  }
}

/**
 * Deferred prompts go after the others of their class and before the next
 * class.
 */
function choosePriority(
  { priority, latePriority }: LeaseRequest,
  { isDeferred }: Placement,
): number {
  const onTime = priority ?? DEFAULT_PRIORITY;
  return isDeferred ? latePriority ?? onTime : onTime;
}

function formatReason(placement: Placement): string {
  const { replica, ownTokens, fetchedTokens, tokensAhead, owner } = placement;
  const { running, predictedMs, isDeferred } = placement;
  return `by=${owner ?? "self"} version=${
    getSoftwareVersion(replica) || "none"
  } running=${running} tokens_ahead=${tokensAhead} ` +
    `own_tokens=${ownTokens} fetched=${fetchedTokens} predicted_ms=${
      Math.round(predictedMs)
    } deferred=${isDeferred ?? false}`;
}
