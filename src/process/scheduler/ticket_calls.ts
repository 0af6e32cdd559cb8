/**
 * Long polling of waiting tickets: each call is held until it is answered or
 * its hold time ends, and then repeated by the caller.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { AcquireAnswer, SlotLease } from "../peer_api.ts";
import type { WaitEstimator } from "./wait_estimator.ts";
import type { PendingRefusals } from "./pending_refusals.ts";
import type { Waiter } from "./waiter.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** Maximum time between two calls of a ticket, in milliseconds. */
const TICKET_TTL_MS = 2_000;

/** Options of `TicketCalls`. */
export interface TicketCallsOptions {
  clock: Clock;
  queue: WaitingQueue<Waiter>;
  waits: WaitEstimator;
  refusals: PendingRefusals;
}

/** Holds and answers the calls of one shard's tickets. */
export class TicketCalls {
  readonly #options: TicketCallsOptions;
  /** Waiters that have no call held at present. */
  readonly #unpolled = new Set<Waiter>();

  constructor(options: TicketCallsOptions) {
    this.#options = options;
  }

  static create(options: TicketCallsOptions): TicketCalls {
    return new TicketCalls(options);
  }

  /**
   * Holds the waiter's latest call until it is answered or its hold time ends.
   */
  wait(waiter: Waiter, now: number): Promise<AcquireAnswer> {
    // A new call completes the previous one, which its sender has abandoned.
    waiter.answer?.(this.#buildQueued(waiter));
    const holdMs = Math.max(0, waiter.call.holdMs);
    this.#unpolled.delete(waiter);
    return new Promise((resolve) => {
      const cancel = this.#options.clock.startTimer(holdMs, () => {
        waiter.answer?.(this.#buildQueued(waiter));
      });
      waiter.answer = (answer) => {
        cancel();
        waiter.answer = undefined;
        if (answer.kind === "queued") {
          this.addUnpolled(waiter, this.#options.clock.now());
        }
        resolve(answer);
      };
      waiter.renewBy = now + holdMs + TICKET_TTL_MS;
    });
  }

  /** Adds a waiter whose next call has not arrived yet. */
  addUnpolled(waiter: Waiter, now: number): void {
    waiter.renewBy = now + TICKET_TTL_MS;
    this.#unpolled.add(waiter);
  }

  /**
   * Answers the waiter's held call with its lease. If no call is held, the next
   * one finds the lease in the ledger.
   */
  grant(waiter: Waiter, lease: SlotLease): void {
    this.#unpolled.delete(waiter);
    waiter.answer?.({ kind: "granted", lease });
  }

  /** Removes a waiter and sends its final answer now or at its next call. */
  settle(waiter: Waiter, answer: AcquireAnswer): void {
    this.#drop(waiter);
    if (waiter.answer !== undefined) waiter.answer(answer);
    else this.#options.refusals.put(waiter.ticket, answer);
  }

  /**
   * Removes tickets whose next call did not arrive in time. Their VM has
   * probably failed, and a slot granted to them would stay unused until its
   * lease expires.
   */
  dropAbandoned(now: number): void {
    for (const waiter of this.#unpolled) {
      if (waiter.renewBy <= now) this.#drop(waiter);
    }
  }

  /** Restarts the time to live of every ticket after a pause. */
  renewAll(now: number): void {
    for (const waiter of this.#unpolled) {
      waiter.renewBy = now + TICKET_TTL_MS;
    }
  }

  #drop(waiter: Waiter): void {
    this.#options.queue.remove(waiter, this.#options.clock.now());
    this.#unpolled.delete(waiter);
  }

  #buildQueued(waiter: Waiter): AcquireAnswer {
    return {
      kind: "queued",
      ...this.#options.waits.buildQueuePosition(waiter),
    };
  }
}
