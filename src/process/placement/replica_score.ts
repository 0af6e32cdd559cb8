/**
 * Cost of sending a request to a replica, from loads, speeds and cached parts
 * of prompts.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import {
  computeFetchedTokens,
  computeTotalTokens,
  type FetchSource,
} from "./fetch_source.ts";
import {
  type InteractiveSplit,
  type LoadedReplica,
  NO_SPLIT,
} from "./interactive_replicas.ts";
import { countTokens } from "./load_totals.ts";
import { isOnTime } from "./on_time.ts";
import { computePauseCostMs } from "./pause_cost.ts";
import type {
  Placement,
  PlacementContext,
  PlacementNeeds,
} from "./placement_choice.ts";
import type { ListedReplica } from "./replica_list.ts";

/** How much one more running request slows down the others. */
const RUNNING_REQUEST_COST_MS = 0.5;
/**
 * Beyond this share of its slots a replica counts as crowded: requests that
 * other VMs are sending at the same moment are not known yet.
 */
const CROWDED_SHARE = 0.7;
/**
 * Cost of a fetched token against that of a prefilled one. A fetch delays no
 * other request: the engine goes on meanwhile.
 */
const FETCH_WEIGHT = 0.25;
/**
 * Duration of a stream of some hundred tokens beside others: a full replica
 * frees one of its slots every `TYPICAL_STREAM_MS / slots`.
 */
const TYPICAL_STREAM_MS = 5_000;
/** A full replica of a plain service costs as much as one this much slower. */
const FULL_REPLICA_COST_MS = 100;
/**
 * Approximate one-way latency between data centres; also stands for the price
 * of the traffic.
 */
const CROSS_DATA_CENTRE_MS = 2;

/** A replica that a request may be sent to. */
export interface ScoredPlacement {
  placement: Placement;
  /** In milliseconds; the lowest is chosen. */
  cost: number;
  /** Whether the first output is predicted within the target. */
  isOnTime: boolean;
}

/** Scores a replica for a prompt. */
export function computePromptScore(
  each: LoadedReplica,
  inputs: {
    needs: PlacementNeeds;
    preferred: VmId | undefined;
    prefillWeight: number;
    split: InteractiveSplit;
    source: FetchSource | undefined;
    context: PlacementContext;
  },
): ScoredPlacement {
  const { replica, load } = each;
  const { needs, preferred, prefillWeight, split, source, context } = inputs;
  const msPerToken = context.state.speeds.getMsPerToken(replica.id);
  const cachedParts = context.state.prefixes.countCached(
    replica.id,
    needs.parts,
  );
  const cachedTokens = computeTotalTokens(
    needs.partTokens.slice(0, cachedParts),
  );
  const ownTokens = Math.max(0, needs.promptTokens - cachedTokens);
  const isPreferred = preferred === replica.id;
  const fetchedTokens = computeFetchedTokens(source, replica.id, cachedTokens);
  const prefillTokens = ownTokens - fetchedTokens;
  const chargedTokens = isPreferred
    ? needs.partTokens.at(-1) ?? ownTokens
    : prefillTokens;
  const tokensAhead = needs.isDeferred ? countTokens(load) : load.pendingTokens;
  const waitMs = tokensAhead * msPerToken;
  const chargedMs = chargedTokens * msPerToken;
  const fetchMs = FETCH_WEIGHT * fetchedTokens * msPerToken;
  const prefillMs = (ownTokens - fetchedTokens) * msPerToken;
  const pauseMs = isReservedFor(replica.id, needs, split)
    ? 0
    : computePauseCostMs(each, needs.isInteractive, chargedMs);
  const cost = waitMs + prefillWeight * chargedMs + fetchMs + pauseMs +
    RUNNING_REQUEST_COST_MS * load.running + computeCrowdingMs(each) +
    computeDistanceMs(replica, context);
  return {
    placement: {
      replica,
      ownTokens,
      tokensAhead,
      fetchedTokens,
      fetchFrom: fetchedTokens > 0 ? source?.endpoint : undefined,
      running: load.running,
      predictedMs: waitMs + prefillMs,
    },
    cost,
    isOnTime: needs.targetMs === undefined ||
      isOnTime({ waitMs, prefillMs }, needs.targetMs),
  };
}

/** Whether the request runs only beside requests of its own kind there. */
function isReservedFor(
  replica: VmId,
  { isInteractive }: PlacementNeeds,
  split: InteractiveSplit,
): boolean {
  if (split === NO_SPLIT) return false;
  return !isInteractive || split.forInteractive.has(replica);
}

/** Scores a replica for a call without a prompt. */
export function computeCallScore(
  { replica, load }: LoadedReplica,
  context: PlacementContext,
): ScoredPlacement {
  const cost = FULL_REPLICA_COST_MS * load.running / replica.slots +
    computeDistanceMs(replica, context);
  return {
    placement: {
      replica,
      ownTokens: 0,
      tokensAhead: 0,
      fetchedTokens: 0,
      running: load.running,
      predictedMs: 0,
    },
    cost,
    isOnTime: true,
  };
}

/**
 * Cost of requests beyond the crowded share, in milliseconds: each waits for
 * one more running request to end. When a replica crashes, all its streams look
 * for another one at once; without this cost, all would choose the same one,
 * and most would wait there for a slot or be rejected.
 */
function computeCrowdingMs({ replica, load }: LoadedReplica): number {
  const excess = load.running - CROWDED_SHARE * replica.slots;
  return Math.max(0, excess) * TYPICAL_STREAM_MS / replica.slots;
}

function computeDistanceMs(
  replica: ListedReplica,
  context: PlacementContext,
): number {
  return replica.dataCentre === context.dataCentre ? 0 : CROSS_DATA_CENTRE_MS;
}
