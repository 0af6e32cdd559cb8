/**
 * Updates queued for the next probes.
 *
 * @module
 */
import type { MemberUpdate, ShardSummary } from "./peer_api.ts";

const MAX_UPDATES_PER_MESSAGE = 8;
/** Summaries are larger than updates, so fewer fit. */
const MAX_SUMMARIES_PER_MESSAGE = 6;

const RETRANSMIT_FACTOR = 3;
const MAX_QUEUED = 2_000;

interface QueuedItem<T> {
  item: T;
  sends: number;
}

/**
 * Items by key, each sent a number of times that grows with the logarithm of
 * the fleet size; items that were sent least go first. A newer item replaces
 * the older one of the same key, so the number of keys bounds the queue.
 */
class GossipQueue<T> {
  readonly #queue = new Map<string, QueuedItem<T>>();

  put(key: string, item: T): void {
    this.#queue.delete(key);
    this.#queue.set(key, { item, sends: 0 });
    if (this.#queue.size <= MAX_QUEUED) return;
    const oldest = this.#queue.keys().next().value;
    if (oldest !== undefined) this.#queue.delete(oldest);
  }

  take(count: number, maxSends: number): T[] {
    if (this.#queue.size === 0) return [];
    const entries = [...this.#queue].sort(([, left], [, right]) =>
      left.sends - right.sends
    );
    const chosen = entries.slice(0, count);
    for (const [key, queued] of chosen) {
      queued.sends += 1;
      if (queued.sends >= maxSends) this.#queue.delete(key);
    }
    return chosen.map(([, { item }]) => item);
  }

  clear(): void {
    this.#queue.clear();
  }
}

/** Gossip about members and shards. */
export class MemberGossip {
  readonly #members = new GossipQueue<MemberUpdate>();
  readonly #summaries = new GossipQueue<ShardSummary>();

  static create(): MemberGossip {
    return new MemberGossip();
  }

  putUpdate(update: MemberUpdate): void {
    this.#members.put(update.vm, update);
  }

  putSummary(summary: ShardSummary): void {
    this.#summaries.put(`${summary.shard} ${summary.owner}`, summary);
  }

  /** Updates for the next message, in a fleet of `memberCount` VMs. */
  take(
    memberCount: number,
  ): { members: MemberUpdate[]; summaries: ShardSummary[] } {
    const maxSends = RETRANSMIT_FACTOR * Math.ceil(Math.log2(memberCount + 1));
    return {
      members: this.#members.take(MAX_UPDATES_PER_MESSAGE, maxSends),
      summaries: this.#summaries.take(MAX_SUMMARIES_PER_MESSAGE, maxSends),
    };
  }

  /** Drops all queued items, which are outdated after a pause of this VM. */
  clear(): void {
    this.#members.clear();
    this.#summaries.clear();
  }
}
