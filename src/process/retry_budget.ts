/**
 * Limits retries to a share of first attempts within a sliding window.
 *
 * Without a limit, a fault that fails every attempt multiplies the load on the
 * remaining upstreams, and the overload outlasts its cause. Each VM counts on
 * its own: if every VM keeps its retries under a share of its own first
 * attempts, the fleet keeps them under the same share without messages between
 * VMs.
 *
 * @module
 */
import type { PoolName } from "../ids.ts";
import type { Clock } from "./clock.ts";
import { RetryBudget } from "./services.ts";

const WINDOW_MS = 10_000;
const BUCKETS = 10;
const BUCKET_MS = WINDOW_MS / BUCKETS;
/** Retries per window regardless of first attempts, for VMs with few calls. */
const DEFAULT_RESERVE = 2;

interface Bucket {
  /** The number of the `BUCKET_MS` interval that the counts belong to. */
  span: number;
  firstAttempts: number;
  retries: number;
}

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  clock: Clock;
  /** Allowed retries, as a share of first attempts. */
  getShare: () => number;
  /** Retries per pool and window regardless of first attempts; default 2. */
  getReserve?: () => number;
}

/** The retry budget of one VM, separate for each pool. */
export class WindowRetryBudget extends RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #pools = new Map<PoolName, Bucket[]>();

  constructor(options: RetryBudgetOptions) {
    super();
    this.#options = options;
  }

  static create(options: RetryBudgetOptions): WindowRetryBudget {
    return new WindowRetryBudget(options);
  }

  noteFirstAttempt(pool: PoolName): void {
    this.#getBucket(pool).firstAttempts++;
  }

  hasRetry(pool: PoolName): boolean {
    const { getShare, getReserve } = this.#options;
    this.#getBucket(pool);
    const buckets = this.#pools.get(pool)!;
    const firstAttempts = addAll(buckets.map((each) => each.firstAttempts));
    const retries = addAll(buckets.map((each) => each.retries));
    const reserve = getReserve?.() ?? DEFAULT_RESERVE;
    return retries + 1 <= getShare() * firstAttempts + reserve;
  }

  takeRetry(pool: PoolName): boolean {
    if (!this.hasRetry(pool)) return false;
    this.#getBucket(pool).retries++;
    return true;
  }

  #getBucket(pool: PoolName): Bucket {
    const span = Math.floor(this.#options.clock.now() / BUCKET_MS);
    const buckets = this.#pools.get(pool) ?? [];
    this.#pools.set(pool, buckets);
    while (buckets.length > 0 && buckets[0]!.span <= span - BUCKETS) {
      buckets.shift();
    }
    const latest = buckets.at(-1);
    if (latest?.span === span) return latest;
    const bucket = { span, firstAttempts: 0, retries: 0 };
    buckets.push(bucket);
    return bucket;
  }
}

function addAll(counts: number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
