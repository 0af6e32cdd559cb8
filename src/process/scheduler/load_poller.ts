/**
 * Polls of upstreams for their load and their cache events.
 *
 * @module
 */
import type { LoadReport } from "../../connection/upstream_transport.ts";
import type { VmId } from "../../ids.ts";
import type { Environment } from "../environment.ts";
import { withTimeout } from "../with_timeout.ts";
import type { ShardOwner } from "./shard_owner.ts";

/** How long a poll may take, in milliseconds. */
const POLL_DEADLINE_MS = 900;

/** What the polls need. */
export interface LoadPollerOptions {
  environment: Environment;
  /** Hears an upstream's own word, from each load report. */
  onUpstreamLeaving?:
    | ((upstream: VmId, isLeaving: boolean, ageMs: number) => void)
    | undefined;
}

/** Asks a shard's upstreams and tells the shard's owner. */
export class LoadPoller {
  readonly #options: LoadPollerOptions;

  constructor(options: LoadPollerOptions) {
    this.#options = options;
  }

  static create(options: LoadPollerOptions): LoadPoller {
    return new LoadPoller(options);
  }

  /** Asks all of `upstreams` once; resolves when each has answered or not. */
  async fetchLoads(
    owner: ShardOwner,
    upstreams: readonly VmId[],
  ): Promise<void> {
    await Promise.all(
      upstreams.map((upstream) => this.#fetchLoad(owner, upstream)),
    );
  }

  async #fetchLoad(owner: ShardOwner, upstream: VmId): Promise<void> {
    const { clock, upstreams } = this.#options.environment;
    try {
      const report = await withTimeout(
        upstreams.fetchLoad(upstream),
        POLL_DEADLINE_MS,
        clock,
      );
      if (report === undefined) {
        owner.noteMissedPoll(upstream);
        return;
      }
      owner.applyLoadReport(upstream, report, 0);
      const { leaving, ageMs } = report;
      this.#options.onUpstreamLeaving?.(upstream, leaving, ageMs);
      await this.#fetchCacheEvents(owner, { upstream, report });
    } catch {
      // The count of missed polls is what tells of a silent upstream.
      owner.noteMissedPoll(upstream);
    }
  }

  async #fetchCacheEvents(
    owner: ShardOwner,
    polled: { upstream: VmId; report: LoadReport },
  ): Promise<void> {
    const { upstream, report } = polled;
    const known = owner.getCacheSequence(upstream);
    if (report.cacheSequence <= known) return;
    const { clock, upstreams } = this.#options.environment;
    const events = await withTimeout(
      upstreams.fetchCacheEvents(upstream, known),
      POLL_DEADLINE_MS,
      clock,
    ).catch(() => undefined);
    if (events !== undefined) owner.applyCacheEvents(upstream, events);
  }
}
