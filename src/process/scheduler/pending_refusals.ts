/**
 * Last answers to tickets that are between two calls.
 *
 * @module
 */
import type { TicketId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { AcquireAnswer } from "../peer_api.ts";

/** How long an answer is kept for its ticket's next call. */
const VERDICT_LIFE_MS = 10_000;

interface Verdict {
  answer: AcquireAnswer;
  until: number;
}

/** Keeps each answer until its ticket calls again. */
export class PendingRefusals {
  readonly #clock: Clock;
  readonly #verdicts = new Map<TicketId, Verdict>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PendingRefusals {
    return new PendingRefusals(clock);
  }

  /** Keeps the answer to a ticket whose next call has not come yet. */
  put(ticket: TicketId, answer: AcquireAnswer): void {
    const until = this.#clock.now() + VERDICT_LIFE_MS;
    this.#verdicts.set(ticket, { answer, until });
  }

  /** The answer that waits for the ticket, which is then forgotten. */
  take(ticket: TicketId): AcquireAnswer | undefined {
    const verdict = this.#verdicts.get(ticket);
    this.#verdicts.delete(ticket);
    return verdict?.answer;
  }

  /** Forgets the answers that nobody came for. */
  dropOld(): void {
    const now = this.#clock.now();
    for (const [ticket, verdict] of this.#verdicts) {
      if (verdict.until <= now) this.#verdicts.delete(ticket);
    }
  }
}
