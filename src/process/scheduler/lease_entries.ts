/**
 * Builds entries of the lease ledger from grants and from holders'
 * announcements, and computes their cost.
 *
 * @module
 */
import type { LeaseId, VmId } from "../../ids.ts";
import type { LeaseUpdate } from "../peer_api.ts";
import type { LeaseEntry } from "./lease_ledger.ts";
import type { Waiter } from "./waiter.ts";
import { PROMPT_TOKEN_COST } from "./waiter_factory.ts";

/** Initial progress of every lease. */
const NO_PROGRESS = {
  tokens: 0,
  firstTokenMs: undefined,
  betweenTokensMs: undefined,
  preempted: false,
} as const;

/** Builds the entry of a lease that is granted to `waiter`. */
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

/** Builds the entry of a lease granted by another owner or a local share. */
export function buildAnnouncedEntry(
  update: LeaseUpdate,
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
    lease: update.lease,
    ticket: update.ticket,
    holder: options.holder,
    upstream: update.upstream,
    className: update.className,
    workspace: update.workspace,
    rank: options.rank,
    weight: options.weight,
    modelKey: "",
    idempotent: update.idempotent,
    isLong: false,
    isOwnGrant: false,
    doneTokens: 0,
    promptTokens: update.promptTokens,
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
 * Computes the fair-share cost of a finished lease in tokens. Requests without
 * tokens cost one each.
 */
export function computeServedCost(entry: LeaseEntry): number {
  if (entry.modelKey === "") return 1;
  return Math.max(1, entry.tokens) + PROMPT_TOKEN_COST * entry.promptTokens;
}

/** Converts an entry to the update that its holder would send. */
export function toLeaseUpdate(entry: LeaseEntry): LeaseUpdate {
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
