/**
 * Retries as a share of first tries over a sliding window.
 *
 * Without a bound, a fault that fails every try multiplies the load on the
 * upstreams that are left, seen as an overload that outlasts its cause. Each VM
 * keeps its own count: when every VM's retries stay under its share of its own
 * first tries, the fleet's stay under the same share of the fleet's first
 * tries, with no message between VMs.
 *
 * @module
 */
import type { PoolName } from "../ids.ts";
import type { Clock } from "./clock.ts";
import { RetryBudget } from "./services.ts";

const WINDOW_MS = 10_000;
const BUCKETS = 10;
const BUCKET_MS = WINDOW_MS / BUCKETS;
/** Retries in a window that need no first tries, for a VM with few calls. */
const DEFAULT_RESERVE = 2;

interface Bucket {
  /** Which span of `BUCKET_MS` the counts are of. */
  span: number;
  firstTries: number;
  retries: number;
}

/** What a retry budget is made of. */
export interface RetryBudgetOptions {
  clock: Clock;
  /** Retries allowed as a share of first tries. */
  getShare: () => number;
  /** Retries of a pool in a window that need no first tries; 2 by default. */
  getReserve?: () => number;
}

/** The retry budget of one VM, each pool's by itself. */
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
    this.#getBucket(pool).firstTries++;
  }

  hasRetry(pool: PoolName): boolean {
    const { getShare, getReserve } = this.#options;
    this.#getBucket(pool);
    const buckets = this.#pools.get(pool)!;
    const firstTries = addAll(buckets.map((each) => each.firstTries));
    const retries = addAll(buckets.map((each) => each.retries));
    const reserve = getReserve?.() ?? DEFAULT_RESERVE;
    return retries + 1 <= getShare() * firstTries + reserve;
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
    const bucket = { span, firstTries: 0, retries: 0 };
    buckets.push(bucket);
    return bucket;
  }
}

function addAll(counts: number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
