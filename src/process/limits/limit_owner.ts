/**
 * Owner's side of the workspaces' limits.
 *
 * @module
 */
import type { VmId, WorkspaceName } from "../../ids.ts";
import type { Snapshot } from "../../version/records.ts";
import type { Clock } from "../clock.ts";
import type { MembershipView } from "../membership_view.ts";
import type { LimitAnswer, LimitCall } from "../peer_api.ts";
import {
  computeLimitRate,
  LimitBucket,
  type LimitRate,
} from "./limit_bucket.ts";

/** Lifetime of a chunk, which its holder counts from the call. */
export const CHUNK_TTL_MS = 5_000;

/** Keeps the answer finite; a debt is at most one grant. */
const MAX_RETRY_AFTER_MS = 600_000;

/** Answer to a call that was sent to the wrong VM. */
const NOT_OWNER: LimitAnswer = {
  isOwner: false,
  requests: 0,
  tokens: 0,
  ttlMs: 0,
  retryAfterMs: 0,
};

/** Key by which the membership names the owner of a workspace's limit. */
export function toLimitKey(workspace: WorkspaceName): string {
  return `limit:${workspace}`;
}

/** Options of `LimitOwner`. */
export interface LimitOwnerOptions {
  vm: VmId;
  clock: Clock;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
}

/**
 * Grants chunks of the limits that this VM owns.
 *
 * Two VMs may consider themselves the owner of a limit, and a new owner does
 * not know what the previous one granted. If its bucket started full, the burst
 * would be granted twice, and the admitted rate would exceed the limit right
 * after a VM is lost. Therefore a bucket is empty at the moment at which this
 * VM may have become the owner. Under a partition each side has an owner; each
 * refills only at the share of the listed entry VMs that it can reach, so that
 * the sides together do not exceed the rate.
 */
export class LimitOwner {
  readonly #options: LimitOwnerOptions;
  readonly #buckets = new Map<WorkspaceName, LimitBucket>();
  #reachable: ReadonlySet<VmId>;
  #share: number;
  /** When this VM may last have become the owner of a limit. */
  #ownerSince: number;

  constructor(options: LimitOwnerOptions) {
    this.#options = options;
    this.#ownerSince = options.clock.now();
    this.#reachable = this.#findReachable();
    this.#share = this.#computeShare();
    options.membership.onChange(() => this.#onMembershipChange());
  }

  static create(options: LimitOwnerOptions): LimitOwner {
    return new LimitOwner(options);
  }

  /** Number of buckets. */
  get size(): number {
    return this.#buckets.size;
  }

  answer(call: LimitCall): LimitAnswer {
    if (!this.#isOwner(call.workspace)) return NOT_OWNER;
    const rate = this.#findRate(call.workspace);
    if (rate === undefined) return NOT_OWNER;
    const now = this.#options.clock.now();
    const bucket = this.#getBucket(call.workspace);
    bucket.update(now, rate);
    const amount = { requests: call.requests, tokens: call.tokens };
    const waitMs = bucket.computeWaitMs(amount, rate);
    if (waitMs > 0) return refuseChunk(waitMs);
    bucket.take(amount);
    return { isOwner: true, ...amount, ttlMs: CHUNK_TTL_MS, retryAfterMs: 0 };
  }

  /**
   * Forgets all buckets after a pause of this VM: another VM may have owned its
   * limits, and the buckets would have refilled meanwhile.
   */
  clear(): void {
    this.#buckets.clear();
    this.#ownerSince = this.#options.clock.now();
  }

  /** Drops full buckets: a new one would be full too. */
  dropIdle(): void {
    const now = this.#options.clock.now();
    for (const [workspace, bucket] of this.#buckets) {
      const rate = this.#findRate(workspace);
      if (rate !== undefined) bucket.update(now, rate);
      if (rate === undefined || bucket.isFull(rate)) {
        this.#buckets.delete(workspace);
      }
    }
  }

  #getBucket(workspace: WorkspaceName): LimitBucket {
    const known = this.#buckets.get(workspace);
    if (known !== undefined) return known;
    const bucket = LimitBucket.create(this.#ownerSince);
    this.#buckets.set(workspace, bucket);
    return bucket;
  }

  #findRate(workspace: WorkspaceName): LimitRate | undefined {
    const record = this.#options.getSnapshot()?.workspaces.get(workspace);
    return record && computeLimitRate(record, this.#share);
  }

  #isOwner(workspace: WorkspaceName): boolean {
    const owner = this.#options.membership.findOwner(toLimitKey(workspace));
    return owner === this.#options.vm;
  }

  #onMembershipChange(): void {
    this.#dropLostBuckets();
    const previous = this.#reachable;
    this.#reachable = this.#findReachable();
    this.#share = this.#computeShare();
    const hasLostPeer = [...previous].some((vm) => !this.#reachable.has(vm));
    if (hasLostPeer) this.#ownerSince = this.#options.clock.now();
  }

  /**
   * Drops the buckets of limits that this VM no longer owns, and fills the
   * others up to now at the previous share.
   */
  #dropLostBuckets(): void {
    const now = this.#options.clock.now();
    for (const [workspace, bucket] of this.#buckets) {
      const rate = this.#findRate(workspace);
      if (rate === undefined || !this.#isOwner(workspace)) {
        this.#buckets.delete(workspace);
      } else {
        bucket.update(now, rate);
      }
    }
  }

  #findReachable(): ReadonlySet<VmId> {
    const { membership, vm } = this.#options;
    return new Set(
      membership.listEntryVms()
        .map((entry) => entry.id)
        .filter((id) =>
          id === vm ||
          (membership.isReachable(id) && !membership.isDraining(id))
        ),
    );
  }

  /** Share of the listed live entry VMs that this VM can reach. */
  #computeShare(): number {
    const { membership, vm } = this.#options;
    const live = membership.listEntryVms()
      .filter((entry) => entry.state === "live");
    if (live.length === 0) return 1;
    const reachable = live
      .filter(({ id }) => id === vm || membership.isReachable(id));
    return Math.max(1, reachable.length) / live.length;
  }
}

function refuseChunk(waitMs: number): LimitAnswer {
  return {
    isOwner: true,
    requests: 0,
    tokens: 0,
    ttlMs: 0,
    retryAfterMs: Math.min(waitMs, MAX_RETRY_AFTER_MS),
  };
}
