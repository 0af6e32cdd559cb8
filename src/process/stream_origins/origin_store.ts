/**
 * The origins of streams that this VM began or was told of.
 *
 * @module
 */
import type { StreamKey } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { StreamOrigin } from "../stream_origin_source.ts";

/** Some 10 MB; the oldest are dropped, and count as unknown then. */
const MAX_ORIGINS = 50_000;

interface StoredOrigin {
  /** Undefined where streams with the same key began at different ones. */
  origin: StreamOrigin | undefined;
  /** `Clock.now()` at which it was last stored. */
  storedAt: number;
}

/** Options of `OriginStore`. */
export interface OriginStoreOptions {
  clock: Clock;
  /** Time for which a stream may be taken up, in milliseconds. */
  getRetentionMs: () => number;
}

/** Remembers origins for as long as their streams may be taken up. */
export class OriginStore {
  readonly #options: OriginStoreOptions;
  /** The oldest first. */
  readonly #origins = new Map<StreamKey, StoredOrigin>();

  constructor(options: OriginStoreOptions) {
    this.#options = options;
  }

  static create(options: OriginStoreOptions): OriginStore {
    return new OriginStore(options);
  }

  get size(): number {
    return this.#origins.size;
  }

  put(key: StreamKey, origin: StreamOrigin): void {
    this.#put(key, origin);
  }

  /** Stores an origin under a key that other streams may have as well. */
  putShared(key: StreamKey, origin: StreamOrigin): void {
    const known = this.#origins.get(key);
    const isSame = known === undefined ||
      known.origin?.pool === origin.pool &&
        known.origin.version === origin.version;
    this.#put(key, isSame ? origin : undefined);
  }

  /** Whether streams with this key began at different origins. */
  isAmbiguous(key: StreamKey): boolean {
    const known = this.#origins.get(key);
    return known !== undefined && known.origin === undefined;
  }

  find(key: StreamKey): StreamOrigin | undefined {
    return this.#origins.get(key)?.origin;
  }

  #put(key: StreamKey, origin: StreamOrigin | undefined): void {
    const now = this.#options.clock.now();
    this.#origins.delete(key);
    this.#origins.set(key, { origin, storedAt: now });
    const expiredBefore = now - this.#options.getRetentionMs();
    for (const [oldest, { storedAt }] of this.#origins) {
      const isOver = this.#origins.size > MAX_ORIGINS;
      if (!isOver && storedAt >= expiredBefore) return;
      this.#origins.delete(oldest);
    }
  }
}
