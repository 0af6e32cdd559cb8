/**
 * One request's way to a slot, and the refusals that may end it.
 *
 * @module
 */
import type { ShardId, TicketId } from "../../ids.ts";
import type { Refusal } from "../../outcome.ts";
import type { RequestStep } from "../../request/request_status.ts";
import type { UpstreamPool } from "../../version/records.ts";
import type { LeaseRequest } from "../services.ts";
import type { LocalRequirements } from "./local_slots.ts";

const NO_UPSTREAM_RETRY_MS = 5_000;
const UNREACHABLE_RETRY_MS = 1_000;

/** How a wait is given up, and who hears of its steps. */
export interface AcquireOptions {
  signal: AbortSignal;
  onStep: (step: RequestStep) => void;
}

/** One request on its way to a slot. */
export interface SlotWait {
  request: LeaseRequest;
  options: AcquireOptions;
  ticket: TicketId;
  pool: UpstreamPool;
  rank: number;
  shard: ShardId;
  hops: number;
  /** `queued` answers so far. */
  queuedCount: number;
  /** Since when no owner has answered. */
  silentSince: number | undefined;
}

/** What the wait asks of this VM's own share. */
export function buildLocalWish(wait: SlotWait): LocalRequirements {
  const { shard, pool, rank, request } = wait;
  return { shard, pool, rank, avoid: request.avoid };
}

/** The refusal where the request's pool has nothing that may get it. */
export function buildNoUpstream(request: LeaseRequest): Refusal {
  return {
    code: "no_upstream",
    message: `No upstream of pool ${request.pool} may get the request`,
    outcome: "not_run",
    retryAfterMs: NO_UPSTREAM_RETRY_MS,
  };
}

/** The refusal where neither the owner nor this VM's own share helps. */
export function buildUnreachable(): Refusal {
  return {
    code: "owner_unreachable",
    message: "The owner of the queue does not answer, and this VM's own " +
      "share of the slots is used up",
    outcome: "not_run",
    retryAfterMs: UNREACHABLE_RETRY_MS,
  };
}

/** The refusal of a request whose caller no longer waits. */
export function buildCancelled(): Refusal {
  return {
    code: "cancelled",
    message: "The caller went away while the request waited",
    outcome: "not_run",
  };
}
