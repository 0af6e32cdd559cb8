/**
 * Finds a replica from which others can fetch the cached parts of a prompt.
 *
 * Fetching cached parts over the links between replicas takes a tenth of the
 * time that prefilling them does. Under overload this lets a prompt go to an
 * idle replica without prefilling its shared parts again, which would lengthen
 * all queues.
 *
 * @module
 */
import { type Endpoint, formatEndpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { ListedReplica } from "./replica_list.ts";

/**
 * Fewer tokens are prefilled in the time that it takes to set up a transfer.
 */
const MIN_FETCHED_TOKENS = 1_000;

/** Parts of a prompt, in order. */
export interface PromptParts {
  parts: readonly string[];
  partTokens: readonly number[];
}

/** The replica that has prefilled most of a prompt. */
export interface FetchSource {
  replica: VmId;
  endpoint: Endpoint;
  /** Tokens that it has cached, from the start of the prompt. */
  cachedTokens: number;
}

/**
 * Finds the replica that has prefilled most of a prompt; undefined where none
 * has prefilled enough. The last part of a prompt is unique to it, so only the
 * shared parts are looked up.
 */
export function findFetchSource(
  replicas: readonly ListedReplica[],
  { parts, partTokens }: PromptParts,
  prefixes: PrefixIndex,
): FetchSource | undefined {
  const shared = parts.slice(0, -1);
  let best: FetchSource | undefined;
  for (const replica of replicas) {
    const count = prefixes.countPrefilled(replica.id, shared);
    const cachedTokens = computeTotalTokens(partTokens.slice(0, count));
    if (cachedTokens < MIN_FETCHED_TOKENS) continue;
    if (best !== undefined && best.cachedTokens >= cachedTokens) continue;
    const endpoint = formatEndpoint(replica);
    best = { replica: replica.id, endpoint, cachedTokens };
  }
  return best;
}

/** Tokens that `replica` would fetch, given those that it has cached itself. */
export function computeFetchedTokens(
  source: FetchSource | undefined,
  replica: VmId,
  ownCachedTokens: number,
): number {
  if (source === undefined || source.replica === replica) return 0;
  const tokens = source.cachedTokens - ownCachedTokens;
  return tokens < MIN_FETCHED_TOKENS ? 0 : tokens;
}

/** Sum of the tokens of some parts. */
export function computeTotalTokens(partTokens: readonly number[]): number {
  return partTokens.reduce((sum, tokens) => sum + tokens, 0);
}
