/**
 * The calls of waiting tickets: held for a while, answered, called again.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { AcquireAnswer, SlotLease } from "../peer_api.ts";
import type { WaitEstimator } from "./wait_estimator.ts";
import type { PendingRefusals } from "./pending_refusals.ts";
import type { Waiter } from "./waiter.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** How long a ticket may stay away between two calls, in milliseconds. */
const TICKET_TTL_MS = 2_000;

/** What the calls need of their owner. */
export interface TicketCallsOptions {
  clock: Clock;
  queue: WaitingQueue<Waiter>;
  waits: WaitEstimator;
  verdicts: PendingRefusals;
}

/** Answers the calls of one shard's tickets. */
export class TicketCalls {
  readonly #options: TicketCallsOptions;
  /** Tickets between two calls. */
  readonly #uncalled = new Set<Waiter>();

  constructor(options: TicketCallsOptions) {
    this.#options = options;
  }

  static create(options: TicketCallsOptions): TicketCalls {
    return new TicketCalls(options);
  }

  /** Holds the waiter's latest call until it is answered or time is up. */
  wait(waiter: Waiter, now: number): Promise<AcquireAnswer> {
    // A repeated call answers the one before it: its sender has given it up.
    waiter.answer?.(this.#buildQueued(waiter));
    const holdMs = Math.max(0, waiter.call.holdMs);
    this.#uncalled.delete(waiter);
    return new Promise((resolve) => {
      const cancel = this.#options.clock.startTimer(holdMs, () => {
        waiter.answer?.(this.#buildQueued(waiter));
      });
      waiter.answer = (answer) => {
        cancel();
        waiter.answer = undefined;
        if (answer.kind === "queued") {
          this.addUncalled(waiter, this.#options.clock.now());
        }
        resolve(answer);
      };
      waiter.renewBy = now + holdMs + TICKET_TTL_MS;
    });
  }

  /** Notes that the waiter's next call is still to come. */
  addUncalled(waiter: Waiter, now: number): void {
    waiter.renewBy = now + TICKET_TTL_MS;
    this.#uncalled.add(waiter);
  }

  /** Tells a waiter that it has a slot; between calls the next one tells. */
  grant(waiter: Waiter, lease: SlotLease): void {
    this.#uncalled.delete(waiter);
    waiter.answer?.({ kind: "granted", lease });
  }

  /** Takes a waiter out with its last answer, now or at its next call. */
  settle(waiter: Waiter, answer: AcquireAnswer): void {
    this.#drop(waiter);
    if (waiter.answer !== undefined) waiter.answer(answer);
    else this.#options.verdicts.put(waiter.ticket, answer);
  }

  /**
   * Takes out tickets whose calls no longer come. Their VM is gone, and a slot
   * granted to them would stay unused until its lease ran out.
   */
  dropGone(now: number): void {
    for (const waiter of this.#uncalled) {
      if (waiter.renewBy <= now) this.#drop(waiter);
    }
  }

  /** Gives every ticket its whole time anew, after a pause. */
  renewAll(now: number): void {
    for (const waiter of this.#uncalled) {
      waiter.renewBy = now + TICKET_TTL_MS;
    }
  }

  #drop(waiter: Waiter): void {
    this.#options.queue.remove(waiter, this.#options.clock.now());
    this.#uncalled.delete(waiter);
  }

  #buildQueued(waiter: Waiter): AcquireAnswer {
    return { kind: "queued", ...this.#options.waits.buildPlace(waiter) };
  }
}
