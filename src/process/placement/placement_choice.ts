/**
 * Which replica should get a request: the one that would begin its answer
 * first, by what is known of loads, speeds and cached parts of prompts.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { DataCentre, VmId } from "../../ids.ts";
import { pickRendezvousFirst } from "../rendezvous.ts";
import { countTokens } from "./load_totals.ts";
import type { PlacementState } from "./placement_state.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import { listHolders } from "./part_holders.ts";
import { listOnTime } from "./on_time.ts";
import type { ListedReplica } from "./replica_list.ts";
import {
  computeCallScore,
  computePromptScore,
  type ScoredPlacement,
} from "./replica_score.ts";
import { listSuited } from "./eligible_replicas.ts";
import { findFetchSource } from "./fetch_source.ts";
import {
  computeInteractiveSplit,
  type LoadedReplica,
} from "./interactive_replicas.ts";

/**
 * Prefilling a part again costs its own request and all that wait behind it, so
 * it weighs more than a wait of the same length.
 */
const PREFILL_WEIGHT = 1.5;
/**
 * So many tokens that wait at the mean replica are one more prompt behind each
 * prefill, beyond those of a calm time. Without this a burst makes prompts go
 * where their parts are not, and the prefill of those parts again keeps the
 * queues long after the burst: with it, a third fewer tokens are read again at
 * high load.
 */
const WAITING_PROMPT_TOKENS = 2_000;
const CALM_TOKENS = 4_000;
/**
 * A prompt with more tokens makes the interactive streams beside it pause like
 * any other: an engine reads so many in about one chunk.
 */
const INTERACTIVE_PROMPT_TOKENS = 4_000;
/** The same where nothing is known of the callers' targets. */
const SHORT_PROMPT_TOKENS = 2_000;

/** What is to be placed. */
export interface PlacementNeeds {
  /** The shared and the own parts of the prompt, in order. */
  parts: string[];
  partTokens: number[];
  promptTokens: number;
  /** As `isInteractivePrompt` says of it. */
  isInteractive: boolean;
  /**
   * Milliseconds within which its first output is wanted. Only replicas will do
   * that are predicted to begin by then; undefined where any will.
   */
  targetMs?: number | undefined;
  /** Whether it goes behind all that can still be in time. */
  isDeferred?: boolean | undefined;
}

/** Where a request should go, and what it finds there. */
export interface Placement {
  replica: ListedReplica;
  /** Prompt tokens that the replica has to read for it. */
  ownTokens: number;
  /** Prompt tokens that are to be read there before it. */
  tokensAhead: number;
  /** Of its own tokens, those that another replica can hand over. */
  fetchedTokens: number;
  /** That replica's endpoint; undefined where it has nothing to hand over. */
  fetchFrom?: Endpoint | undefined;
  /** Requests that it has in hand, as far as is known. */
  running: number;
  /** Predicted time to its first output, in milliseconds. */
  predictedMs: number;
  /** Whether it goes behind all that can still be in time. */
  isDeferred?: boolean | undefined;
  /** The VM that decided, where it was another one. */
  owner?: VmId;
}

/** What the choice goes by. */
export interface PlacementKnowledge {
  dataCentre: DataCentre;
  state: Pick<PlacementState, "loads" | "speeds" | "prefixes" | "prefills">;
}

/**
 * Whether a prompt begins an interactive stream that long prompts could make
 * pause. `isInteractive` says whether its class is one of interactive streams,
 * undefined where that is not known.
 */
export function isInteractivePrompt(
  promptTokens: number,
  isInteractive: boolean | undefined,
): boolean {
  if (promptTokens === 0 || isInteractive === false) return false;
  return promptTokens <
    (isInteractive === true ? INTERACTIVE_PROMPT_TOKENS : SHORT_PROMPT_TOKENS);
}

/**
 * Chooses among `candidates`; undefined when there are none, or none that would
 * begin the answer within the target.
 */
export function choosePlacement(
  candidates: readonly ListedReplica[],
  needs: PlacementNeeds,
  knowledge: PlacementKnowledge,
): Placement | undefined {
  let best: ScoredPlacement | undefined;
  for (const each of listPlacements(candidates, needs, knowledge)) {
    if (best === undefined || each.cost < best.cost) best = each;
  }
  return best?.placement;
}

/** Where it may go, of `candidates`, to begin the answer within the target. */
export function listPlacements(
  candidates: readonly ListedReplica[],
  needs: PlacementNeeds,
  knowledge: PlacementKnowledge,
): ScoredPlacement[] {
  const loaded = candidates.map((replica) => ({
    replica,
    load: knowledge.state.loads.getLoad(replica.id),
    prefillShare: knowledge.state.prefills.getShare(replica.id),
  }));
  const scored = needs.promptTokens > 0
    ? computePromptScores(loaded, needs, knowledge)
    : loaded.map((each) => computeCallScore(each, knowledge));
  return scored.filter(({ isOnTime }) => isOnTime);
}

function computePromptScores(
  loaded: readonly LoadedReplica[],
  needs: PlacementNeeds,
  knowledge: PlacementKnowledge,
): ScoredPlacement[] {
  const split = computeInteractiveSplit(loaded);
  const suited = listSuited(loaded, needs, split);
  const { speeds } = knowledge.state;
  const ownTokens = needs.partTokens.at(-1) ?? 0;
  // What else a replica would have to read is known only once it is weighed.
  const inTime = listOnTime(
    suited,
    { ownTokens, targetMs: needs.targetMs },
    speeds,
  );
  const part = needs.isInteractive ? undefined : needs.parts.at(-2);
  const holders = listHolders(inTime, part, suited.length);
  const candidates = holders.map(({ replica }) => replica);
  const preferred = findPreferred(candidates, needs, knowledge.state.prefixes);
  const prefillWeight = computePrefillWeight(suited);
  const source = findFetchSource(
    loaded.map(({ replica }) => replica),
    needs,
    knowledge.state.prefixes,
  );
  return holders.map((each) =>
    computePromptScore(each, {
      needs,
      preferred,
      prefillWeight,
      split,
      source,
      knowledge,
    })
  );
}

/**
 * The replica that is taken to hold a prompt that nobody was seen to send:
 * every VM picks the same one, so that a part is read once and not once a VM.
 */
function findPreferred(
  candidates: readonly ListedReplica[],
  needs: PlacementNeeds,
  prefixes: PrefixIndex,
): VmId | undefined {
  const key = needs.parts.at(-2) ?? needs.parts.at(-1);
  if (key === undefined || prefixes.hasPart(key)) return undefined;
  return pickRendezvousFirst(key, candidates.map((replica) => replica.id));
}

function computePrefillWeight(loaded: readonly LoadedReplica[]): number {
  const pendingTokens = loaded.reduce(
    (sum, { load }) => sum + countTokens(load),
    0,
  );
  const meanTokens = pendingTokens / Math.max(1, loaded.length);
  const waitingTokens = Math.max(0, meanTokens - CALM_TOKENS);
  return PREFILL_WEIGHT + waitingTokens / WAITING_PROMPT_TOKENS;
}
