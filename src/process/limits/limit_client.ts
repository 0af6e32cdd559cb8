/**
 * Client of one workspace's limit, on an entry VM.
 *
 * @module
 */
import type { Workspace } from "../../version/records.ts";
import type { Clock } from "../clock.ts";
import type { LimitAnswer } from "../peer_api.ts";
import { ChunkStore } from "./chunk_store.ts";
import { DemandMeter } from "./demand_meter.ts";
import { computeLimitRate, type LimitAmount } from "./limit_bucket.ts";
import { buildLimitRefusal, checkFitsLimit } from "./limit_refusals.ts";
import { LocalLimit } from "./local_limit.ts";

/** Longest time that a request waits for the owner's answer. */
const OWNER_TIMEOUT_MS = 50;

/**
 * Share of a minute's limit that the whole fleet may admit before the owner has
 * agreed. It saves requests of workspaces with little traffic the wait.
 */
const MAX_ADMIT_AHEAD_SHARE = 0.05;

/** Time for which an owner that did not answer is not called again. */
const OWNER_RETRY_MS = 500;

/** A prefetched chunk covers the use that this VM expects in this time. */
const PREFETCH_DEMAND_MS = 1_000;

/**
 * A prefetched chunk is at most the whole limit's amount for this time, so that
 * one VM does not hold a small limit while another has none.
 */
const MAX_PREFETCH_RATE_MS = 250;

/** State that was not used for this long is dropped. */
const IDLE_MS = 60_000;

/** Options of `LimitClient`. */
export interface LimitClientOptions {
  clock: Clock;
  countEntryVms: () => number;
  /** Resolves to undefined where no owner answered. */
  fetchChunk: (amount: LimitAmount) => Promise<LimitAnswer | undefined>;
}

/** A request that waits for a chunk. */
interface Waiter {
  amount: LimitAmount;
  resolve: (result: WaitResult) => void;
}

/** Result of waiting for a chunk. */
type WaitResult =
  | { kind: "admitted" }
  | { kind: "denied"; retryAfterMs: number }
  | { kind: "silent" };

/** Chunks, local share and waiting requests of one workspace on this VM. */
export class LimitClient {
  readonly #options: LimitClientOptions;
  readonly #chunks = ChunkStore.create();
  readonly #demand: DemandMeter;
  readonly #local: LocalLimit;
  #waiters: Waiter[] = [];
  #isFetching = false;
  /**
   * Amount used without a chunk, which the next call reports to the owner.
   * Negative tokens were paid for and not used: the next requests here use
   * them. They are not returned to the owner, since a repeated message would
   * return them twice.
   */
  #owed: LimitAmount = { requests: 0, tokens: 0 };
  #deniedUntil = -Infinity;
  #silentUntil = -Infinity;
  #usedAt: number;

  constructor(options: LimitClientOptions) {
    this.#options = options;
    const now = options.clock.now();
    this.#demand = DemandMeter.create(now);
    this.#local = LocalLimit.create(options);
    this.#usedAt = now;
  }

  static create(options: LimitClientOptions): LimitClient {
    return new LimitClient(options);
  }

  /** Admits one request, or throws `RefusalError`. */
  async admit(workspace: Workspace, tokens: number): Promise<void> {
    const now = this.#options.clock.now();
    const amount = { requests: 1, tokens };
    this.#usedAt = now;
    checkFitsLimit(workspace, tokens);
    if (this.#waiters.length === 0 && this.#takeChunk(amount)) {
      this.#noteAdmitted(workspace, amount);
      return;
    }
    if (now < this.#deniedUntil) {
      throw buildLimitRefusal(workspace, this.#deniedUntil - now);
    }
    if (now < this.#silentUntil) this.#takeLocal(workspace, amount);
    else if (this.#canAdmitAhead(workspace, amount)) this.#addOwed(amount);
    else await this.#takeFromOwner(workspace, amount);
    this.#noteAdmitted(workspace, amount);
  }

  /** Returns `tokens` that were not used; negative tokens are owed. */
  settle(tokens: number): void {
    this.#owed.tokens -= tokens;
    if (this.#owed.tokens < 0) this.#deniedUntil = -Infinity;
  }

  /**
   * Whether this state can be dropped without losing a debt or a pending call.
   */
  isIdle(): boolean {
    const now = this.#options.clock.now();
    return !this.#isFetching && !this.#local.isInDebt() &&
      now - this.#usedAt > IDLE_MS;
  }

  /**
   * Takes one request from the chunks; its tokens come from the credit first.
   */
  #takeChunk(amount: LimitAmount): boolean {
    const credit = Math.max(0, -this.#owed.tokens);
    const fromCredit = Math.min(credit, amount.tokens);
    const { requests } = amount;
    const tokens = amount.tokens - fromCredit;
    const now = this.#options.clock.now();
    if (!this.#chunks.take({ requests, tokens }, now)) return false;
    this.#owed.tokens += fromCredit;
    return true;
  }

  /**
   * Whether a request may be admitted before the owner agrees: nothing is owed
   * yet, and one such request on every VM is a small part of the limit.
   */
  #canAdmitAhead(workspace: Workspace, amount: LimitAmount): boolean {
    if (this.#owed.requests > 0 || this.#waiters.length > 0) return false;
    const vms = this.#options.countEntryVms();
    const { requestsPerMinute, tokensPerMinute } = workspace.limits;
    return vms * amount.requests <= requestsPerMinute * MAX_ADMIT_AHEAD_SHARE &&
      vms * amount.tokens <= tokensPerMinute * MAX_ADMIT_AHEAD_SHARE;
  }

  #addOwed(amount: LimitAmount): void {
    this.#owed.requests += amount.requests;
    this.#owed.tokens += amount.tokens;
  }

  async #takeFromOwner(
    workspace: Workspace,
    amount: LimitAmount,
  ): Promise<void> {
    const result = await this.#waitForChunk(workspace, amount);
    if (result.kind === "denied") {
      throw buildLimitRefusal(workspace, result.retryAfterMs);
    }
    if (result.kind === "silent") this.#takeLocal(workspace, amount);
  }

  #noteAdmitted(workspace: Workspace, amount: LimitAmount): void {
    const now = this.#options.clock.now();
    this.#demand.note(amount, now);
    if (this.#isFetching || now < this.#deniedUntil) return;
    if (now < this.#silentUntil) return;
    const hasDebt = this.#owed.requests > 0;
    if (hasDebt || this.#isLow(workspace)) void this.#fetchFromOwner(workspace);
  }

  /** Whether to fetch the next chunk before this one runs out. */
  #isLow(workspace: Workspace): boolean {
    const extra = this.#computePrefetch(workspace);
    if (extra.requests < 1) return false;
    const left = this.#chunks.countLeft(this.#options.clock.now());
    return left.requests < extra.requests / 2 ||
      left.tokens < extra.tokens / 2;
  }

  /** Amount to prefetch; nothing where the limit is small. */
  #computePrefetch(workspace: Workspace): LimitAmount {
    const rate = computeLimitRate(workspace);
    const now = this.#options.clock.now();
    const expected = this.#demand.compute(PREFETCH_DEMAND_MS, now);
    const requests = Math.floor(
      Math.min(expected.requests, rate.requests * MAX_PREFETCH_RATE_MS),
    );
    if (requests < 1) return { requests: 0, tokens: 0 };
    const tokens = Math.floor(
      Math.min(expected.tokens, rate.tokens * MAX_PREFETCH_RATE_MS),
    );
    return { requests, tokens };
  }

  async #waitForChunk(
    workspace: Workspace,
    amount: LimitAmount,
  ): Promise<WaitResult> {
    const { clock } = this.#options;
    const waiter: Waiter = { amount, resolve: () => {} };
    const result = new Promise<WaitResult>((resolve) => {
      waiter.resolve = resolve;
    });
    this.#waiters.push(waiter);
    const cancelTimer = clock.startTimer(
      OWNER_TIMEOUT_MS,
      () => this.#onTimeout(waiter),
    );
    if (!this.#isFetching) void this.#fetchFromOwner(workspace);
    await result;
    cancelTimer();
    return result;
  }

  /** The owner's answer may still arrive and is used then. */
  #onTimeout(waiter: Waiter): void {
    this.#silentUntil = this.#options.clock.now() + OWNER_RETRY_MS;
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
    waiter.resolve({ kind: "silent" });
  }

  /**
   * Calls the owner until no request waits. A chunk's lifetime counts from
   * before the call, so a late answer brings a chunk with less time left, or an
   * expired one.
   */
  async #fetchFromOwner(workspace: Workspace): Promise<void> {
    const { clock, fetchChunk } = this.#options;
    this.#isFetching = true;
    try {
      do {
        const calledAt = clock.now();
        const amount = this.#computeFetchAmount(workspace);
        const answered = fetchChunk(amount).then((answer) => {
          if (answer === undefined) this.#onSilentOwner();
          else this.#onAnswer(answer, calledAt);
        });
        await Promise.race([answered, clock.sleep(OWNER_TIMEOUT_MS)]);
      } while (this.#waiters.length > 0);
    } finally {
      this.#isFetching = false;
    }
  }

  #computeFetchAmount(workspace: Workspace): LimitAmount {
    const extra = this.#computePrefetch(workspace);
    let requests = extra.requests + this.#owed.requests;
    let tokens = extra.tokens + this.#owed.tokens;
    for (const { amount } of this.#waiters) {
      requests += amount.requests;
      tokens += amount.tokens;
    }
    return { requests, tokens: Math.max(0, tokens) };
  }

  #onAnswer(answer: LimitAnswer, calledAt: number): void {
    this.#silentUntil = -Infinity;
    if (answer.requests === 0) {
      this.#onDenied(answer.retryAfterMs);
      return;
    }
    this.#chunks.add(this.#settleOwed(answer), calledAt + answer.ttlMs);
    this.#admitWaiters();
  }

  /** Pays what is owed, and returns the rest of the answer. */
  #settleOwed(answer: LimitAmount): LimitAmount {
    const requests = Math.min(this.#owed.requests, answer.requests);
    const tokens = Math.min(Math.max(0, this.#owed.tokens), answer.tokens);
    this.#owed.requests -= requests;
    this.#owed.tokens -= tokens;
    return {
      requests: answer.requests - requests,
      tokens: answer.tokens - tokens,
    };
  }

  #admitWaiters(): void {
    while (this.#waiters.length > 0) {
      const { amount, resolve } = this.#waiters[0]!;
      if (!this.#takeChunk(amount)) return;
      this.#waiters.shift();
      resolve({ kind: "admitted" });
    }
  }

  #onDenied(retryAfterMs: number): void {
    this.#deniedUntil = this.#options.clock.now() + retryAfterMs;
    this.#settleWaiters({ kind: "denied", retryAfterMs });
  }

  #onSilentOwner(): void {
    this.#silentUntil = this.#options.clock.now() + OWNER_RETRY_MS;
    this.#settleWaiters({ kind: "silent" });
  }

  #settleWaiters(result: WaitResult): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const { resolve } of waiters) resolve(result);
  }

  /**
   * Takes the amount from the local share, and owes it to the owner as well:
   * the owner may be alive with only its answer lost. Otherwise the use would
   * come on top of the whole rate and exceed the limit on a lossy network.
   */
  #takeLocal(workspace: Workspace, amount: LimitAmount): void {
    this.#local.take(workspace, amount);
    this.#addOwed(amount);
  }
}
