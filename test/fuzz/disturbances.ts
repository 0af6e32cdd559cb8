/**
 * The current disturbances of the fleet, and since when there has been none.
 *
 * @module
 */
import type { Clock } from "../../src/process/clock.ts";

/** Kinds of disturbances that a command can cause. */
export type Disturbance =
  | "link"
  | "loss"
  | "paused"
  | "killed"
  | "drain"
  | "service"
  | "list"
  | "version"
  | "upstream";

/** Records when the last disturbance of each kind began or ended. */
export class Disturbances {
  readonly #clock: Clock;
  readonly #active = new Map<Disturbance, number>();
  readonly #lastAt = new Map<Disturbance, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): Disturbances {
    return new Disturbances(clock);
  }

  /** Notes the begin of a disturbance. */
  add(kind: Disturbance): void {
    this.#active.set(kind, (this.#active.get(kind) ?? 0) + 1);
    this.note(kind);
  }

  /** Notes the end of a disturbance. */
  remove(kind: Disturbance): void {
    this.#active.set(kind, Math.max(0, (this.#active.get(kind) ?? 0) - 1));
    this.note(kind);
  }

  /** Notes a momentary disturbance. */
  note(kind: Disturbance): void {
    this.#lastAt.set(kind, this.#clock.now());
  }

  clear(): void {
    for (const kind of this.#active.keys()) this.note(kind);
    this.#active.clear();
  }

  /** Since when no disturbance of `kinds` was active; Infinity during one. */
  getUndisturbedSince(kinds: readonly Disturbance[]): number {
    let since = 0;
    for (const kind of kinds) {
      if ((this.#active.get(kind) ?? 0) > 0) return Infinity;
      since = Math.max(since, this.#lastAt.get(kind) ?? 0);
    }
    return since;
  }
}
