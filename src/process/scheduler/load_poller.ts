/**
 * Polls upstreams for their load reports and cache events.
 *
 * @module
 */
import type { LoadReport } from "../../connection/upstream_transport.ts";
import type { VmId } from "../../ids.ts";
import type { Environment } from "../environment.ts";
import { withTimeout } from "../with_timeout.ts";
import type { ShardOwner } from "./shard_owner.ts";

/** Timeout of a poll. */
const POLL_TIMEOUT_MS = 900;

/** Options of a `LoadPoller`. */
export interface LoadPollerOptions {
  environment: Environment;
  /** Called with each load report's leaving state and its age. */
  onUpstreamLeaving?:
    | ((upstream: VmId, isLeaving: boolean, ageMs: number) => void)
    | undefined;
}

/** Polls a shard's upstreams and passes the results to the shard's owner. */
export class LoadPoller {
  readonly #options: LoadPollerOptions;

  constructor(options: LoadPollerOptions) {
    this.#options = options;
  }

  static create(options: LoadPollerOptions): LoadPoller {
    return new LoadPoller(options);
  }

  /** Polls `upstreams` once; resolves when each has answered or timed out. */
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
        POLL_TIMEOUT_MS,
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
      // Failed and timed-out polls alike count towards a silent upstream.
      owner.noteMissedPoll(upstream);
    }
  }

  async #fetchCacheEvents(
    owner: ShardOwner,
    polled: { upstream: VmId; report: LoadReport },
  ): Promise<void> {
    const { upstream, report } = polled;
    const lastSequence = owner.getCacheSequence(upstream);
    if (report.cacheSequence <= lastSequence) return;
    const { clock, upstreams } = this.#options.environment;
    const events = await withTimeout(
      upstreams.fetchCacheEvents(upstream, lastSequence),
      POLL_TIMEOUT_MS,
      clock,
    ).catch(() => undefined);
    if (events !== undefined) owner.applyCacheEvents(upstream, events);
  }
}
