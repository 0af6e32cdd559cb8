/**
 * Final answers to tickets that have no call held at present.
 *
 * @module
 */
import type { TicketId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { AcquireAnswer } from "../peer_api.ts";

const REFUSAL_TTL_MS = 10_000;

interface PendingRefusal {
  answer: AcquireAnswer;
  expiresAt: number;
}

/** Keeps each final answer until the ticket's next call. */
export class PendingRefusals {
  readonly #clock: Clock;
  readonly #refusals = new Map<TicketId, PendingRefusal>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PendingRefusals {
    return new PendingRefusals(clock);
  }

  /** Stores the answer for the ticket's next call. */
  put(ticket: TicketId, answer: AcquireAnswer): void {
    const expiresAt = this.#clock.now() + REFUSAL_TTL_MS;
    this.#refusals.set(ticket, { answer, expiresAt });
  }

  /** Removes and returns the answer for the ticket. */
  take(ticket: TicketId): AcquireAnswer | undefined {
    const refusal = this.#refusals.get(ticket);
    this.#refusals.delete(ticket);
    return refusal?.answer;
  }

  /** Removes expired answers. */
  dropOld(): void {
    const now = this.#clock.now();
    for (const [ticket, refusal] of this.#refusals) {
      if (refusal.expiresAt <= now) this.#refusals.delete(ticket);
    }
  }
}
