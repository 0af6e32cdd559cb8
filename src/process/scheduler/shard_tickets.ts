/**
 * The tickets of one shard: let in, answered, refused, withdrawn.
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

/** How long a waiter that no upstream serves is kept, in milliseconds. */
const UNSERVED_MS = 3_000;

/** What the tickets of a shard stand in. */
export interface ShardTicketsOptions {
  clock: Clock;
  queue: WaitingQueue<Waiter>;
  replicas: ReplicaSet;
  accounts: LeaseManager;
  factory: WaiterFactory;
  features: SchedulerFeatures;
  getSnapshot: () => Snapshot | undefined;
  listOthers: () => ShardSummary[];
  queueBound: number | undefined;
  /** Hears that a ticket's call is held, so that slots may be granted. */
  onWaiting: (now: number) => void;
}

/** Every ticket that the shard's owner knows of. */
export class ShardTickets {
  /** How long the waiting tickets will wait. */
  readonly waits: WaitEstimator;
  readonly #options: ShardTicketsOptions;
  readonly #verdicts: PendingRefusals;
  readonly #admission: ShardAdmission;
  readonly #calls: TicketCalls;

  constructor(options: ShardTicketsOptions) {
    const { clock, queue, accounts } = options;
    this.#options = options;
    this.waits = WaitEstimator.create({ ...options, ledger: accounts.ledger });
    this.#verdicts = PendingRefusals.create(clock);
    this.#admission = ShardAdmission.create({ ...options, waits: this.waits });
    this.#calls = TicketCalls.create({
      clock,
      queue,
      waits: this.waits,
      verdicts: this.#verdicts,
    });
  }

  static create(options: ShardTicketsOptions): ShardTickets {
    return new ShardTickets(options);
  }

  /** Answers a ticket's call, at once or when its hold is over. */
  acquire(call: AcquireCall, now: number): Promise<AcquireAnswer> {
    const { accounts, queue } = this.#options;
    const held = accounts.ledger.findByTicket(call.ticket);
    if (held !== undefined) {
      const lease = accounts.buildSlotLease(held);
      return Promise.resolve({ kind: "granted", lease });
    }
    if (accounts.ledger.isClosed(call.ticket, now)) {
      return Promise.resolve(this.#admission.buildClosedAnswer());
    }
    const verdict = this.#verdicts.take(call.ticket);
    if (verdict !== undefined) return Promise.resolve(verdict);
    const known = queue.get(call.ticket);
    if (known === undefined) return this.#acquireNew(call, now);
    known.call = call;
    return this.#startCall(known, now);
  }

  /** Adds a ticket that waited at the previous owner. */
  addHandedOver(call: AcquireCall, now: number): void {
    const { accounts, factory, queue } = this.#options;
    const isKnown = queue.get(call.ticket) !== undefined ||
      accounts.ledger.findByTicket(call.ticket) !== undefined ||
      accounts.ledger.isClosed(call.ticket, now);
    if (isKnown) return;
    const waiter = factory.build(call, now);
    queue.add(waiter, now);
    this.#calls.addUncalled(waiter, now);
  }

  /** Tells a waiter that it has a slot. */
  grant(waiter: Waiter, lease: SlotLease): void {
    this.#calls.grant(waiter, lease);
  }

  /** Takes a ticket out whose caller went away, with the slot that it has. */
  cancel(ticket: TicketId, now: number): void {
    const { accounts, queue } = this.#options;
    const waiter = queue.get(ticket);
    if (waiter !== undefined) {
      this.#calls.settle(waiter, this.#admission.buildClosedAnswer());
    }
    const lease = accounts.ledger.findByTicket(ticket);
    if (lease !== undefined) accounts.releaseTicket(lease, now);
    accounts.ledger.noteClosed(ticket, now);
  }

  /** Refuses the waiters whose answer would now be useless. */
  refuseHopeless(now: number): void {
    for (const waiter of this.#options.queue.takeExpired(now)) {
      this.#calls.settle(waiter, this.#admission.buildLateAnswer(waiter));
    }
  }

  /** Refuses waiters whose model or last upstream went out of service. */
  refuseUnserved(now: number): void {
    for (const waiter of [...this.#options.queue.list()]) {
      if (this.#admission.hasServingNow(waiter, now)) {
        waiter.unservedSince = undefined;
        continue;
      }
      waiter.unservedSince ??= now;
      if (now - waiter.unservedSince < UNSERVED_MS) continue;
      const answer = this.#admission.buildUnservedAnswer(waiter);
      this.#calls.settle(waiter, answer);
    }
  }

  /** Gives every waiter the same last answer. */
  settleAll(answer: AcquireAnswer): void {
    for (const waiter of [...this.#options.queue.list()]) {
      this.#calls.settle(waiter, answer);
    }
  }

  /** Takes out tickets whose calls no longer come. */
  dropGone(now: number): void {
    this.#calls.dropGone(now);
  }

  /** Gives every ticket its whole time anew, after a pause. */
  renewAll(now: number): void {
    this.#calls.renewAll(now);
  }

  /** Forgets what is kept for tickets that left long ago. */
  dropOld(): void {
    this.#verdicts.dropOld();
    this.#admission.dropOldTickets();
  }

  #acquireNew(call: AcquireCall, now: number): Promise<AcquireAnswer> {
    const { factory, queue } = this.#options;
    const waiter = factory.build(call, now);
    const refused = this.#admission.check(waiter, now);
    if (refused !== undefined) return Promise.resolve(refused);
    const crowding = this.#admission.findCrowding(waiter);
    if (crowding !== undefined) {
      const answer = this.#admission.buildFullAnswer(crowding);
      this.#calls.settle(crowding, answer);
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
