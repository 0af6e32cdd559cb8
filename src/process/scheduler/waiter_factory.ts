/**
 * Builds queue entries from acquire calls, with class, tier and estimates.
 *
 * @module
 */
import { type ClassName, toId, type WorkspaceName } from "../../ids.ts";
import type { RequestClass, Snapshot } from "../../version/records.ts";
import type { AcquireCall } from "../peer_api.ts";
import type { LengthEstimate, OutputLengths } from "./output_lengths.ts";
import type { ServiceTimeEstimate, ServiceTimes } from "./service_times.ts";
import type { Waiter } from "./waiter.ts";

/** Rank of a class or tier that this VM's configuration does not have yet. */
export const UNKNOWN_RANK = 1_000;
/** Cost of prefilling a prompt token relative to generating a token. */
export const PROMPT_TOKEN_COST = 0.1;
/** A request is long above this multiple of the shortest class's slot time. */
const LONG_REQUEST_RATIO = 4;
/** How long a class's slot time is used after its last request. */
const CLASS_TTL_MS = 60_000;
/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.05;
const UNKNOWN_CLASS_MAX_WAIT_MS = 60_000;
const UNKNOWN_CLASS_QUEUE_LIMIT = 64;

/** The members of a call that its size estimate depends on. */
export interface SizedCall {
  className: ClassName;
  workspace: WorkspaceName;
  model: string | undefined;
  maxTokens: number;
  /** Tokens that were generated before the stream broke or was preempted. */
  doneTokens: number;
}

/** Expected output length and service time of a request. */
export interface SizeEstimate {
  length: LengthEstimate;
  service: ServiceTimeEstimate;
  /** Whether it is reliable enough to refuse a request on. */
  learnt: boolean;
}

/** Builds waiters and estimates their size. */
export class WaiterFactory {
  readonly #getSnapshot: () => Snapshot | undefined;
  readonly #lengths: OutputLengths;
  readonly #serviceTimes: ServiceTimes;
  #nextSequence = 0;
  #meanSlotMs: number | undefined;
  readonly #slotTimesByClass = new Map<
    ClassName,
    { slotMs: number; at: number }
  >();

  constructor(
    getSnapshot: () => Snapshot | undefined,
    learnt: { lengths: OutputLengths; serviceTimes: ServiceTimes },
  ) {
    this.#getSnapshot = getSnapshot;
    this.#lengths = learnt.lengths;
    this.#serviceTimes = learnt.serviceTimes;
  }

  static create(
    getSnapshot: () => Snapshot | undefined,
    learnt: { lengths: OutputLengths; serviceTimes: ServiceTimes },
  ): WaiterFactory {
    return new WaiterFactory(getSnapshot, learnt);
  }

  /** Moving average of the requests' expected slot time, in milliseconds. */
  get meanSlotMs(): number {
    return this.#meanSlotMs ?? 1_000;
  }

  findClass(call: Pick<AcquireCall, "className">): RequestClass | undefined {
    return this.#getSnapshot()?.classes.get(call.className);
  }

  getRank(requestClass: RequestClass): number {
    const tier = this.#getSnapshot()?.tiers.get(requestClass.tier);
    return tier?.rank ?? UNKNOWN_RANK;
  }

  getWeight(workspace: WorkspaceName): number {
    const weight = this.#getSnapshot()?.workspaces.get(workspace)?.weight;
    return weight === undefined || weight <= 0 ? 1 : weight;
  }

  /** Estimates the output length and service time of a request. */
  computeSize(
    call: SizedCall,
    options: { requestClass: RequestClass; now: number },
  ): SizeEstimate {
    const { requestClass, now } = options;
    const length = this.#lengths.computeEstimate({
      requestClass,
      workspace: call.workspace,
      maxTokens: call.maxTokens,
      doneTokens: call.doneTokens,
    });
    const hasTokens = call.model !== undefined;
    const service = this.#serviceTimes.computeEstimate(requestClass, {
      tokens: Math.max(1, length.tokens - call.doneTokens),
      hasTokens,
      now,
    });
    const learnt = service.learnt && (length.learnt || !hasTokens);
    return { length, service, learnt };
  }

  build(call: AcquireCall, now: number): Waiter {
    const requestClass = this.findClass(call) ?? buildUnknownClass(call);
    const size = this.computeSize(call, { requestClass, now });
    const arrivedAt = now - call.ageMs;
    const deadlineAt = now + call.deadlineInMs;
    const slotMs = Math.max(1, size.service.totalMs);
    const startBy = computeStartBy(call, { requestClass, size, now });
    this.#noteSlotMs(call.className, { slotMs, now });
    // The caller of a resumed stream already has part of the answer. Dropping
    // the request would waste that part, so it waits without a time limit.
    const isResumed = call.doneTokens > 0;
    return {
      ticket: call.ticket,
      className: call.className,
      workspace: call.workspace,
      modelKey: call.model ?? "",
      rank: this.getRank(requestClass),
      requestClass,
      weight: this.getWeight(call.workspace),
      arrivedAt,
      sequence: this.#nextSequence++,
      startBy,
      dropAt: isResumed || requestClass.lateIsUseful
        ? Infinity
        : computeDropAt(call, { requestClass, size, now, startBy }),
      isResumed,
      cost: computeCost(call, size),
      isCostLearnt: size.length.learnt || call.model === undefined,
      slotMs,
      call,
      deadlineAt,
      isLong: slotMs > LONG_REQUEST_RATIO * this.#findShortestSlotMs(now),
      isPromoted: false,
      unservedSince: undefined,
      renewBy: 0,
      answer: undefined,
    };
  }

  #noteSlotMs(
    className: ClassName,
    sample: { slotMs: number; now: number },
  ): void {
    const { slotMs, now } = sample;
    this.#meanSlotMs = updateMean(this.#meanSlotMs, slotMs);
    const previous = this.#slotTimesByClass.get(className);
    this.#slotTimesByClass.set(className, {
      slotMs: updateMean(previous?.slotMs, slotMs),
      at: now,
    });
  }

  /**
   * Returns the mean slot time of the class with the shortest requests. A mean
   * over all classes would rise with a burst of long requests until none of
   * them counted as long.
   */
  #findShortestSlotMs(now: number): number {
    let shortest = Infinity;
    for (const { slotMs, at } of this.#slotTimesByClass.values()) {
      if (now - at <= CLASS_TTL_MS) shortest = Math.min(shortest, slotMs);
    }
    return shortest;
  }
}

function updateMean(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
}

/**
 * Returns the latest start that meets both the first-token and the total
 * target. A resumed stream has had its first token; the first-token target then
 * applies to the next token, counted from now.
 */
function computeStartBy(
  call: AcquireCall,
  options: { requestClass: RequestClass; size: SizeEstimate; now: number },
): number {
  const { requestClass, size, now } = options;
  const countedFrom = call.doneTokens > 0 ? now : now - call.ageMs;
  const forFirstToken = countedFrom + requestClass.targets.firstTokenMs -
    size.service.firstTokenMs;
  const forTotal = now + call.deadlineInMs - size.service.totalMs;
  return Math.min(forFirstToken, forTotal);
}

/**
 * Returns the time from which an answer misses a target and is useless. Uses
 * the targets alone while the estimates are not learnt: they could drop
 * requests that would still be in time.
 */
function computeDropAt(
  call: AcquireCall,
  options: {
    requestClass: RequestClass;
    size: SizeEstimate;
    now: number;
    startBy: number;
  },
): number {
  const { requestClass, size, now, startBy } = options;
  if (size.learnt) return startBy;
  const forFirstToken = now - call.ageMs + requestClass.targets.firstTokenMs;
  return Math.min(forFirstToken, now + call.deadlineInMs);
}

function computeCost(call: AcquireCall, size: SizeEstimate): number {
  if (call.model === undefined) return 1;
  const tokens = Math.max(1, size.length.tokens - call.doneTokens);
  return tokens + PROMPT_TOKEN_COST * call.promptTokens;
}

/**
 * Builds a stand-in for a class that is newer than this VM's configuration. A
 * VM that has the class admitted the request, so instead of failing it waits
 * below all known tiers.
 */
function buildUnknownClass(call: AcquireCall): RequestClass {
  return {
    kind: "request_class",
    name: call.className,
    tier: toId(""),
    targets: {
      firstTokenMs: Math.max(1, call.deadlineInMs),
      betweenTokensMs: 1_000,
      totalMs: Math.max(1, call.deadlineInMs),
    },
    lateIsUseful: true,
    idempotent: call.idempotent,
    minShare: 0,
    maxWaitMs: UNKNOWN_CLASS_MAX_WAIT_MS,
    queueLimit: UNKNOWN_CLASS_QUEUE_LIMIT,
    maxOutputTokens: call.maxTokens,
    objective: 0,
  };
}
