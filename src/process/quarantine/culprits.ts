/**
 * Decides which parts crash replicas, and which were only there.
 *
 * A part that crashes replicas is in all crashes that it causes; a sound one is
 * at a replica that crashes by chance, the less likely the more replicas there
 * are. A part is held once chance explains its crashes no more. The crashes of
 * a held part are evidence against no other one.
 *
 * @module
 */
import type { Incarnation, PartKey, PoolName } from "../../ids.ts";
import {
  listSuccessive,
  type PartCrash,
  type PartEvidence,
} from "./part_evidence.ts";

/** Probability that any sound part of a crash is held. */
const MAX_ERROR = 0.1;
/**
 * Share of replicas that run a request with a part that was answered lately: it
 * may be a popular one.
 */
const POPULAR_SHARE = 0.35;
/** With fewer replicas left, sound work meets crashes too often to tell. */
const MIN_REPLICAS = 8;
/** Probability that one request is cut off again when it is retried. */
const RETRY_SHARE = 0.3;
/**
 * Time after the second crash in which other VMs may tell that they had an
 * answer to the part.
 */
export const OBJECTION_MS = 100;
/** Successive crashes without which no part is held. */
const MIN_CRASHES = 3;
/**
 * Requests of these crashes: two bad requests that are retried crash as many
 * replicas, and what they share need not be bad.
 */
const MIN_REQUESTS = 3;
/** Successive crashes from which on it counts no more how many requests it were. */
const MIN_REPEATED_CRASHES = 5;
/**
 * Successive crashes from which on it counts that no request with the part was
 * answered in all that time, whatever other crashes there were.
 */
const MIN_UNANSWERED_CRASHES = 5;
/** Probability up to which such a part is held on trial. */
const MAX_TRIAL_ERROR = 1;
/**
 * A part is held only if each other part that explains most of its crashes is
 * less likely by this factor: requests that were retried together crash together.
 */
const RIVAL_FACTOR = 5;

/** A crash of a replica that ran requests with shared parts. */
export interface PoolCrash {
  pool: PoolName;
  /** As `Clock.now()`. */
  at: number;
  /** Number of parts whose requests it cut off. */
  parts: number;
}

/** Parts that must not be sent together. */
export interface Culprit {
  part: PartKey;
  /**
   * Parts that came with it each time and that no answer has cleared. Requests
   * without all of them are not held.
   */
  company: PartKey[];
  /** Replicas that crashed under it. */
  crashes: PartCrash[];
  /** Whether it is held until a request can show whether it is sound. */
  isOnTrial: boolean;
}

/** How likely it is that chance explains the crashes under a part. */
export interface Chance {
  /** Its crashes after the first one. */
  hits: number;
  /** Other crashes of the pool in that time. */
  misses: number;
  /** Assumed share of the replicas that run a request with it. */
  share: number;
  /** Probability that some sound part of the first crash is at so many. */
  error: number;
  /** Whether a sound part would have been answered meanwhile. */
  isAnswerDue: boolean;
}

/** A part that was in several crashes and is not held. */
export interface Unproven extends Chance {
  part: PartKey;
  /** Crashes since its last complete answer. */
  crashes: number;
  /** Whether another part explains most of its crashes as well. */
  hasRival: boolean;
}

/** What the decision is based on. */
export interface CulpritEvidence {
  /** As `Clock.now()`. */
  now: number;
  evidence: ReadonlyMap<PartKey, PartEvidence>;
  crashes: ReadonlyMap<Incarnation, PoolCrash>;
  /** See `PoolOutcomes`; `since` is as `Clock.now()`. */
  computeCutOffShare: (pool: PoolName, since: number) => number;
}

interface Candidate extends Omit<Culprit, "isOnTrial"> {
  evidence: PartEvidence;
  /** Crashes of requests that were each sent after the crash before. */
  successive: PartCrash[];
  chance: Chance;
}

/** Lists the parts to hold, the most certain one first. */
export function listCulprits(context: CulpritEvidence): Culprit[] {
  const explained = new Set<Incarnation>();
  const culprits: Culprit[] = [];
  let candidates = listCandidates(context);
  while (true) {
    const first = candidates.toSorted(compareCandidates)
      .find((each) => isCertain(each, candidates, context));
    if (first === undefined) return culprits;
    const { part, company, crashes, chance } = first;
    const isOnTrial = chance.error > MAX_ERROR;
    culprits.push({ part, company, crashes, isOnTrial });
    crashes.forEach(({ replica }) => explained.add(replica));
    candidates = candidates
      .map((each) => dropExplained(each, explained, context))
      .filter(({ successive }) => successive.length > 1);
  }
}

/** Lists the parts that were in enough crashes and that `held` does not name. */
export function listUnproven(
  context: CulpritEvidence,
  held: readonly Culprit[],
): Unproven[] {
  const isHeld = (each: PartKey) =>
    held.some(({ part, company }) => part === each || company.includes(each));
  const candidates = listCandidates(context);
  return candidates
    .filter(({ part, crashes }) =>
      crashes.length >= MIN_CRASHES && !isHeld(part)
    )
    .map((each) => ({
      part: each.part,
      crashes: each.crashes.length,
      hasRival: hasRival(each, candidates),
      ...each.chance,
    }));
}

/** The parts that came with it each time and that no answer has cleared. */
export function listCompany(
  each: PartEvidence,
  evidence: ReadonlyMap<PartKey, PartEvidence>,
): PartKey[] {
  const [first] = each.listCrashes();
  if (first === undefined) return [];
  return [...each.company].filter((part) =>
    (evidence.get(part)?.answeredAt ?? -Infinity) < first.at
  );
}

/** Parts that were in two successive crashes at least. */
function listCandidates(context: CulpritEvidence): Candidate[] {
  const candidates: Candidate[] = [];
  for (const evidence of context.evidence.values()) {
    if (evidence.size < 2) continue;
    const crashes = evidence.listCrashes();
    const successive = listSuccessive(crashes);
    if (successive.length < 2) continue;
    const candidate = {
      part: evidence.part,
      company: listCompany(evidence, context.evidence),
      crashes,
      evidence,
      successive,
    };
    const chance = computeChance(candidate, new Set(), context);
    candidates.push({ ...candidate, chance });
  }
  return candidates;
}

function dropExplained(
  candidate: Candidate,
  explained: ReadonlySet<Incarnation>,
  context: CulpritEvidence,
): Candidate {
  const crashes = candidate.crashes
    .filter(({ replica }) => !explained.has(replica));
  const left = { ...candidate, crashes, successive: listSuccessive(crashes) };
  if (left.successive.length < 2) return left;
  return { ...left, chance: computeChance(left, explained, context) };
}

/** Whether neither chance nor another part explains its crashes as well. */
function isCertain(
  candidate: Candidate,
  candidates: readonly Candidate[],
  { now }: CulpritEvidence,
): boolean {
  const { crashes, successive, chance } = candidate;
  if (successive.length < MIN_CRASHES) return false;
  const requests = new Set(successive.map(({ request }) => request));
  const isRepeated = requests.size < MIN_REQUESTS;
  if (isRepeated && successive.length < MIN_REPEATED_CRASHES) return false;
  const { error, isAnswerDue } = chance;
  const canTry = isAnswerDue && successive.length >= MIN_UNANSWERED_CRASHES;
  if (error > (canTry ? MAX_TRIAL_ERROR : MAX_ERROR)) return false;
  if (now - crashes[1]!.at < OBJECTION_MS) return false;
  return !hasRival(candidate, candidates);
}

/** Whether another part, not much less likely, explains most of its crashes. */
function hasRival(
  { part, company, crashes, chance }: Candidate,
  candidates: readonly Candidate[],
): boolean {
  const replicas = new Set(crashes.map(({ replica }) => replica));
  return candidates.some((other) => {
    if (other.chance.error >= RIVAL_FACTOR * chance.error) return false;
    if (other.part === part || company.includes(other.part)) return false;
    const shared = other.crashes.filter(({ replica }) => replicas.has(replica));
    return 2 * shared.length > crashes.length;
  });
}

/**
 * Probability that some sound part of the first crash is at as many of the later
 * ones.
 */
function computeChance(
  { evidence, crashes, successive }: Omit<Candidate, "chance">,
  explained: ReadonlySet<Incarnation>,
  { crashes: all, computeCutOffShare }: CulpritEvidence,
): Chance {
  const { pool } = evidence;
  const first = successive[0]!;
  const last = successive.at(-1)!;
  const own = new Set(crashes.map(({ replica }) => replica));
  let misses = 0;
  for (const [replica, crash] of all) {
    const isBetween = crash.at > first.at && crash.at < last.at;
    if (!isBetween || crash.pool !== pool) continue;
    if (!own.has(replica) && !explained.has(replica)) misses += 1;
  }
  const share = evidence.hasAnswerBefore(first)
    ? POPULAR_SHARE
    : 1 / Math.max(MIN_REPLICAS, ...crashes.map(({ replicas }) => replicas));
  const hits = successive.length - 1;
  const accused = all.get(first.replica)?.parts ?? 1;
  const requests = new Set([first.request]);
  let error = accused * countChoices(hits + misses, hits);
  for (const { request } of successive.slice(1)) {
    error *= requests.has(request) ? Math.max(share, RETRY_SHARE) : share;
    requests.add(request);
  }
  const cutOffShare = computeCutOffShare(pool, first.at);
  if (successive.length >= MIN_UNANSWERED_CRASHES) {
    error = Math.min(error, accused * cutOffShare ** hits);
  }
  return { hits, misses, share, error, isAnswerDue: cutOffShare < 1 };
}

/** Number of ways to choose `count` of `total`. */
function countChoices(total: number, count: number): number {
  let choices = 1;
  for (let each = 1; each <= count; each++) {
    choices *= (total - count + each) / each;
  }
  return choices;
}

/** The least likely chance first; then the one that holds least. */
function compareCandidates(left: Candidate, right: Candidate): number {
  return left.chance.error - right.chance.error ||
    right.company.length - left.company.length ||
    (left.part < right.part ? -1 : 1);
}
