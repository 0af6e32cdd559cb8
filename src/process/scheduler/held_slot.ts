/**
 * A slot in this VM's hands.
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

/** What a held slot is made of. */
export interface HeldSlotOptions {
  clock: Clock;
  slot: SlotLease;
  ticket: TicketId;
  className: ClassName;
  workspace: WorkspaceName;
  idempotent: boolean;
  promptTokens: number;
  /** This VM's time before it asked, from which the lease counts. */
  askedAt: number;
  onRelease: (slot: HeldSlot) => void;
  /** Hears what the upstream's answer asks. */
  onSignals: (signals: UpstreamSignals) => void;
}

/** A lease with what the holder knows of its work. */
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
  /** When the owner last heard of the lease; undefined before it did. */
  #announcedAt: number | undefined;
  #announcedFirstToken = false;
  /** The limit that the upstream named, infinite for none, and when. */
  #rateLimit: { requestsPerS: number; at: number } | undefined;
  #announcedRateLimit = false;
  #backOffUntil = -Infinity;

  constructor(options: HeldSlotOptions) {
    super();
    this.#options = options;
    this.shard = options.slot.shard;
    this.byOwner = options.slot.byOwner;
    this.#validUntil = options.askedAt + options.slot.ttlMs;
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

  /** The owner wants the slot back. */
  preempt(): void {
    this.#preempted.abort();
  }

  /** The owner took a renewal in that was sent at `sentAt`. */
  renew(sentAt: number, ttlMs: number): void {
    // A lease that lapsed stays lapsed: its slot may have been granted to
    // another meanwhile, and only a send that has begun may go on.
    if (sentAt < this.#validUntil) {
      this.#validUntil = Math.max(this.#validUntil, sentAt + ttlMs);
    }
    this.#announcedAt = sentAt;
    this.#announcedFirstToken = this.#progress.firstTokenMs !== undefined;
    this.#announcedRateLimit = this.#rateLimit !== undefined;
  }

  /** Whether the owner should hear of the lease again. */
  isDue(now: number, everyMs: number): boolean {
    if (this.#announcedAt === undefined) return true;
    if (now - this.#announcedAt >= everyMs) return true;
    if (!this.#announcedRateLimit && this.#rateLimit !== undefined) return true;
    return !this.#announcedFirstToken &&
      this.#progress.firstTokenMs !== undefined;
  }

  /** The news of the lease as it is now. */
  buildNews(): LeaseUpdate {
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
