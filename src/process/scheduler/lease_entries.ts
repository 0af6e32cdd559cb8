/**
 * Entries of the lease ledger: made at a grant or from a holder's word, and
 * what they cost.
 *
 * @module
 */
import type { LeaseId, VmId } from "../../ids.ts";
import type { LeaseUpdate } from "../peer_api.ts";
import type { LeaseEntry } from "./lease_ledger.ts";
import type { Waiter } from "./waiter.ts";
import { PROMPT_TOKEN_COST } from "./waiter_factory.ts";

/** What every lease begins with: nothing is known of its answer yet. */
const NO_PROGRESS = {
  tokens: 0,
  firstTokenMs: undefined,
  betweenTokensMs: undefined,
  preempted: false,
} as const;

/** The entry of a lease that is granted to `waiter` now. */
export function buildGrantedEntry(
  waiter: Waiter,
  options: {
    lease: LeaseId;
    upstream: VmId;
    chargedCost: number;
    priority: number;
    expiresAt: number;
    now: number;
  },
): LeaseEntry {
  const { call } = waiter;
  return {
    ...NO_PROGRESS,
    lease: options.lease,
    ticket: waiter.ticket,
    holder: call.from.vm,
    upstream: options.upstream,
    className: waiter.className,
    workspace: waiter.workspace,
    rank: waiter.rank,
    weight: waiter.weight,
    modelKey: waiter.modelKey,
    idempotent: call.idempotent,
    isLong: waiter.isLong,
    isOwnGrant: true,
    doneTokens: call.doneTokens,
    promptTokens: call.promptTokens,
    grantedAt: options.now,
    deadlineAt: waiter.deadlineAt,
    isPromoted: waiter.isPromoted,
    chargedCost: options.chargedCost,
    expectedTokens: waiter.cost,
    priority: options.priority,
    expiresAt: options.expiresAt,
  };
}

/** The entry of a lease that another owner or a local share granted. */
export function buildAnnouncedEntry(
  news: LeaseUpdate,
  options: {
    holder: VmId;
    rank: number;
    weight: number;
    expiresAt: number;
    now: number;
  },
): LeaseEntry {
  return {
    ...NO_PROGRESS,
    lease: news.lease,
    ticket: news.ticket,
    holder: options.holder,
    upstream: news.upstream,
    className: news.className,
    workspace: news.workspace,
    rank: options.rank,
    weight: options.weight,
    modelKey: "",
    idempotent: news.idempotent,
    isLong: false,
    isOwnGrant: false,
    doneTokens: 0,
    promptTokens: news.promptTokens,
    grantedAt: options.now,
    deadlineAt: Infinity,
    isPromoted: false,
    chargedCost: 0,
    expectedTokens: 0,
    priority: 0,
    expiresAt: options.expiresAt,
  };
}

/**
 * What a finished lease cost, in tokens as fair sharing counts; work without
 * tokens counts one for each call.
 */
export function computeServedCost(entry: LeaseEntry): number {
  if (entry.modelKey === "") return 1;
  return Math.max(1, entry.tokens) + PROMPT_TOKEN_COST * entry.promptTokens;
}

/** The lease as its holder would announce it. */
export function toNews(entry: LeaseEntry): LeaseUpdate {
  return {
    lease: entry.lease,
    ticket: entry.ticket,
    upstream: entry.upstream,
    className: entry.className,
    workspace: entry.workspace,
    idempotent: entry.idempotent,
    state: "running",
    promptTokens: entry.promptTokens,
    tokens: entry.tokens,
    firstTokenMs: entry.firstTokenMs,
    betweenTokensMs: entry.betweenTokensMs,
  };
}
