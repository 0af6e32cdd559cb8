/**
 * What the owners of shards let this VM know of them.
 *
 * @module
 */
import type { ShardId, VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import type { ShardSummary } from "./peer_api.ts";

/** A summary that was not replaced for so long says nothing any more. */
const SUMMARY_LIFE_MS = 10_000;

interface Heard {
  summary: ShardSummary;
  at: number;
}

/** The last summary of each shard, by each VM that acts as its owner. */
export class ShardSummaries {
  readonly #clock: Clock;
  readonly #heard = new Map<ShardId, Map<VmId, Heard>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ShardSummaries {
    return new ShardSummaries(clock);
  }

  /** Takes in `summary`; returns whether it was news. */
  put(summary: ShardSummary): boolean {
    const byOwner = this.#heard.get(summary.shard) ?? new Map<VmId, Heard>();
    const known = byOwner.get(summary.owner);
    // An owner that restarted counts anew: without its incarnation its
    // summaries would be taken for old ones until the known one has lived out
    // its time, and callers would go to a shard by figures of a dead process.
    const isOld = known !== undefined && this.#isLive(known) &&
      summary.incarnation === known.summary.incarnation &&
      summary.sequence <= known.summary.sequence;
    if (isOld) return false;
    byOwner.set(summary.owner, { summary, at: this.#clock.now() });
    this.#heard.set(summary.shard, byOwner);
    return true;
  }

  /** The latest summary of `shard`, while it is not too old. */
  find(shard: ShardId): ShardSummary | undefined {
    let latest: Heard | undefined;
    for (const heard of this.#heard.get(shard)?.values() ?? []) {
      if (!this.#isLive(heard)) continue;
      if (latest === undefined || heard.at > latest.at) latest = heard;
    }
    return latest?.summary;
  }

  /** The latest summary of each shard that is not too old. */
  list(): ShardSummary[] {
    const shards = [...this.#heard.keys()];
    return shards.flatMap((shard) => this.find(shard) ?? []);
  }

  /** Forgets what is too old. */
  removeOld(): void {
    for (const [shard, byOwner] of this.#heard) {
      for (const [owner, heard] of byOwner) {
        if (!this.#isLive(heard)) byOwner.delete(owner);
      }
      if (byOwner.size === 0) this.#heard.delete(shard);
    }
  }

  #isLive(heard: Heard): boolean {
    return this.#clock.now() - heard.at < SUMMARY_LIFE_MS;
  }
}
