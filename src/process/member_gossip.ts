/**
 * Changes that wait to be passed on with the next probes.
 *
 * @module
 */
import type { MemberUpdate, ShardSummary } from "./peer_api.ts";

/** Bounds on what one message carries. */
const MAX_NEWS_PER_MESSAGE = 8;
/** Summaries are larger than news, so fewer fit. */
const MAX_SUMMARIES_PER_MESSAGE = 6;

const SENDS_FACTOR = 3;
const MAX_WAITING = 2_000;

interface Waiting<T> {
  item: T;
  sends: number;
}

/**
 * Items by key, each sent a number of times that grows with the logarithm of
 * the fleet; the least sent go first. A newer item under a key replaces the
 * older one, so the queue is bounded by what there is to tell about.
 */
class GossipQueue<T> {
  readonly #waiting = new Map<string, Waiting<T>>();

  put(key: string, item: T): void {
    this.#waiting.delete(key);
    this.#waiting.set(key, { item, sends: 0 });
    if (this.#waiting.size <= MAX_WAITING) return;
    const oldest = this.#waiting.keys().next().value;
    if (oldest !== undefined) this.#waiting.delete(oldest);
  }

  take(count: number, maxSends: number): T[] {
    if (this.#waiting.size === 0) return [];
    const entries = [...this.#waiting].sort(([, left], [, right]) =>
      left.sends - right.sends
    );
    const chosen = entries.slice(0, count);
    for (const [key, waiting] of chosen) {
      waiting.sends += 1;
      if (waiting.sends >= maxSends) this.#waiting.delete(key);
    }
    return chosen.map(([, { item }]) => item);
  }

  clear(): void {
    this.#waiting.clear();
  }
}

/** What this VM passes on of members and of shards. */
export class MemberGossip {
  readonly #members = new GossipQueue<MemberUpdate>();
  readonly #summaries = new GossipQueue<ShardSummary>();

  static create(): MemberGossip {
    return new MemberGossip();
  }

  putNews(news: MemberUpdate): void {
    this.#members.put(news.vm, news);
  }

  putSummary(summary: ShardSummary): void {
    this.#summaries.put(`${summary.shard} ${summary.owner}`, summary);
  }

  /** The next message's share, for a fleet of `memberCount` VMs. */
  take(
    memberCount: number,
  ): { members: MemberUpdate[]; summaries: ShardSummary[] } {
    const maxSends = SENDS_FACTOR * Math.ceil(Math.log2(memberCount + 1));
    return {
      members: this.#members.take(MAX_NEWS_PER_MESSAGE, maxSends),
      summaries: this.#summaries.take(MAX_SUMMARIES_PER_MESSAGE, maxSends),
    };
  }

  /** Drops all that waits; what a paused VM knew is old. */
  clear(): void {
    this.#members.clear();
    this.#summaries.clear();
  }
}
