/**
 * Keeps the whole fleet within the request rate limits that replicas announce.
 *
 * A limit applies to all VMs together. Each VM reports to the others the limits
 * in the answers that it got and how many requests it has sent; the requests of
 * all VMs are charged to one bucket at each VM. Counts are running totals, so
 * that lost or repeated messages change nothing.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { PoolName, VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";
import { RequestRateLimiter } from "../limits/index.ts";
import type { ListedReplica } from "./replica_list.ts";
import type { PlacementRole } from "./slow_start.ts";

/** Smaller changes of a limit, as a share of the last one, are not logged. */
const MIN_LOGGED_CHANGE = 0.25;
/**
 * Answers, requests and the end of a limit are reported for this long, since
 * messages may be lost.
 */
const REPORT_FOR_MS = 2_000;
/**
 * Share of a limit for all VMs that reach no owner. They do not learn what
 * owners send, either.
 */
const ISOLATED_SHARE = 0.2;
const NO_LIMIT = -1;
const NEVER = -1;

/**
 * What a VM reports of one replica: the limit in its last answer (below 0 for
 * none), how many milliseconds ago the answer came (below 0 for never), and how
 * many requests the VM has sent there under limits.
 */
export type RateLimitEntry = [
  replica: VmId,
  requestsPerS: number,
  ageMs: number,
  sent: number,
];

/**
 * Called with a replica's new limit in requests per second; undefined for none.
 */
export type OnRateLimit = (
  replica: VmId,
  requestsPerS: number | undefined,
) => void;

/** Options of `ReplicaRateLimits`. */
export interface ReplicaRateLimitsOptions {
  clock: Clock;
  onChange: OnRateLimit;
  getRole: (pool: PoolName) => PlacementRole;
  /** Number of other VMs that are reachable now. */
  countReachable: () => number;
}

interface ReplicaLimit {
  limiter: RequestRateLimiter;
  /** When its last limit ended. */
  endedAt: number;
  /** Limit in its last answer to this VM, and when the answer came. */
  lastAnswer: { requestsPerS: number; at: number } | undefined;
  /** Requests that this VM placed there, and when it placed the last one. */
  sent: number;
  sentAt: number;
  /** Requests of the other VMs, as they reported them. */
  sentByPeers: Map<VmId, number>;
  /** Limit that was logged last; infinite for none. */
  loggedPerS: number;
}

/** Limits by replica, and the requests sent under them. */
export class ReplicaRateLimits {
  readonly #options: ReplicaRateLimitsOptions;
  readonly #limits = new Map<VmId, ReplicaLimit>();

  constructor(options: ReplicaRateLimitsOptions) {
    this.#options = options;
  }

  static create(options: ReplicaRateLimitsOptions): ReplicaRateLimits {
    return new ReplicaRateLimits(options);
  }

  /** Applies an answer of the replica to this VM. */
  noteSignals(replica: VmId, { requestsPerS }: UpstreamSignals): void {
    if (requestsPerS === undefined) return;
    const now = this.#options.clock.now();
    const record = this.#noteLimit(replica, requestsPerS, now);
    record.lastAnswer = { requestsPerS, at: now };
  }

  /** Whether this VM may place one more request there now. */
  hasCapacity(replica: ListedReplica): boolean {
    return this.computeWaitMs(replica) === 0;
  }

  /**
   * Milliseconds until this VM may place a request there; infinite where it has
   * no share of the limit.
   */
  computeWaitMs({ id, pool }: ListedReplica): number {
    const limiter = this.#limits.get(id)?.limiter;
    if (limiter?.limit === undefined) return 0;
    const now = this.#options.clock.now();
    return limiter.computeWaitMs(now, this.#computeShare(pool));
  }

  /** Counts a request that this VM placed there. */
  addSent({ id }: ListedReplica): void {
    const record = this.#limits.get(id);
    if (record?.limiter.limit === undefined) return;
    record.limiter.take(1);
    record.sent += 1;
    record.sentAt = this.#options.clock.now();
  }

  /**
   * Requests per second that the replica accepts; undefined without a limit.
   */
  getLimit(replica: VmId): number | undefined {
    return this.#limits.get(replica)?.limiter.limit;
  }

  /** Entries for the other VMs. */
  listUpdates(): RateLimitEntry[] {
    const now = this.#options.clock.now();
    return [...this.#limits]
      .filter(([, record]) => isReportable(record, now))
      .map(([replica, record]) => buildEntry(replica, record, now));
  }

  /** Applies the entries of another VM. */
  applyUpdates(vm: VmId, entries: readonly RateLimitEntry[]): void {
    const now = this.#options.clock.now();
    for (const [replica, requestsPerS, ageMs, sent] of entries) {
      if (ageMs !== NEVER) {
        const limit = requestsPerS === NO_LIMIT ? Infinity : requestsPerS;
        this.#noteLimit(replica, limit, now - ageMs);
      }
      this.#notePeerSent(vm, replica, sent);
    }
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#limits.keys()) {
      if (!isListed(replica)) this.#limits.delete(replica);
    }
  }

  /**
   * Applies the limit in an answer. The replica's newest answer counts,
   * whichever VM it went to.
   */
  #noteLimit(
    replica: VmId,
    requestsPerS: number,
    announcedAt: number,
  ): ReplicaLimit {
    const now = this.#options.clock.now();
    const record = this.#limits.get(replica) ?? buildReplicaLimit(now);
    this.#limits.set(replica, record);
    const { limiter } = record;
    const wasLimited = limiter.limit !== undefined;
    limiter.noteLimit(requestsPerS, announcedAt);
    if (wasLimited && limiter.limit === undefined) record.endedAt = now;
    this.#noteChange(replica, record);
    return record;
  }

  #noteChange(replica: VmId, record: ReplicaLimit): void {
    const { loggedPerS, limiter } = record;
    const perS = limiter.limit ?? Infinity;
    const isLogged = perS === loggedPerS ||
      Math.abs(perS - loggedPerS) < MIN_LOGGED_CHANGE * loggedPerS;
    if (isLogged) return;
    record.loggedPerS = perS;
    this.#options.onChange(replica, limiter.limit);
  }

  /**
   * Charges the requests that `vm` sent since its last report. Its first report
   * is only a starting point: it does not say when the requests were sent.
   */
  #notePeerSent(vm: VmId, replica: VmId, sent: number): void {
    const record = this.#limits.get(replica);
    if (record === undefined) return;
    const before = record.sentByPeers.get(vm) ?? sent;
    record.sentByPeers.set(vm, sent);
    // A VM that has restarted counts from 0.
    record.limiter.take(sent < before ? sent : sent - before);
  }

  /**
   * Share of a limit that this VM charges requests to. VMs that reach each
   * other together have a share in proportion to their number, since those cut
   * off from them may use the rest.
   */
  #computeShare(pool: PoolName): number {
    const { getRole, countReachable } = this.#options;
    const { role, others } = getRole(pool);
    const fleetSize = 1 + others.length;
    const reachableShare = Math.min(1, (1 + countReachable()) / fleetSize);
    return match(role)
      .with("owner", () => (1 - ISOLATED_SHARE) * reachableShare)
      .with("alone", () => ISOLATED_SHARE / fleetSize)
      .with("equal", () => reachableShare)
      .with("unsettled", () => 0)
      .exhaustive();
  }
}

function buildReplicaLimit(now: number): ReplicaLimit {
  return {
    limiter: RequestRateLimiter.create(now),
    endedAt: -Infinity,
    lastAnswer: undefined,
    sent: 0,
    sentAt: -Infinity,
    sentByPeers: new Map(),
    loggedPerS: Infinity,
  };
}

function isReportable(
  { limiter, endedAt, lastAnswer, sentAt }: ReplicaLimit,
  now: number,
): boolean {
  const since = now - REPORT_FOR_MS;
  const isLimited = limiter.limit !== undefined || endedAt > since;
  const isActive = sentAt > since || (lastAnswer?.at ?? -Infinity) > since;
  return isLimited && isActive;
}

function buildEntry(
  replica: VmId,
  { lastAnswer, sent }: ReplicaLimit,
  now: number,
): RateLimitEntry {
  if (lastAnswer === undefined) return [replica, NO_LIMIT, NEVER, sent];
  const { requestsPerS, at } = lastAnswer;
  const limit = requestsPerS === Infinity ? NO_LIMIT : requestsPerS;
  return [replica, limit, Math.round(now - at), sent];
}
