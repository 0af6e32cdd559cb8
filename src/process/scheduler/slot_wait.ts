/**
 * The state of a request that waits for a slot, and the refusals that can end
 * the wait.
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

/** Options of an acquisition. */
export interface AcquireOptions {
  signal: AbortSignal;
  onStep: (step: RequestStep) => void;
}

/** State of one request that waits for a slot. */
export interface SlotWait {
  request: LeaseRequest;
  options: AcquireOptions;
  ticket: TicketId;
  pool: UpstreamPool;
  rank: number;
  shard: ShardId;
  forwardCount: number;
  /** Number of `queued` answers so far. */
  queuedCount: number;
  /** Start of the first call without an answer since the last answer. */
  unreachableSince: number | undefined;
}

/** Builds the requirements for a slot of the local share. */
export function buildLocalRequirements(wait: SlotWait): LocalRequirements {
  const { shard, pool, rank, request } = wait;
  return { shard, pool, rank, avoid: request.avoid };
}

/** Builds the refusal of a request that no upstream of its pool may serve. */
export function buildNoUpstreamRefusal(request: LeaseRequest): Refusal {
  return {
    code: "no_upstream",
    message: `Pool ${request.pool} has no upstream available for the request`,
    outcome: "not_run",
    retryAfterMs: NO_UPSTREAM_RETRY_MS,
  };
}

/** Builds the refusal for an unreachable owner and an exhausted local share. */
export function buildUnreachableRefusal(): Refusal {
  return {
    code: "owner_unreachable",
    message: "The owner of the queue does not answer, and this VM's local " +
      "share of the slots is used up",
    outcome: "not_run",
    retryAfterMs: UNREACHABLE_RETRY_MS,
  };
}

/** Builds the refusal of a request whose caller disconnected. */
export function buildCancelledRefusal(): Refusal {
  return {
    code: "cancelled",
    message: "The caller disconnected while the request was queued",
    outcome: "not_run",
  };
}
