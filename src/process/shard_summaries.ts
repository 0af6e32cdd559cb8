/**
 * Shard summaries received from the shards' owners.
 *
 * @module
 */
import type { ShardId, VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import type { ShardSummary } from "./peer_api.ts";

/** A summary that was not replaced within this time is ignored. */
const SUMMARY_TTL_MS = 10_000;

interface ReceivedSummary {
  summary: ShardSummary;
  /** `Clock.now()` when the summary was received. */
  at: number;
}

/** The last summary of each shard from each VM that acts as its owner. */
export class ShardSummaries {
  readonly #clock: Clock;
  readonly #received = new Map<ShardId, Map<VmId, ReceivedSummary>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ShardSummaries {
    return new ShardSummaries(clock);
  }

  /** Stores `summary`; returns whether it was new. */
  put(summary: ShardSummary): boolean {
    const byOwner = this.#received.get(summary.shard) ??
      new Map<VmId, ReceivedSummary>();
    const known = byOwner.get(summary.owner);
    // A restarted owner starts a new sequence. Without the incarnation its
    // summaries would count as outdated until the stored one expires, and
    // requests would be sent to the shard by the numbers of a dead process.
    const isOutdated = known !== undefined && this.#isLive(known) &&
      summary.incarnation === known.summary.incarnation &&
      summary.sequence <= known.summary.sequence;
    if (isOutdated) return false;
    byOwner.set(summary.owner, { summary, at: this.#clock.now() });
    this.#received.set(summary.shard, byOwner);
    return true;
  }

  /** The latest summary of `shard` that has not expired. */
  find(shard: ShardId): ShardSummary | undefined {
    let latest: ReceivedSummary | undefined;
    for (const entry of this.#received.get(shard)?.values() ?? []) {
      if (!this.#isLive(entry)) continue;
      if (latest === undefined || entry.at > latest.at) latest = entry;
    }
    return latest?.summary;
  }

  /** The latest summary of each shard that has not expired. */
  list(): ShardSummary[] {
    const shards = [...this.#received.keys()];
    return shards.flatMap((shard) => this.find(shard) ?? []);
  }

  /** Removes expired summaries. */
  removeExpired(): void {
    for (const [shard, byOwner] of this.#received) {
      for (const [owner, entry] of byOwner) {
        if (!this.#isLive(entry)) byOwner.delete(owner);
      }
      if (byOwner.size === 0) this.#received.delete(shard);
    }
  }

  #isLive(entry: ReceivedSummary): boolean {
    return this.#clock.now() - entry.at < SUMMARY_TTL_MS;
  }
}
