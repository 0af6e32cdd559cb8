/**
 * Chooses the replica that is predicted to begin the answer first, from loads,
 * speeds and cached parts of prompts.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { DataCentre, VmId } from "../../ids.ts";
import { pickRendezvousFirst } from "../rendezvous.ts";
import { countTokens } from "./load_totals.ts";
import type { PlacementState } from "./placement_state.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import {
  CALM_QUEUE_MS,
  hasHolders,
  listHolders,
  type SharedPart,
} from "./part_holders.ts";
import { listOnTime } from "./on_time.ts";
import type { ListedReplica } from "./replica_list.ts";
import {
  computeCallScore,
  computePromptScore,
  type ScoredPlacement,
} from "./replica_score.ts";
import { listEligible } from "./eligible_replicas.ts";
import { findFetchSource } from "./fetch_source.ts";
import {
  computeInteractiveSplit,
  type LoadedReplica,
} from "./interactive_replicas.ts";

/**
 * Prefilling a part again costs its own request and all that wait behind it, so
 * it weighs more than a wait of the same length.
 */
const BASE_PREFILL_WEIGHT = 1.5;
/**
 * Every `QUEUED_PROMPT_TOKENS` queued at the mean replica beyond a calm queue
 * count as one more prompt behind each prefill. Without this, a burst sends
 * prompts to replicas that have not cached their parts, and prefilling these
 * parts again keeps the queues long after the burst. In a pool whose parts have
 * holders, a calm queue is `CALM_QUEUE_MS`: the weight would keep prompts waiting
 * at a holder while other replicas are idle.
 */
const QUEUED_PROMPT_TOKENS = 2_000;
const CALM_QUEUE_TOKENS = 4_000;
/**
 * A prompt with this many tokens or more makes the interactive streams beside
 * it pause like any long prompt: an engine prefills about as many in one chunk.
 */
const MAX_INTERACTIVE_PROMPT_TOKENS = 4_000;
/** The same limit where the targets of the request's class are unknown. */
const MAX_SHORT_PROMPT_TOKENS = 2_000;

/** What a request needs from a replica. */
export interface PlacementNeeds {
  /** Parts of the prompt in order: the shared ones, then the unique one. */
  parts: string[];
  partTokens: number[];
  promptTokens: number;
  /** Whether `isInteractivePrompt` holds for it. */
  isInteractive: boolean;
  /**
   * Milliseconds within which the first output is wanted. Only replicas
   * predicted to begin by then are eligible; undefined where all are.
   */
  targetMs?: number | undefined;
  /** Whether it is prefilled after all prompts that can still be on time. */
  isDeferred?: boolean | undefined;
  /**
   * Of a call: only replicas that run fewer requests than this share of their
   * slots are eligible; undefined for all replicas.
   */
  maxRunningShare?: number | undefined;
}

/** Replica for a request, and the state in which the request finds it. */
export interface Placement {
  replica: ListedReplica;
  /** Uncached tokens of the prompt. */
  ownTokens: number;
  /** Prompt tokens to be prefilled there first. */
  tokensAhead: number;
  /** Uncached tokens that another replica can hand over. */
  fetchedTokens: number;
  /** Endpoint of that replica; undefined where nothing is fetched. */
  fetchFrom?: Endpoint | undefined;
  /** Requests there that have not ended, as far as is known. */
  running: number;
  /** Predicted time to first output, in milliseconds. */
  predictedMs: number;
  /** Whether it is prefilled after all prompts that can still be on time. */
  isDeferred?: boolean | undefined;
  /** VM that decided, where it was another one. */
  owner?: VmId;
}

/** State that a choice is based on. */
export interface PlacementContext {
  dataCentre: DataCentre;
  state: Pick<PlacementState, "loads" | "speeds" | "prefixes" | "prefills">;
}

/**
 * Whether a prompt begins an interactive stream, which long prompts beside it
 * would make pause. `isInteractive` says whether the request's class has
 * interactive streams; undefined where that is unknown.
 */
export function isInteractivePrompt(
  promptTokens: number,
  isInteractive: boolean | undefined,
): boolean {
  if (promptTokens === 0 || isInteractive === false) return false;
  return promptTokens <
    (isInteractive === true
      ? MAX_INTERACTIVE_PROMPT_TOKENS
      : MAX_SHORT_PROMPT_TOKENS);
}

/**
 * Chooses the cheapest of `candidates`; undefined where there are none, or none
 * that is predicted to begin the answer within the target.
 */
export function choosePlacement(
  candidates: readonly ListedReplica[],
  needs: PlacementNeeds,
  context: PlacementContext,
): Placement | undefined {
  let best: ScoredPlacement | undefined;
  for (const each of listPlacements(candidates, needs, context)) {
    if (best === undefined || each.cost < best.cost) best = each;
  }
  return best?.placement;
}

/**
 * Scores those of `candidates` that are predicted to begin the answer within
 * the target.
 */
export function listPlacements(
  candidates: readonly ListedReplica[],
  needs: PlacementNeeds,
  context: PlacementContext,
): ScoredPlacement[] {
  const loaded = candidates.map((replica) => ({
    replica,
    load: context.state.loads.getLoad(replica.id),
    prefillShare: context.state.prefills.getShare(replica.id),
  }));
  const scored = needs.promptTokens > 0
    ? computePromptScores(loaded, needs, context)
    : loaded.filter((each) => hasRoom(each, needs.maxRunningShare))
      .map((each) => computeCallScore(each, context));
  return scored.filter(({ isOnTime }) => isOnTime);
}

function hasRoom(
  { replica, load }: LoadedReplica,
  maxRunningShare = Infinity,
): boolean {
  return load.running < maxRunningShare * replica.slots;
}

function computePromptScores(
  loaded: readonly LoadedReplica[],
  needs: PlacementNeeds,
  context: PlacementContext,
): ScoredPlacement[] {
  const split = computeInteractiveSplit(loaded);
  const eligible = listEligible(loaded, needs, split);
  const { speeds } = context.state;
  const uncachedTokens = needs.partTokens.at(-1) ?? 0;
  // Which other parts a replica lacks is known only once it is scored.
  const onTime = listOnTime(
    eligible,
    { uncachedTokens, targetMs: needs.targetMs },
    speeds,
  );
  const poolSize = eligible.length;
  const part = findSharedPart(needs);
  const holders = listHolders(onTime, part, { poolSize, speeds });
  const candidates = holders.map(({ replica }) => replica);
  const preferred = findPreferredReplica(
    candidates,
    needs,
    context.state.prefixes,
  );
  const calmTokens = hasHolders(loaded.length)
    ? CALM_QUEUE_MS / speeds.typicalMsPerToken
    : CALM_QUEUE_TOKENS;
  const prefillWeight = computePrefillWeight(eligible, calmTokens);
  const source = findFetchSource(
    loaded.map(({ replica }) => replica),
    needs,
    context.state.prefixes,
  );
  return holders.map((each) =>
    computePromptScore(each, {
      needs,
      preferred,
      prefillWeight,
      split,
      source,
      context,
    })
  );
}

/** The part whose holders get the prompt; interactive streams have none. */
function findSharedPart(
  { isInteractive, parts, partTokens }: PlacementNeeds,
): SharedPart | undefined {
  const id = parts.at(-2);
  if (isInteractive || id === undefined) return undefined;
  return { id, tokens: partTokens.at(-2) ?? 0 };
}

/**
 * Replica that is assumed to have cached a prompt that no VM is known to have
 * sent. All VMs pick the same one, so that a part is prefilled once and not
 * once per VM.
 */
function findPreferredReplica(
  candidates: readonly ListedReplica[],
  needs: PlacementNeeds,
  prefixes: PrefixIndex,
): VmId | undefined {
  const key = needs.parts.at(-2) ?? needs.parts.at(-1);
  if (key === undefined || prefixes.hasPart(key)) return undefined;
  return pickRendezvousFirst(key, candidates.map((replica) => replica.id));
}

function computePrefillWeight(
  loaded: readonly LoadedReplica[],
  calmTokens: number,
): number {
  const pendingTokens = loaded.reduce(
    (sum, { load }) => sum + countTokens(load),
    0,
  );
  const meanTokens = pendingTokens / Math.max(1, loaded.length);
  const excessTokens = Math.max(0, meanTokens - calmTokens);
  return BASE_PREFILL_WEIGHT + excessTokens / QUEUED_PROMPT_TOKENS;
}
