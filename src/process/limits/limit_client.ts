/**
 * One workspace's limit as an entry VM holds it.
 *
 * @module
 */
import type { Workspace } from "../../version/records.ts";
import type { Clock } from "../clock.ts";
import type { LimitAnswer } from "../peer_api.ts";
import { ChunkStore } from "./chunk_store.ts";
import { DemandMeter } from "./demand_meter.ts";
import { computeLimitRate, type LimitAmount } from "./limit_bucket.ts";
import { buildLimitRefusal, checkPossible } from "./limit_refusals.ts";
import { LocalLimit } from "./local_limit.ts";

/** The longest that a request waits for the owner's answer. */
const OWNER_WAIT_MS = 50;

/**
 * The whole fleet may admit so much of a minute's limit before the owner has
 * agreed. It spares a request of a workspace with little traffic the wait.
 */
const MAX_AHEAD_SHARE = 0.05;

/** How long a silent owner is left alone before it is asked again. */
const SILENT_OWNER_MS = 500;

/** A chunk beyond the need covers this VM's own use for so long. */
const PREFETCH_MS = 1_000;

/**
 * A chunk beyond the need is at most so much of the whole limit, so that a
 * small limit is not held by one VM while another has none.
 */
const MAX_PREFETCH_MS = 250;

/** State not used for so long is dropped. */
const IDLE_MS = 60_000;

/** What a held limit needs. */
export interface LimitClientOptions {
  clock: Clock;
  countEntryVms: () => number;
  /** Undefined when no owner answered. */
  fetchChunk: (amount: LimitAmount) => Promise<LimitAnswer | undefined>;
}

/** A request that waits for a chunk. */
interface Waiter {
  amount: LimitAmount;
  resolve: (verdict: Verdict) => void;
}

/** What a waiter hears. */
type Verdict =
  | { kind: "admitted" }
  | { kind: "denied"; retryAfterMs: number }
  | { kind: "silent" };

/** Chunks, local share and waiters of one workspace on this VM. */
export class LimitClient {
  readonly #options: LimitClientOptions;
  readonly #chunks = ChunkStore.create();
  readonly #demand: DemandMeter;
  readonly #local: LocalLimit;
  #waiters: Waiter[] = [];
  #isAsking = false;
  /**
   * Used without a chunk; the owner hears of it with the next call. Negative
   * tokens were paid for and not used: the next requests here use them. They
   * are not sent back to the owner, since a repeated message would then give
   * them back twice.
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
    checkPossible(workspace, tokens);
    if (this.#waiters.length === 0 && this.#takeChunk(amount)) {
      this.#noteAdmitted(workspace, amount);
      return;
    }
    if (now < this.#deniedUntil) {
      throw buildLimitRefusal(workspace, this.#deniedUntil - now);
    }
    if (now < this.#silentUntil) this.#takeLocal(workspace, amount);
    else if (this.#canGoAhead(workspace, amount)) this.#addOwed(amount);
    else await this.#takeFromOwner(workspace, amount);
    this.#noteAdmitted(workspace, amount);
  }

  /** Gives back `tokens` that were not used, or owes them when negative. */
  settle(tokens: number): void {
    this.#owed.tokens -= tokens;
    if (this.#owed.tokens < 0) this.#deniedUntil = -Infinity;
  }

  /** Whether dropping this state loses nothing that still counts. */
  isIdle(): boolean {
    const now = this.#options.clock.now();
    return !this.#isAsking && !this.#local.isInDebt() &&
      now - this.#usedAt > IDLE_MS;
  }

  /** Takes one request from the chunks, its tokens from the credit first. */
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
   * A request goes ahead of the owner's word when nothing is owed yet and one
   * such request on every VM is a small part of the limit.
   */
  #canGoAhead(workspace: Workspace, amount: LimitAmount): boolean {
    if (this.#owed.requests > 0 || this.#waiters.length > 0) return false;
    const vms = this.#options.countEntryVms();
    const { requestsPerMinute, tokensPerMinute } = workspace.limits;
    return vms * amount.requests <= requestsPerMinute * MAX_AHEAD_SHARE &&
      vms * amount.tokens <= tokensPerMinute * MAX_AHEAD_SHARE;
  }

  #addOwed(amount: LimitAmount): void {
    this.#owed.requests += amount.requests;
    this.#owed.tokens += amount.tokens;
  }

  async #takeFromOwner(
    workspace: Workspace,
    amount: LimitAmount,
  ): Promise<void> {
    const verdict = await this.#waitForChunk(workspace, amount);
    if (verdict.kind === "denied") {
      throw buildLimitRefusal(workspace, verdict.retryAfterMs);
    }
    if (verdict.kind === "silent") this.#takeLocal(workspace, amount);
  }

  #noteAdmitted(workspace: Workspace, amount: LimitAmount): void {
    const now = this.#options.clock.now();
    this.#demand.note(amount, now);
    if (this.#isAsking || now < this.#deniedUntil) return;
    if (now < this.#silentUntil) return;
    const isOwing = this.#owed.requests > 0;
    if (isOwing || this.#isLow(workspace)) void this.#askOwner(workspace);
  }

  /** Whether to fetch the next chunk before this one runs out. */
  #isLow(workspace: Workspace): boolean {
    const extra = this.#computePrefetch(workspace);
    if (extra.requests < 1) return false;
    const left = this.#chunks.countLeft(this.#options.clock.now());
    return left.requests < extra.requests / 2 ||
      left.tokens < extra.tokens / 2;
  }

  /** What to hold beyond the need; nothing where the limit is small. */
  #computePrefetch(workspace: Workspace): LimitAmount {
    const rate = computeLimitRate(workspace);
    const now = this.#options.clock.now();
    const expected = this.#demand.compute(PREFETCH_MS, now);
    const requests = Math.floor(
      Math.min(expected.requests, rate.requests * MAX_PREFETCH_MS),
    );
    if (requests < 1) return { requests: 0, tokens: 0 };
    const tokens = Math.floor(
      Math.min(expected.tokens, rate.tokens * MAX_PREFETCH_MS),
    );
    return { requests, tokens };
  }

  async #waitForChunk(
    workspace: Workspace,
    amount: LimitAmount,
  ): Promise<Verdict> {
    const { clock } = this.#options;
    const waiter: Waiter = { amount, resolve: () => {} };
    const verdict = new Promise<Verdict>((resolve) => {
      waiter.resolve = resolve;
    });
    this.#waiters.push(waiter);
    const cancelTimer = clock.startTimer(
      OWNER_WAIT_MS,
      () => this.#onOverdue(waiter),
    );
    if (!this.#isAsking) void this.#askOwner(workspace);
    await verdict;
    cancelTimer();
    return verdict;
  }

  /** The owner's answer may still come and is kept then. */
  #onOverdue(waiter: Waiter): void {
    this.#silentUntil = this.#options.clock.now() + SILENT_OWNER_MS;
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
    waiter.resolve({ kind: "silent" });
  }

  /**
   * Asks until no waiter is left. The chunk's life counts from before the call,
   * so that an answer that comes late has less of it, or none.
   */
  async #askOwner(workspace: Workspace): Promise<void> {
    const { clock, fetchChunk } = this.#options;
    this.#isAsking = true;
    try {
      do {
        const askedAt = clock.now();
        const amount = this.#computeAsk(workspace);
        const answered = fetchChunk(amount).then((answer) => {
          if (answer === undefined) this.#onSilentOwner();
          else this.#onAnswer(answer, askedAt);
        });
        await Promise.race([answered, clock.sleep(OWNER_WAIT_MS)]);
      } while (this.#waiters.length > 0);
    } finally {
      this.#isAsking = false;
    }
  }

  #computeAsk(workspace: Workspace): LimitAmount {
    const extra = this.#computePrefetch(workspace);
    let requests = extra.requests + this.#owed.requests;
    let tokens = extra.tokens + this.#owed.tokens;
    for (const { amount } of this.#waiters) {
      requests += amount.requests;
      tokens += amount.tokens;
    }
    return { requests, tokens: Math.max(0, tokens) };
  }

  #onAnswer(answer: LimitAnswer, askedAt: number): void {
    this.#silentUntil = -Infinity;
    if (answer.requests === 0) {
      this.#onDenied(answer.retryAfterMs);
      return;
    }
    this.#chunks.add(this.#settleOwed(answer), askedAt + answer.ttlMs);
    this.#admitWaiters();
  }

  /** Pays what is owed; gives what is left of the answer. */
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
    this.#silentUntil = this.#options.clock.now() + SILENT_OWNER_MS;
    this.#settleWaiters({ kind: "silent" });
  }

  #settleWaiters(verdict: Verdict): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const { resolve } of waiters) resolve(verdict);
  }

  /**
   * The owner may be alive and only its answer lost; were the use not owed, it
   * would come on top of the whole rate, which shows as overshoot on a lossy
   * network.
   */
  #takeLocal(workspace: Workspace, amount: LimitAmount): void {
    this.#local.take(workspace, amount);
    this.#addOwed(amount);
  }
}
