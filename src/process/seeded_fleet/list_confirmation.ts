/**
 * When the list of this VM was last known to be the newest.
 *
 * Only an answer of the store shows that. VMs pass on who got the answer and
 * when, by that process's clock, and not how old it is: an age would leave out
 * the time that each message takes, and while VMs read their sockets late, all
 * of them would go on confirming an old list to each other.
 *
 * @module
 */
import type { Incarnation } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { ClockOffsets } from "./clock_offsets.ts";
import type { Confirmation, FleetHeartbeat } from "./fleet_message.ts";

/** The newest confirmation that a VM got, from the store or another VM. */
export class ListConfirmation {
  readonly #process: Incarnation;
  readonly #clock: Clock;
  readonly #offsets: ClockOffsets;
  #confirmation: Confirmation | undefined;
  #confirmedAt = -Infinity;
  #answeredAt = -Infinity;

  constructor(process: Incarnation, clock: Clock) {
    this.#process = process;
    this.#clock = clock;
    this.#offsets = ClockOffsets.create(clock);
  }

  /** `process` is this one. */
  static create(process: Incarnation, clock: Clock): ListConfirmation {
    return new ListConfirmation(process, clock);
  }

  /** The confirmation to pass on to other VMs; undefined if there is none. */
  get current(): Confirmation | undefined {
    return this.#confirmation;
  }

  /** `Clock.now()` of the confirmation; -Infinity if there is none. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /**
   * `Clock.now()` at which the store last answered any VM that this one has heard
   * of, with this list or another; -Infinity if there was no answer.
   */
  get answeredAt(): number {
    return this.#answeredAt;
  }

  /** Records that the store answers now, with whatever it has. */
  noteAnswered(): void {
    this.#answeredAt = this.#clock.now();
  }

  /**
   * Records that an answer of the store has the list of this VM, and a time
   * (`Clock.now()`) at which it was the newest.
   */
  noteStore(newestAt: number): void {
    const confirmedAt = Math.min(newestAt, this.#clock.now());
    this.#answeredAt = Math.max(this.#answeredAt, confirmedAt);
    if (confirmedAt <= this.#confirmedAt) return;
    this.#confirmedAt = confirmedAt;
    this.#confirmation = [this.#process, Math.floor(confirmedAt)];
  }

  /** Records a heartbeat of a VM; `isSameList` if it has the list of this VM. */
  noteHeartbeat(
    { incarnation, sentAt, confirmed }: FleetHeartbeat,
    isSameList: boolean,
  ): void {
    if (sentAt === undefined) return;
    this.#offsets.noteMessage(incarnation, sentAt);
    if (confirmed === undefined) return;
    const [process, at] = confirmed;
    if (process === this.#process) return;
    const confirmedAt = this.#offsets.computeLocalTime(process, at);
    if (confirmedAt === undefined) return;
    this.#answeredAt = Math.max(this.#answeredAt, confirmedAt);
    if (!isSameList || confirmedAt <= this.#confirmedAt) return;
    this.#confirmedAt = confirmedAt;
    this.#confirmation = confirmed;
  }
}
