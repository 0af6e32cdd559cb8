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
import type { Clock } from "./clock.ts";
import { RetryBudget } from "./services.ts";

const WINDOW_MS = 10_000;
const BUCKETS = 10;
const BUCKET_MS = WINDOW_MS / BUCKETS;
/** Retries in a window that need no first tries, for a VM with few calls. */
const RESERVE = 2;

interface Bucket {
  /** Which span of `BUCKET_MS` the counts are of. */
  span: number;
  firstTries: number;
  retries: number;
}

/** The retry budget of one VM. */
export class WindowRetryBudget extends RetryBudget {
  readonly #clock: Clock;
  readonly #getShare: () => number;
  readonly #buckets: Bucket[] = [];

  constructor(clock: Clock, getShare: () => number) {
    super();
    this.#clock = clock;
    this.#getShare = getShare;
  }

  /** `getShare` gives the policy's `retryShare` in force. */
  static create(
    options: { clock: Clock; getShare: () => number },
  ): WindowRetryBudget {
    return new WindowRetryBudget(options.clock, options.getShare);
  }

  noteFirstTry(): void {
    this.#getBucket().firstTries++;
  }

  takeRetry(): boolean {
    const bucket = this.#getBucket();
    const firstTries = addAll(this.#buckets.map((each) => each.firstTries));
    const retries = addAll(this.#buckets.map((each) => each.retries));
    const allowed = this.#getShare() * firstTries + RESERVE;
    if (retries + 1 > allowed) return false;
    bucket.retries++;
    return true;
  }

  #getBucket(): Bucket {
    const span = Math.floor(this.#clock.now() / BUCKET_MS);
    while (
      this.#buckets.length > 0 && this.#buckets[0]!.span <= span - BUCKETS
    ) {
      this.#buckets.shift();
    }
    const latest = this.#buckets.at(-1);
    if (latest?.span === span) return latest;
    const bucket = { span, firstTries: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}

function addAll(counts: number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
