/**
 * Decides whether a shard queues a request, and builds the answers to refused
 * callers.
 *
 * @module
 */
import type { TicketId } from "../../ids.ts";
import type { RefusalCode } from "../../outcome.ts";
import type { Clock } from "../clock.ts";
import type { AcquireAnswer, ShardSummary } from "../peer_api.ts";
import { RetrySchedule } from "./admission.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import {
  hasAvailableReplica,
  hasCapableReplica,
  type ReplicaRequirements,
} from "./replica_choice.ts";
import type { ReplicaSet } from "./replica_set.ts";
import type { WaitEstimator } from "./wait_estimator.ts";
import type { Waiter } from "./waiter.ts";
import type { WaiterFactory } from "./waiter_factory.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** Default maximum queue length, not counting the first of each class. */
const QUEUE_BOUND = 4_096;
/** How long a forwarded ticket is remembered, in milliseconds. */
const FORWARDED_TTL_MS = 10_000;
const NO_UPSTREAM_RETRY_MS = 5_000;

/** Options of a `ShardAdmission`. */
export interface ShardAdmissionOptions {
  clock: Clock;
  queue: WaitingQueue<Waiter>;
  replicas: ReplicaSet;
  waits: WaitEstimator;
  factory: WaiterFactory;
  features: SchedulerFeatures;
  listOtherShards: () => ShardSummary[];
  queueBound?: number | undefined;
}

/** Admission control of one shard's queue. */
export class ShardAdmission {
  readonly #options: ShardAdmissionOptions;
  readonly #retrySchedule = RetrySchedule.create();
  /**
   * Forwarded tickets, which must not be forwarded again, with expiry times.
   */
  readonly #forwarded = new Map<TicketId, number>();

  constructor(options: ShardAdmissionOptions) {
    this.#options = options;
  }

  static create(options: ShardAdmissionOptions): ShardAdmission {
    return new ShardAdmission(options);
  }

  /** Returns the answer that rejects `waiter`, or undefined if it may queue. */
  check(waiter: Waiter, now: number): AcquireAnswer | undefined {
    if (!this.canServe(waiter)) return this.buildNoUpstreamAnswer(waiter);
    // Refusing a resumed stream would discard the output generated so far.
    if (waiter.isResumed) return undefined;
    return this.#checkClassLimit(waiter) ?? this.#checkDeadline(waiter, now);
  }

  /**
   * Picks the waiter to shed, or undefined if the queue is within its bound.
   */
  findVictim(): Waiter | undefined {
    const { queue, queueBound, features } = this.#options;
    if (!features.shedding) return undefined;
    if (queue.boundedSize <= (queueBound ?? QUEUE_BOUND)) return undefined;
    return queue.findShedVictim();
  }

  /**
   * Picks the waiter that `waiter` displaces from the queue of a full class:
   * the latest one of the workspace with the largest backlog. This keeps one
   * workspace's burst from blocking the others.
   */
  findDisplaced(waiter: Waiter): Waiter | undefined {
    const { queue, features } = this.#options;
    if (!features.fairShare || !this.#isClassFull(waiter)) return undefined;
    const waiting = queue.getClass(waiter);
    const largest = waiting?.findLargestBacklog();
    if (waiting === undefined || largest === undefined) return undefined;
    const most = waiting.backlogs.get(largest)!;
    const own = waiting.backlogs.get(waiter.workspace)?.count ?? 0;
    const isLess = (own + 1) / waiter.weight < most.count / most.weight;
    const latest = isLess ? queue.findLatestOf(waiter, largest) : undefined;
    return latest?.isResumed ? undefined : latest;
  }

  /** Builds the answer for a full class queue. */
  buildQueueFullAnswer(waiter: Waiter): AcquireAnswer {
    return this.#buildForwardAnswer(waiter) ??
      this.#refuse(
        waiter,
        "queue_full",
        this.#options.waits.computeWait(waiter),
      );
  }

  /** Forwards a victim to a shard that serves a lower tier, or refuses it. */
  buildShedAnswer(waiter: Waiter): AcquireAnswer {
    return this.#buildForwardAnswer(waiter) ??
      this.#refuse(waiter, "shed", this.#options.waits.computeWait(waiter));
  }

  /** Builds the refusal for a waiter that cannot meet its target. */
  buildLateAnswer(waiter: Waiter): AcquireAnswer {
    return this.#refuse(
      waiter,
      "deadline_unreachable",
      this.#options.waits.computeRetryAfter(waiter),
    );
  }

  /** Whether any upstream of the shard can serve the waiter. */
  canServe(waiter: Waiter): boolean {
    return hasCapableReplica(
      this.#options.replicas.list(),
      buildBasicRequirements(waiter),
    );
  }

  /** Whether an upstream that is in service or due for a probe can serve it. */
  canServeNow(waiter: Waiter, now: number): boolean {
    const requirements = buildBasicRequirements(waiter);
    return hasAvailableReplica(this.#options.replicas.list(), {
      requirements,
      now,
    });
  }

  /** Builds the refusal for a waiter that no upstream can serve. */
  buildNoUpstreamAnswer(waiter: Waiter): AcquireAnswer {
    return this.#refuse(waiter, "no_upstream", NO_UPSTREAM_RETRY_MS);
  }

  /** Builds the refusal of a delayed call for a closed ticket. */
  buildClosedAnswer(): AcquireAnswer {
    return {
      kind: "refused",
      refusal: {
        code: "cancelled",
        message: "The ticket is closed",
        // The lease granted to the ticket may have been used.
        outcome: "unknown",
      },
    };
  }

  /** Removes expired entries of forwarded tickets. */
  dropOldForwards(): void {
    const now = this.#options.clock.now();
    for (const [ticket, until] of this.#forwarded) {
      if (until <= now) this.#forwarded.delete(ticket);
    }
  }

  #checkClassLimit(waiter: Waiter): AcquireAnswer | undefined {
    if (!this.#isClassFull(waiter)) return undefined;
    if (this.findDisplaced(waiter) !== undefined) return undefined;
    return this.buildQueueFullAnswer(waiter);
  }

  #isClassFull(waiter: Waiter): boolean {
    const { queue, features } = this.#options;
    if (!features.crowding) return false;
    const waiting = queue.getClass(waiter)?.size ?? 0;
    return waiting >= waiter.requestClass.queueLimit;
  }

  #checkDeadline(waiter: Waiter, now: number): AcquireAnswer | undefined {
    const { features, factory } = this.#options;
    const { requestClass, call } = waiter;
    if (requestClass.lateIsUseful || !features.admission) return undefined;
    if (waiter.dropAt <= now) return this.buildLateAnswer(waiter);
    if (!factory.computeSize(call, { requestClass, now }).learnt) {
      return undefined;
    }
    const waitMs = this.#options.waits.computeWait(waiter);
    // The estimate may be wrong, and only executing the request can correct it:
    // a request that need not wait is not refused.
    if (waitMs === 0) return undefined;
    if (now + waitMs <= waiter.dropAt) return undefined;
    return this.#buildForwardAnswer(waiter) ?? this.buildLateAnswer(waiter);
  }

  #buildForwardAnswer(waiter: Waiter): AcquireAnswer | undefined {
    const { features, listOtherShards, clock } = this.#options;
    if (!features.passOn || this.#forwarded.has(waiter.ticket)) {
      return undefined;
    }
    let best: ShardSummary | undefined;
    for (const other of listOtherShards()) {
      if (other.slots === 0) continue;
      if (other.room === 0 && other.lowestRank <= waiter.rank) continue;
      if (best === undefined || other.expectedWaitMs < best.expectedWaitMs) {
        best = other;
      }
    }
    if (best === undefined) return undefined;
    this.#forwarded.set(waiter.ticket, clock.now() + FORWARDED_TTL_MS);
    return { kind: "pass_on", shard: best.shard };
  }

  #refuse(
    waiter: Waiter,
    code: RefusalCode,
    waitMs: number,
  ): AcquireAnswer {
    const retryAfterMs = this.#retrySchedule.take(waiter.className, {
      now: this.#options.clock.now(),
      waitMs,
      intervalMs: this.#options.waits.computeGrantInterval(waiter),
    });
    return {
      kind: "refused",
      refusal: {
        code,
        message: MESSAGES[code] ?? "The request was refused",
        outcome: "not_run",
        retryAfterMs,
      },
    };
  }
}

const MESSAGES: Partial<Record<RefusalCode, string>> = {
  no_upstream: "No upstream in the pool can serve the request",
  queue_full: "The queue of the request's class is full",
  shed: "The queue is full and holds requests of higher tiers",
  deadline_unreachable: "The request cannot meet its latency target",
};

/** The requirements that a replica must meet, without any preferences. */
function buildBasicRequirements(waiter: Waiter): ReplicaRequirements {
  const { model, adapter, avoid } = waiter.call;
  return {
    model,
    adapter,
    avoid,
    prefixes: [],
    mayProbe: false,
    prefixAffinity: false,
  };
}
