/**
 * Chunks of one workspace's limit that this VM may use.
 *
 * @module
 */
import type { LimitAmount } from "./limit_bucket.ts";

/** A chunk, with its end on this VM's clock. */
interface Chunk extends LimitAmount {
  expiresAt: number;
}

/** Chunks in the order in which they expire. */
export class ChunkStore {
  #chunks: Chunk[] = [];

  static create(): ChunkStore {
    return new ChunkStore();
  }

  add(amount: LimitAmount, expiresAt: number): void {
    this.#chunks.push({ ...amount, expiresAt });
    this.#chunks.sort((left, right) => left.expiresAt - right.expiresAt);
  }

  /** Amount left at `now`; drops expired chunks. */
  countLeft(now: number): LimitAmount {
    this.#chunks = this.#chunks.filter((chunk) => chunk.expiresAt > now);
    let requests = 0;
    let tokens = 0;
    for (const chunk of this.#chunks) {
      requests += chunk.requests;
      tokens += chunk.tokens;
    }
    return { requests, tokens };
  }

  /** Takes all of `amount`, or takes nothing and returns false. */
  take(amount: LimitAmount, now: number): boolean {
    const left = this.countLeft(now);
    if (left.requests < amount.requests) return false;
    if (left.tokens < amount.tokens) return false;
    let { requests, tokens } = amount;
    for (const chunk of this.#chunks) {
      const takenRequests = Math.min(chunk.requests, requests);
      const takenTokens = Math.min(chunk.tokens, tokens);
      chunk.requests -= takenRequests;
      chunk.tokens -= takenTokens;
      requests -= takenRequests;
      tokens -= takenTokens;
    }
    return true;
  }
}
