/**
 * Which workspace pays when a pool is short of room: the one whose demand grew.
 *
 * Prompts that can be on time are placed in the order of arrival. When one
 * workspace sends many times its usual, most of the room goes to it, and the
 * others lose what they would have had. While the pool is short of room, what
 * such a workspace sends beyond its usual, grown as much as the demand of all
 * others, is therefore deferred: it still runs wherever there is room.
 *
 * Each VM that places requests learns the demand from the requests it places, so
 * a new owner judges no workspace before it has seen some seconds of demand.
 *
 * @module
 */
import type { PoolName, WorkspaceName } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** Demand now: what was sent within about this time. */
const RECENT_MS = 2_000;
/** Usual demand, which a flood of some seconds hardly changes. */
const USUAL_MS = 30_000;
/** Demand seen for less than this time is not yet usual. */
const MIN_HISTORY_MS = 10_000;
/** A workspace is in excess beyond this ratio to the demand it may have. */
const MIN_EXCESS_RATIO = 2;
/** Fewer requests within `RECENT_MS` than this tell nothing. */
const MIN_EXCESS_REQUESTS = 4;
/**
 * Demand beyond `MIN_GROWTH` times the usual enters the usual demand at
 * `LEARNT_GROWTH` times it: lasting growth is learnt within minutes, a flood of
 * some seconds is not.
 */
const MIN_GROWTH = 1.5;
const LEARNT_GROWTH = 1.1;
/** The pool is short of room for this time after a late prompt. */
const SHORT_MS = 1_000;
/** Most that a workspace may have left unused, in time at its allowed rate. */
const MAX_CREDIT_MS = 500;

/** A sum that decays with age, as an estimate of a rate per millisecond. */
class DecayingRate {
  readonly #timeConstantMs: number;
  readonly #startedAt: number;
  #sum = 0;
  #updatedAt: number;

  constructor(timeConstantMs: number, now: number) {
    this.#timeConstantMs = timeConstantMs;
    this.#startedAt = now;
    this.#updatedAt = now;
  }

  static create(timeConstantMs: number, now: number): DecayingRate {
    return new DecayingRate(timeConstantMs, now);
  }

  add(amount: number, now: number): void {
    this.#sum = this.#getSum(now) + amount;
    this.#updatedAt = now;
  }

  getRate(now: number): number {
    const age = now - this.#startedAt;
    const seenMs = this.#timeConstantMs *
      (1 - Math.exp(-age / this.#timeConstantMs));
    return seenMs > 0 ? this.#getSum(now) / seenMs : 0;
  }

  #getSum(now: number): number {
    const age = now - this.#updatedAt;
    return this.#sum * Math.exp(-age / this.#timeConstantMs);
  }
}

/** Demand of one workspace at one pool, in tokens. */
interface Demand {
  recent: DecayingRate;
  usual: DecayingRate;
  credit: number;
  creditAt: number;
}

interface PoolDemand {
  startedAt: number;
  shortUntil: number;
  byWorkspace: Map<WorkspaceName, Demand>;
}

/** A request that needs room. */
export interface SharedRequest {
  pool: PoolName;
  workspace: WorkspaceName;
  /** Prompt tokens that no other request shares. */
  tokens: number;
}

/** Demands by pool and workspace. */
export class WorkspaceShares {
  readonly #clock: Clock;
  readonly #pools = new Map<PoolName, PoolDemand>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): WorkspaceShares {
    return new WorkspaceShares(clock);
  }

  /**
   * Records that a prompt of the pool was deferred. One that was in excess counts
   * as well: with the room that it leaves, nobody may be late meanwhile.
   */
  noteShort(pool: PoolName): void {
    this.#getPool(pool).shortUntil = this.#clock.now() + SHORT_MS;
  }

  /**
   * Records a request, and returns whether it is in excess of what its workspace
   * may have on time. Call once for each request.
   */
  addRequest({ pool, workspace, tokens }: SharedRequest): boolean {
    const now = this.#clock.now();
    const poolDemand = this.#getPool(pool);
    const demand = this.#getDemand(poolDemand, workspace);
    demand.recent.add(tokens, now);
    const allowed = this.#computeAllowedRate(poolDemand, demand);
    const recent = demand.recent.getRate(now);
    const slack = MIN_EXCESS_REQUESTS * tokens / RECENT_MS;
    const isInExcess = now - poolDemand.startedAt >= MIN_HISTORY_MS &&
      recent > MIN_EXCESS_RATIO * allowed + slack;
    const usual = demand.usual.getRate(now);
    const isGrowing = usual > 0 && recent > MIN_GROWTH * usual + slack;
    const learnt = isGrowing ? LEARNT_GROWTH * usual / recent : 1;
    demand.usual.add(tokens * learnt, now);
    const credit = demand.credit + allowed * (now - demand.creditAt);
    demand.credit = Math.min(credit, allowed * MAX_CREDIT_MS);
    demand.creditAt = now;
    if (!isInExcess || now >= poolDemand.shortUntil) return false;
    if (demand.credit <= 0) return true;
    demand.credit -= tokens;
    return false;
  }

  /** Tokens a millisecond: the usual demand, grown as that of all others. */
  #computeAllowedRate({ byWorkspace }: PoolDemand, own: Demand): number {
    const now = this.#clock.now();
    let recent = 0;
    let usual = 0;
    for (const demand of byWorkspace.values()) {
      if (demand === own) continue;
      recent += demand.recent.getRate(now);
      usual += demand.usual.getRate(now);
    }
    // A workspace without others beside it takes nothing from anybody.
    if (usual === 0) return own.recent.getRate(now);
    return own.usual.getRate(now) * Math.max(1, recent / usual);
  }

  #getPool(pool: PoolName): PoolDemand {
    const known = this.#pools.get(pool);
    if (known !== undefined) return known;
    const startedAt = this.#clock.now();
    const created = {
      startedAt,
      shortUntil: -Infinity,
      byWorkspace: new Map(),
    };
    this.#pools.set(pool, created);
    return created;
  }

  #getDemand(
    { byWorkspace, startedAt }: PoolDemand,
    workspace: WorkspaceName,
  ): Demand {
    const known = byWorkspace.get(workspace);
    if (known !== undefined) return known;
    // The time before its first request counts as time without demand.
    const created: Demand = {
      recent: DecayingRate.create(RECENT_MS, startedAt),
      usual: DecayingRate.create(USUAL_MS, startedAt),
      credit: 0,
      creditAt: this.#clock.now(),
    };
    byWorkspace.set(workspace, created);
    return created;
  }
}
