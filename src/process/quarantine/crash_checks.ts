/**
 * Checks whether replicas have crashed, once for all requests that were cut off
 * at the same time.
 *
 * @module
 */
import { type Incarnation, toId, type VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** How long the result of a check is reused. */
const CHECK_TTL_MS = 50;
/** A replica that ends may accept connections for a part of this time. */
const RECHECK_MS = 250;
/** A replica takes longer than this to restart. */
const MIN_RESTART_MS = 1_000;

/** Options of `CrashChecks`. */
export interface CrashChecksOptions {
  clock: Clock;
  /**
   * Whether a replica whose connection was lost has crashed: a live one resets
   * connections too, when it has too many or fails part of its requests.
   */
  hasCrashed: (replica: VmId) => Promise<boolean>;
}

/** The checks of one VM. */
export class CrashChecks {
  readonly #options: CrashChecksOptions;
  readonly #checks = new Map<Incarnation, Promise<boolean>>();
  readonly #rechecks = new Map<Incarnation, Promise<boolean>>();

  constructor(options: CrashChecksOptions) {
    this.#options = options;
  }

  static create(options: CrashChecksOptions): CrashChecks {
    return new CrashChecks(options);
  }

  /** Whether the replica has crashed; never rejects. */
  check(id: VmId, replica: Incarnation): Promise<boolean> {
    const { clock, hasCrashed } = this.#options;
    const known = this.#checks.get(replica);
    if (known !== undefined) return known;
    const check = hasCrashed(id);
    this.#checks.set(replica, check);
    clock.startTimer(CHECK_TTL_MS, () => this.#checks.delete(replica));
    return check;
  }

  /**
   * Checks once more a replica that was found up when its connection was lost;
   * never rejects.
   */
  checkAgain(id: VmId, replica: Incarnation): Promise<boolean> {
    const known = this.#rechecks.get(replica);
    if (known !== undefined) return known;
    const recheck = this.#checkLater(id, replica);
    this.#rechecks.set(replica, recheck);
    return recheck;
  }

  async #checkLater(id: VmId, replica: Incarnation): Promise<boolean> {
    await this.#options.clock.sleep(RECHECK_MS);
    this.#rechecks.delete(replica);
    return await this.check(id, replica);
  }

  /**
   * Incarnation of a replica that reports none: if it crashes again, it has
   * restarted in between.
   */
  buildIncarnation(id: VmId): Incarnation {
    const generation = Math.floor(this.#options.clock.now() / MIN_RESTART_MS);
    return toId<Incarnation>(`${id}@${generation}`);
  }
}
