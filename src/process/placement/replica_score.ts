/**
 * What it costs to send a request to one replica, by what is known of loads,
 * speeds and cached parts of prompts.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import {
  computeFetched,
  computeTokens,
  type FetchSource,
} from "./fetch_source.ts";
import {
  type InteractiveSplit,
  type LoadedReplica,
  NO_SPLIT,
} from "./interactive_replicas.ts";
import { countTokens } from "./load_totals.ts";
import { isOnTime } from "./on_time.ts";
import { computePauses } from "./pause_cost.ts";
import type {
  Placement,
  PlacementKnowledge,
  PlacementNeeds,
} from "./placement_choice.ts";
import type { ListedReplica } from "./replica_list.ts";

/** One more running request slows the others by about so much, in ms. */
const RUNNING_MS = 0.5;
/**
 * Beyond this share of its slots a replica counts as filling up: what other
 * VMs send at the same moment is not known yet.
 */
const FILLING_SHARE = 0.7;
/**
 * A token that another replica hands over takes about so much of the time of
 * one that is read, and holds nobody up: the engine goes on meanwhile.
 */
const FETCH_WEIGHT = 0.25;
/**
 * A stream of some hundred tokens lasts so long beside others, in milliseconds:
 * a replica whose slots are full frees one each so many milliseconds by slots.
 */
const LONG_RUN_MS = 5_000;
/** A full plain replica is as good as one so many milliseconds slower. */
const FULL_MS = 100;
/** Each way between data centres, about; also worth its price in bytes. */
const OTHER_DATA_CENTRE_MS = 2;

/** A replica that a request might go to. */
export interface ScoredPlacement {
  placement: Placement;
  /** In milliseconds; the least is chosen. */
  cost: number;
  /** Whether its first output is predicted within the target. */
  isOnTime: boolean;
}

/** What a prompt would find at a replica, and what it would cost there. */
export function computePromptScore(
  each: LoadedReplica,
  context: {
    needs: PlacementNeeds;
    preferred: VmId | undefined;
    prefillWeight: number;
    split: InteractiveSplit;
    source: FetchSource | undefined;
    knowledge: PlacementKnowledge;
  },
): ScoredPlacement {
  const { replica, load } = each;
  const { needs, preferred, prefillWeight, split, source, knowledge } = context;
  const msPerToken = knowledge.state.speeds.getMsPerToken(replica.id);
  const held = knowledge.state.prefixes.countHeld(replica.id, needs.parts);
  const heldTokens = computeTokens(needs.partTokens.slice(0, held));
  const ownTokens = Math.max(0, needs.promptTokens - heldTokens);
  const isPreferred = preferred === replica.id;
  const fetchedTokens = computeFetched(source, replica.id, heldTokens);
  const toRead = ownTokens - fetchedTokens;
  const readTokens = isPreferred
    ? needs.partTokens.at(-1) ?? ownTokens
    : toRead;
  const tokensAhead = needs.isDeferred ? countTokens(load) : load.pendingTokens;
  const waitMs = tokensAhead * msPerToken;
  const prefillMs = readTokens * msPerToken;
  const fetchMs = FETCH_WEIGHT * fetchedTokens * msPerToken;
  const ownMs = (ownTokens - fetchedTokens) * msPerToken;
  const pauseMs = isKeptFor(replica.id, needs, split)
    ? 0
    : computePauses(each, needs.isInteractive, prefillMs);
  const cost = waitMs + prefillWeight * prefillMs + fetchMs + pauseMs +
    RUNNING_MS * load.running + computeFilling(each) +
    computeDistance(replica, knowledge);
  return {
    placement: {
      replica,
      ownTokens,
      tokensAhead,
      fetchedTokens,
      fetchFrom: fetchedTokens > 0 ? source?.endpoint : undefined,
      running: load.running,
      predictedMs: waitMs + ownMs,
    },
    cost,
    isOnTime: needs.targetMs === undefined ||
      isOnTime({ waitMs, ownMs }, needs.targetMs),
  };
}

/** Whether what is placed there runs beside its like alone. */
function isKeptFor(
  replica: VmId,
  { isInteractive }: PlacementNeeds,
  split: InteractiveSplit,
): boolean {
  if (split === NO_SPLIT) return false;
  return !isInteractive || split.forInteractive.has(replica);
}

/** The same of a call without a prompt. */
export function computeCallScore(
  { replica, load }: LoadedReplica,
  knowledge: PlacementKnowledge,
): ScoredPlacement {
  const cost = FULL_MS * load.running / replica.slots +
    computeDistance(replica, knowledge);
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
 * What requests beyond the filling share cost, in milliseconds: each waits for
 * one more run to end. When a replica crashes all its streams look for another
 * one at once; without this all would choose the same, and most would wait
 * there for a slot or be turned away.
 */
function computeFilling({ replica, load }: LoadedReplica): number {
  const beyond = load.running - FILLING_SHARE * replica.slots;
  return Math.max(0, beyond) * LONG_RUN_MS / replica.slots;
}

function computeDistance(
  replica: ListedReplica,
  knowledge: PlacementKnowledge,
): number {
  return replica.dataCentre === knowledge.dataCentre ? 0 : OTHER_DATA_CENTRE_MS;
}
