/**
 * Whether a shard takes a request into its queue, and what a refused caller
 * is told.
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

/** Requests that may wait in a shard, beside the first of each class. */
const QUEUE_BOUND = 4_096;
/** How long it is remembered that a ticket was passed on. */
const PASSED_ON_MS = 10_000;
/** When to come back where no upstream serves the model yet. */
const NO_UPSTREAM_RETRY_MS = 5_000;

/** What the admission of a shard looks at. */
export interface ShardAdmissionOptions {
  clock: Clock;
  queue: WaitingQueue<Waiter>;
  replicas: ReplicaSet;
  /** How long the shard's requests will wait. */
  waits: WaitEstimator;
  factory: WaiterFactory;
  features: SchedulerFeatures;
  listOthers: () => ShardSummary[];
  queueBound?: number | undefined;
}

/** Admission to one shard's queue. */
export class ShardAdmission {
  readonly #options: ShardAdmissionOptions;
  readonly #retryTimes = RetrySchedule.create();
  /** Tickets that were passed on, which must not be passed on again. */
  readonly #passedOn = new Map<TicketId, number>();

  constructor(options: ShardAdmissionOptions) {
    this.#options = options;
  }

  static create(options: ShardAdmissionOptions): ShardAdmission {
    return new ShardAdmission(options);
  }

  /** The answer that keeps `waiter` out; undefined when it may wait. */
  check(waiter: Waiter, now: number): AcquireAnswer | undefined {
    if (!this.hasServing(waiter)) return this.buildUnservedAnswer(waiter);
    // A resumed stream keeps its place in the system: to refuse it would
    // throw away what has been generated.
    if (waiter.isResumed) return undefined;
    return this.#checkClassLimit(waiter) ?? this.#checkDeadline(waiter, now);
  }

  /** The waiter to shed; undefined while the queue is within its bound. */
  findVictim(): Waiter | undefined {
    const { queue, queueBound, features: decisions } = this.#options;
    if (!decisions.shedding) return undefined;
    if (queue.boundedSize <= (queueBound ?? QUEUE_BOUND)) return undefined;
    return queue.findShedVictim();
  }

  /**
   * The waiter that a full class gives up for `waiter`: the last one of the
   * workspace that has the most waiting, so that one workspace's burst cannot
   * keep the others out.
   */
  findCrowding(waiter: Waiter): Waiter | undefined {
    const { queue, features: decisions } = this.#options;
    if (!decisions.fairShare || !this.#isClassFull(waiter)) return undefined;
    const waiting = queue.getClass(waiter);
    const largest = waiting?.findLargestBacklog();
    if (waiting === undefined || largest === undefined) return undefined;
    const most = waiting.backlogs.get(largest)!;
    const own = waiting.backlogs.get(waiter.workspace)?.count ?? 0;
    const isLess = (own + 1) / waiter.weight < most.count / most.weight;
    const latest = isLess ? queue.findLatestOf(waiter, largest) : undefined;
    return latest?.isResumed ? undefined : latest;
  }

  /** The answer where the class's own queue is full. */
  buildFullAnswer(waiter: Waiter): AcquireAnswer {
    return this.#handOn(waiter) ??
      this.#refuse(
        waiter,
        "queue_full",
        this.#options.waits.computeWait(waiter),
      );
  }

  /** Passes a victim on to a shard that serves a lower tier, or refuses it. */
  buildShedAnswer(waiter: Waiter): AcquireAnswer {
    return this.#handOn(waiter) ??
      this.#refuse(waiter, "shed", this.#options.waits.computeWait(waiter));
  }

  /** The answer to a waiter that can no longer be served in time. */
  buildLateAnswer(waiter: Waiter): AcquireAnswer {
    return this.#refuse(
      waiter,
      "deadline_unreachable",
      this.#options.waits.computeLateRetry(waiter),
    );
  }

  /** Whether an upstream of the shard could serve the waiter. */
  hasServing(waiter: Waiter): boolean {
    return hasCapableReplica(
      this.#options.replicas.list(),
      buildBareWish(waiter),
    );
  }

  /** Whether one that is in service, or due for a probe, could serve it. */
  hasServingNow(waiter: Waiter, now: number): boolean {
    const wish = buildBareWish(waiter);
    return hasAvailableReplica(this.#options.replicas.list(), {
      requirements: wish,
      now,
    });
  }

  /** The answer to a waiter that no upstream serves. */
  buildUnservedAnswer(waiter: Waiter): AcquireAnswer {
    return this.#refuse(waiter, "no_upstream", NO_UPSTREAM_RETRY_MS);
  }

  /** The answer to a late repeat of a ticket that is closed. */
  buildClosedAnswer(): AcquireAnswer {
    return {
      kind: "refused",
      refusal: {
        code: "cancelled",
        message: "The ticket is closed",
        // The lease that the ticket got may have been used.
        outcome: "unknown",
      },
    };
  }

  /** Forgets tickets that were passed on long ago. */
  dropOldTickets(): void {
    const now = this.#options.clock.now();
    for (const [ticket, until] of this.#passedOn) {
      if (until <= now) this.#passedOn.delete(ticket);
    }
  }

  #checkClassLimit(waiter: Waiter): AcquireAnswer | undefined {
    if (!this.#isClassFull(waiter)) return undefined;
    if (this.findCrowding(waiter) !== undefined) return undefined;
    return this.buildFullAnswer(waiter);
  }

  #isClassFull(waiter: Waiter): boolean {
    const { queue, features: decisions } = this.#options;
    if (!decisions.crowding) return false;
    const waiting = queue.getClass(waiter)?.size ?? 0;
    return waiting >= waiter.requestClass.queueLimit;
  }

  #checkDeadline(waiter: Waiter, now: number): AcquireAnswer | undefined {
    const { features: decisions, factory } = this.#options;
    const { requestClass, call } = waiter;
    if (requestClass.lateIsUseful || !decisions.admission) return undefined;
    if (waiter.dropAt <= now) return this.buildLateAnswer(waiter);
    if (!factory.computeSize(call, { requestClass, now }).learnt) {
      return undefined;
    }
    const waitMs = this.#options.waits.computeWait(waiter);
    // With no wait, starting is the only way to learn that it would have been
    // in time.
    if (waitMs === 0) return undefined;
    if (now + waitMs <= waiter.dropAt) return undefined;
    return this.#handOn(waiter) ?? this.buildLateAnswer(waiter);
  }

  #handOn(waiter: Waiter): AcquireAnswer | undefined {
    const { features: decisions, listOthers, clock } = this.#options;
    if (!decisions.passOn || this.#passedOn.has(waiter.ticket)) {
      return undefined;
    }
    let best: ShardSummary | undefined;
    for (const other of listOthers()) {
      if (other.slots === 0) continue;
      if (other.room === 0 && other.lowestRank <= waiter.rank) continue;
      if (best === undefined || other.expectedWaitMs < best.expectedWaitMs) {
        best = other;
      }
    }
    if (best === undefined) return undefined;
    this.#passedOn.set(waiter.ticket, clock.now() + PASSED_ON_MS);
    return { kind: "pass_on", shard: best.shard };
  }

  #refuse(
    waiter: Waiter,
    code: RefusalCode,
    waitMs: number,
  ): AcquireAnswer {
    const retryAfterMs = this.#retryTimes.take(waiter.className, {
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
  no_upstream: "No upstream of the pool serves what the request needs",
  queue_full: "The queue of the request's class is full",
  shed: "The queue is full and holds requests of higher tiers",
  deadline_unreachable: "The request could not be finished within its target",
};

/** What a waiter needs of a replica, whichever of those it gets. */
function buildBareWish(waiter: Waiter): ReplicaRequirements {
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
