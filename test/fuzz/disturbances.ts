/**
 * What is wrong with the fleet at present, and since when nothing has been.
 *
 * @module
 */
import type { Clock } from "../../src/process/clock.ts";

/** Kinds of trouble that a command can make. */
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

/** Notes when the last trouble of each kind was made or ended. */
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

  /** Trouble begins. */
  add(kind: Disturbance): void {
    this.#active.set(kind, (this.#active.get(kind) ?? 0) + 1);
    this.note(kind);
  }

  /** Trouble ends. */
  remove(kind: Disturbance): void {
    this.#active.set(kind, Math.max(0, (this.#active.get(kind) ?? 0) - 1));
    this.note(kind);
  }

  /** Trouble of a moment. */
  note(kind: Disturbance): void {
    this.#lastAt.set(kind, this.#clock.now());
  }

  clear(): void {
    for (const kind of this.#active.keys()) this.note(kind);
    this.#active.clear();
  }

  /** Since when there has been no trouble of `kinds`; Infinity while any. */
  getCalmSince(kinds: readonly Disturbance[]): number {
    let since = 0;
    for (const kind of kinds) {
      if ((this.#active.get(kind) ?? 0) > 0) return Infinity;
      since = Math.max(since, this.#lastAt.get(kind) ?? 0);
    }
    return since;
  }
}
