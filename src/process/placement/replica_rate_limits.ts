/**
 * Keeps the whole fleet within the limits on requests a second that replicas
 * name.
 *
 * A limit holds for all VMs together. Each VM tells the others of the limits
 * that answers named to it and of how much it has sent; what all have sent
 * counts against one bucket at each VM. Counts are totals, so that a message
 * that is lost or comes twice changes nothing.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { PoolName, VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";
import { RequestRate } from "../limits/index.ts";
import type { ListedReplica } from "./replica_list.ts";
import type { PlacementRole } from "./slow_start.ts";

/** Limits that differ by less, as a share of the one before, are not logged. */
const LOGGED_CHANGE = 0.25;
/**
 * Others are told for so long, in milliseconds, of an answer, of a request and
 * of the end of a limit: a message may be lost.
 */
const TOLD_FOR_MS = 2_000;
/**
 * The part of a limit that VMs share that hear no owner. They hear nothing of
 * what owners send, either.
 */
const ALONE_PART = 0.2;
const NO_LIMIT = -1;
const NEVER = -1;

/**
 * What a VM tells of one replica: the limit that its last answer named and how
 * many milliseconds ago (below 0 for none, or never), and how many requests the
 * VM has sent there under limits.
 */
export type RateLimitEntry = [
  replica: VmId,
  requestsPerS: number,
  ageMs: number,
  sent: number,
];

/** Hears that a replica names a limit or none, in requests a second. */
export type OnRateLimit = (
  replica: VmId,
  requestsPerS: number | undefined,
) => void;

/** What keeping to limits goes by. */
export interface ReplicaRateLimitsOptions {
  clock: Clock;
  onChange: OnRateLimit;
  getRole: (pool: PoolName) => PlacementRole;
  /** Other VMs that are heard now. */
  countReachable: () => number;
}

interface Record {
  rate: RequestRate;
  /** When its last limit ended. */
  endedAt: number;
  /** What its last answer to this VM named, and when that came. */
  own: { requestsPerS: number; at: number } | undefined;
  /** Requests sent by this VM's decision, and when the last one was. */
  sent: number;
  sentAt: number;
  /** The same of other VMs, as they told. */
  sentByPeers: Map<VmId, number>;
  /** The limit that was logged last; infinite for none. */
  loggedPerS: number;
}

/** Limits by replica, and what was sent under them. */
export class ReplicaRateLimits {
  readonly #options: ReplicaRateLimitsOptions;
  readonly #records = new Map<VmId, Record>();

  constructor(options: ReplicaRateLimitsOptions) {
    this.#options = options;
  }

  static create(options: ReplicaRateLimitsOptions): ReplicaRateLimits {
    return new ReplicaRateLimits(options);
  }

  /** Takes in an answer of the replica to this VM. */
  noteSignals(replica: VmId, { requestsPerS }: UpstreamSignals): void {
    if (requestsPerS === undefined) return;
    const now = this.#options.clock.now();
    const record = this.#noteLimit(replica, requestsPerS, now);
    record.own = { requestsPerS, at: now };
  }

  /** Whether one more request of this VM's decision may go there now. */
  hasRoom(replica: ListedReplica): boolean {
    return this.computeWaitMs(replica) === 0;
  }

  /**
   * Milliseconds until a request of this VM's decision may go there; infinite
   * where it has none to send.
   */
  computeWaitMs({ id, pool }: ListedReplica): number {
    const rate = this.#records.get(id)?.rate;
    if (rate?.limit === undefined) return 0;
    const now = this.#options.clock.now();
    return rate.computeWaitMs(now, this.#computeShare(pool));
  }

  /** A request goes there by this VM's decision. */
  addSent({ id }: ListedReplica): void {
    const record = this.#records.get(id);
    if (record?.rate.limit === undefined) return;
    record.rate.take(1);
    record.sent += 1;
    record.sentAt = this.#options.clock.now();
  }

  /** Requests a second that the replica takes; undefined for any number. */
  getLimit(replica: VmId): number | undefined {
    return this.#records.get(replica)?.rate.limit;
  }

  /** What the others are to know. */
  listUpdates(): RateLimitEntry[] {
    const now = this.#options.clock.now();
    return [...this.#records]
      .filter(([, record]) => isNews(record, now))
      .map(([replica, record]) => buildEntry(replica, record, now));
  }

  /** Takes in what another VM told. */
  applyUpdates(vm: VmId, entries: readonly RateLimitEntry[]): void {
    const now = this.#options.clock.now();
    for (const [replica, requestsPerS, ageMs, sent] of entries) {
      if (ageMs !== NEVER) {
        const named = requestsPerS === NO_LIMIT ? Infinity : requestsPerS;
        this.#noteLimit(replica, named, now - ageMs);
      }
      this.#notePeerSent(vm, replica, sent);
    }
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#records.keys()) {
      if (!isListed(replica)) this.#records.delete(replica);
    }
  }

  /** The replica's last answer holds, whichever VM it came to. */
  #noteLimit(replica: VmId, requestsPerS: number, namedAt: number): Record {
    const now = this.#options.clock.now();
    const record = this.#records.get(replica) ?? buildRecord(now);
    this.#records.set(replica, record);
    const { rate } = record;
    const wasLimited = rate.limit !== undefined;
    rate.noteLimit(requestsPerS, namedAt);
    if (wasLimited && rate.limit === undefined) record.endedAt = now;
    this.#announce(replica, record);
    return record;
  }

  #announce(replica: VmId, record: Record): void {
    const { loggedPerS, rate } = record;
    const perS = rate.limit ?? Infinity;
    const isKnown = perS === loggedPerS ||
      Math.abs(perS - loggedPerS) < LOGGED_CHANGE * loggedPerS;
    if (isKnown) return;
    record.loggedPerS = perS;
    this.#options.onChange(replica, rate.limit);
  }

  /** The first total that is heard tells nothing of when it was sent. */
  #notePeerSent(vm: VmId, replica: VmId, sent: number): void {
    const record = this.#records.get(replica);
    if (record === undefined) return;
    const before = record.sentByPeers.get(vm) ?? sent;
    record.sentByPeers.set(vm, sent);
    // A VM that has started again counts from 0.
    record.rate.take(sent < before ? sent : sent - before);
  }

  /**
   * The part of a limit that this VM counts against: with those that it hears
   * it has the part that they are of all VMs, since those that are cut off from
   * them may use the rest.
   */
  #computeShare(pool: PoolName): number {
    const { getRole: getShare, countReachable: countHeard } = this.#options;
    const { role, others } = getShare(pool);
    const known = 1 + others.length;
    const heardPart = Math.min(1, (1 + countHeard()) / known);
    return match(role)
      .with("owner", () => (1 - ALONE_PART) * heardPart)
      .with("alone", () => ALONE_PART / known)
      .with("equal", () => heardPart)
      .with("unsettled", () => 0)
      .exhaustive();
  }
}

function buildRecord(now: number): Record {
  return {
    rate: RequestRate.create(now),
    endedAt: -Infinity,
    own: undefined,
    sent: 0,
    sentAt: -Infinity,
    sentByPeers: new Map(),
    loggedPerS: Infinity,
  };
}

function isNews({ rate, endedAt, own, sentAt }: Record, now: number): boolean {
  const since = now - TOLD_FOR_MS;
  const isLimited = rate.limit !== undefined || endedAt > since;
  const isActive = sentAt > since || (own?.at ?? -Infinity) > since;
  return isLimited && isActive;
}

function buildEntry(
  replica: VmId,
  { own, sent }: Record,
  now: number,
): RateLimitEntry {
  if (own === undefined) return [replica, NO_LIMIT, NEVER, sent];
  const { requestsPerS, at } = own;
  const named = requestsPerS === Infinity ? NO_LIMIT : requestsPerS;
  return [replica, named, Math.round(now - at), sent];
}
