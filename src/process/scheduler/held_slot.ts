/**
 * A slot that this VM holds.
 *
 * @module
 */
import type {
  ClassName,
  LeaseId,
  ShardId,
  TicketId,
  VmId,
  WorkspaceName,
} from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { LeaseUpdate, RateLimitUpdate, SlotLease } from "../peer_api.ts";
import { HeldLease, type LeaseProgress } from "../services.ts";

/** Options of a `HeldSlot`. */
export interface HeldSlotOptions {
  clock: Clock;
  slot: SlotLease;
  ticket: TicketId;
  className: ClassName;
  workspace: WorkspaceName;
  idempotent: boolean;
  promptTokens: number;
  /**
   * Time before the acquire call was sent; the lease's time to live starts
   * here.
   */
  requestedAt: number;
  onRelease: (slot: HeldSlot) => void;
  /** Called with the rate limit, back-off and leaving notice of a response. */
  onSignals: (signals: UpstreamSignals) => void;
}

/** A lease together with the progress of its request. */
export class HeldSlot extends HeldLease {
  readonly shard: ShardId;
  readonly byOwner: boolean;
  readonly #options: HeldSlotOptions;
  readonly #preempted = new AbortController();
  #state: LeaseUpdate["state"] = "running";
  #progress: LeaseProgress = {
    tokens: 0,
    firstTokenMs: undefined,
    betweenTokensMs: undefined,
  };
  #validUntil: number;
  /** Sending time of the last report that the owner received. */
  #announcedAt: number | undefined;
  #announcedFirstToken = false;
  /** The last rate limit that the upstream reported (infinite for none). */
  #rateLimit: { requestsPerS: number; at: number } | undefined;
  #announcedRateLimit = false;
  #backOffUntil = -Infinity;

  constructor(options: HeldSlotOptions) {
    super();
    this.#options = options;
    this.shard = options.slot.shard;
    this.byOwner = options.slot.byOwner;
    this.#validUntil = options.requestedAt + options.slot.ttlMs;
  }

  static create(options: HeldSlotOptions): HeldSlot {
    return new HeldSlot(options);
  }

  override get lease(): LeaseId {
    return this.#options.slot.lease;
  }

  override get upstream(): VmId {
    return this.#options.slot.upstream;
  }

  override get priority(): number {
    return this.#options.slot.priority;
  }

  override get preempted(): AbortSignal {
    return this.#preempted.signal;
  }

  override isValid(): boolean {
    return this.#state === "running" &&
      this.#options.clock.now() < this.#validUntil;
  }

  override noteProgress(progress: LeaseProgress): void {
    this.#progress = progress;
  }

  override noteSignals(signals: UpstreamSignals): void {
    this.#options.onSignals(signals);
    const { requestsPerS, backOffMs } = signals;
    const now = this.#options.clock.now();
    this.#backOffUntil = Math.max(this.#backOffUntil, now + backOffMs);
    if (requestsPerS === undefined) return;
    this.#rateLimit = { requestsPerS, at: now };
  }

  override release(
    state: Exclude<LeaseUpdate["state"], "running">,
    progress: LeaseProgress,
  ): void {
    if (this.#state !== "running") return;
    this.#state = state;
    this.#progress = progress;
    this.#options.onRelease(this);
  }

  /** Signals that the owner has preempted the lease. */
  preempt(): void {
    this.#preempted.abort();
  }

  /** Applies a renewal that was sent at `sentAt` and accepted by the owner. */
  renew(sentAt: number, ttlMs: number): void {
    // A renewal never restores an expired lease, because its slot may have been
    // granted to another request. Only a send that has already begun continues.
    if (sentAt < this.#validUntil) {
      this.#validUntil = Math.max(this.#validUntil, sentAt + ttlMs);
    }
    this.#announcedAt = sentAt;
    this.#announcedFirstToken = this.#progress.firstTokenMs !== undefined;
    this.#announcedRateLimit = this.#rateLimit !== undefined;
  }

  /** Whether the lease should be reported to the owner again. */
  isRenewalDue(now: number, intervalMs: number): boolean {
    if (this.#announcedAt === undefined) return true;
    if (now - this.#announcedAt >= intervalMs) return true;
    if (!this.#announcedRateLimit && this.#rateLimit !== undefined) return true;
    return !this.#announcedFirstToken &&
      this.#progress.firstTokenMs !== undefined;
  }

  /** Builds the update of the lease's current state. */
  buildUpdate(): LeaseUpdate {
    const { ticket, className, workspace, idempotent, promptTokens } =
      this.#options;
    return {
      lease: this.lease,
      ticket,
      upstream: this.upstream,
      className,
      workspace,
      idempotent,
      state: this.#state,
      promptTokens,
      ...this.#progress,
      rateLimit: this.#buildRateLimit(),
      backOffMs: this.#computeBackOffMs(),
    };
  }

  #computeBackOffMs(): number | undefined {
    const leftMs = this.#backOffUntil - this.#options.clock.now();
    return leftMs > 0 ? leftMs : undefined;
  }

  #buildRateLimit(): RateLimitUpdate | undefined {
    if (this.#rateLimit === undefined) return undefined;
    const { requestsPerS, at } = this.#rateLimit;
    const ageMs = this.#options.clock.now() - at;
    return requestsPerS === Infinity ? { ageMs } : { requestsPerS, ageMs };
  }
}
