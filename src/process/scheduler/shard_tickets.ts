/**
 * The life cycle of a shard's tickets: admission, grant, refusal, withdrawal.
 *
 * @module
 */
import type { TicketId } from "../../ids.ts";
import type { Snapshot } from "../../version/records.ts";
import type { Clock } from "../clock.ts";
import type {
  AcquireAnswer,
  AcquireCall,
  ShardSummary,
  SlotLease,
} from "../peer_api.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import type { LeaseManager } from "./lease_manager.ts";
import type { ReplicaSet } from "./replica_set.ts";
import { ShardAdmission } from "./shard_admission.ts";
import { WaitEstimator } from "./wait_estimator.ts";
import { TicketCalls } from "./ticket_calls.ts";
import { PendingRefusals } from "./pending_refusals.ts";
import type { Waiter } from "./waiter.ts";
import type { WaiterFactory } from "./waiter_factory.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/**
 * How long a waiter is kept while no upstream can serve it, in milliseconds.
 */
const MAX_UNSERVED_MS = 3_000;

/** Options of `ShardTickets`. */
export interface ShardTicketsOptions {
  clock: Clock;
  queue: WaitingQueue<Waiter>;
  replicas: ReplicaSet;
  leaseManager: LeaseManager;
  factory: WaiterFactory;
  features: SchedulerFeatures;
  getSnapshot: () => Snapshot | undefined;
  listOtherShards: () => ShardSummary[];
  queueBound: number | undefined;
  /** Called when a ticket's call is held, so that slots can be granted. */
  onWaiting: (now: number) => void;
}

/** All tickets of one shard. */
export class ShardTickets {
  readonly waits: WaitEstimator;
  readonly #options: ShardTicketsOptions;
  readonly #refusals: PendingRefusals;
  readonly #admission: ShardAdmission;
  readonly #calls: TicketCalls;

  constructor(options: ShardTicketsOptions) {
    const { clock, queue, leaseManager } = options;
    this.#options = options;
    this.waits = WaitEstimator.create({
      ...options,
      ledger: leaseManager.ledger,
    });
    this.#refusals = PendingRefusals.create(clock);
    this.#admission = ShardAdmission.create({ ...options, waits: this.waits });
    this.#calls = TicketCalls.create({
      clock,
      queue,
      waits: this.waits,
      refusals: this.#refusals,
    });
  }

  static create(options: ShardTicketsOptions): ShardTickets {
    return new ShardTickets(options);
  }

  /** Answers a ticket's call, at the latest when its hold time ends. */
  acquire(call: AcquireCall, now: number): Promise<AcquireAnswer> {
    const { leaseManager, queue } = this.#options;
    const held = leaseManager.ledger.findByTicket(call.ticket);
    if (held !== undefined) {
      const lease = leaseManager.buildSlotLease(held);
      return Promise.resolve({ kind: "granted", lease });
    }
    if (leaseManager.ledger.isClosed(call.ticket, now)) {
      return Promise.resolve(this.#admission.buildClosedAnswer());
    }
    const refusal = this.#refusals.take(call.ticket);
    if (refusal !== undefined) return Promise.resolve(refusal);
    const known = queue.get(call.ticket);
    if (known === undefined) return this.#acquireNew(call, now);
    known.call = call;
    return this.#startCall(known, now);
  }

  /** Adds a ticket handed over by the previous owner. */
  addHandedOver(call: AcquireCall, now: number): void {
    const { leaseManager, factory, queue } = this.#options;
    const isKnown = queue.get(call.ticket) !== undefined ||
      leaseManager.ledger.findByTicket(call.ticket) !== undefined ||
      leaseManager.ledger.isClosed(call.ticket, now);
    if (isKnown) return;
    const waiter = factory.build(call, now);
    queue.add(waiter, now);
    this.#calls.addUnpolled(waiter, now);
  }

  /** Answers a waiter's call with its lease. */
  grant(waiter: Waiter, lease: SlotLease): void {
    this.#calls.grant(waiter, lease);
  }

  /** Removes a ticket whose caller disconnected, and releases its slot. */
  cancel(ticket: TicketId, now: number): void {
    const { leaseManager, queue } = this.#options;
    const waiter = queue.get(ticket);
    if (waiter !== undefined) {
      this.#calls.settle(waiter, this.#admission.buildClosedAnswer());
    }
    const lease = leaseManager.ledger.findByTicket(ticket);
    if (lease !== undefined) leaseManager.releaseTicket(lease, now);
    leaseManager.ledger.noteClosed(ticket, now);
  }

  /** Refuses waiters whose response would now be useless. */
  refuseExpired(now: number): void {
    for (const waiter of this.#options.queue.takeExpired(now)) {
      this.#calls.settle(waiter, this.#admission.buildLateAnswer(waiter));
    }
  }

  /**
   * Refuses waiters that no upstream has been able to serve for
   * `MAX_UNSERVED_MS`: their model or the last upstream went out of service.
   */
  refuseUnserved(now: number): void {
    for (const waiter of [...this.#options.queue.list()]) {
      if (this.#admission.canServeNow(waiter, now)) {
        waiter.unservedSince = undefined;
        continue;
      }
      waiter.unservedSince ??= now;
      if (now - waiter.unservedSince < MAX_UNSERVED_MS) continue;
      const answer = this.#admission.buildNoUpstreamAnswer(waiter);
      this.#calls.settle(waiter, answer);
    }
  }

  /** Removes every waiter with the same final answer. */
  settleAll(answer: AcquireAnswer): void {
    for (const waiter of [...this.#options.queue.list()]) {
      this.#calls.settle(waiter, answer);
    }
  }

  /** Removes tickets whose next call did not arrive in time. */
  dropAbandoned(now: number): void {
    this.#calls.dropAbandoned(now);
  }

  /** Restarts the time to live of every ticket after a pause. */
  renewAll(now: number): void {
    this.#calls.renewAll(now);
  }

  /** Removes expired answers and entries of forwarded tickets. */
  dropOld(): void {
    this.#refusals.dropOld();
    this.#admission.dropOldForwards();
  }

  #acquireNew(call: AcquireCall, now: number): Promise<AcquireAnswer> {
    const { factory, queue } = this.#options;
    const waiter = factory.build(call, now);
    const refused = this.#admission.check(waiter, now);
    if (refused !== undefined) return Promise.resolve(refused);
    const displaced = this.#admission.findDisplaced(waiter);
    if (displaced !== undefined) {
      const answer = this.#admission.buildQueueFullAnswer(displaced);
      this.#calls.settle(displaced, answer);
    }
    queue.add(waiter, now);
    const answer = this.#startCall(waiter, now);
    this.#dropVictims();
    return answer;
  }

  #startCall(waiter: Waiter, now: number): Promise<AcquireAnswer> {
    const answer = this.#calls.wait(waiter, now);
    this.#options.onWaiting(now);
    return answer;
  }

  #dropVictims(): void {
    let victim = this.#admission.findVictim();
    while (victim !== undefined) {
      this.#calls.settle(victim, this.#admission.buildShedAnswer(victim));
      victim = this.#admission.findVictim();
    }
  }
}
