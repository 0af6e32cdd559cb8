/**
 * This VM's own share of a workspace's rate, for when no owner answers.
 *
 * @module
 */
import type { Workspace } from "../../version/records.ts";
import type { Clock } from "../clock.ts";
import {
  computeLimitRate,
  type LimitAmount,
  LimitBucket,
} from "./limit_bucket.ts";
import { buildShareRefusal } from "./limit_refusals.ts";

/** Options of `LocalLimit`. */
export interface LocalLimitOptions {
  clock: Clock;
  countEntryVms: () => number;
}

/** One VM's share of one workspace's rate. */
export class LocalLimit {
  readonly #options: LocalLimitOptions;
  #bucket: LimitBucket | undefined;
  #debtUntil = -Infinity;

  constructor(options: LocalLimitOptions) {
    this.#options = options;
  }

  static create(options: LocalLimitOptions): LocalLimit {
    return new LocalLimit(options);
  }

  /** Takes `amount`, or throws `RefusalError` where the share is used up. */
  take(workspace: Workspace, amount: LimitAmount): void {
    const { clock, countEntryVms } = this.#options;
    const now = clock.now();
    const rate = computeLimitRate(workspace, 1 / Math.max(1, countEntryVms()));
    this.#bucket ??= LimitBucket.create(now);
    this.#bucket.update(now, rate);
    const waitMs = this.#bucket.computeWaitMs(amount, rate);
    if (waitMs > 0) throw buildShareRefusal(workspace, waitMs);
    this.#bucket.take(amount);
    this.#debtUntil = now + this.#bucket.computeWaitMs(amount, rate);
  }

  /** Whether a new bucket would allow more than this one does. */
  isInDebt(): boolean {
    return this.#options.clock.now() < this.#debtUntil;
  }
}
