/**
 * Makes a queue entry of an acquire call: class, tier and expected times.
 *
 * @module
 */
import { type ClassName, toId, type WorkspaceName } from "../../ids.ts";
import type { RequestClass, Snapshot } from "../../version/records.ts";
import type { AcquireCall } from "../peer_api.ts";
import type { LengthGuess, OutputLengths } from "./output_lengths.ts";
import type { ServiceGuess, ServiceTimes } from "./service_times.ts";
import type { Waiter } from "./waiter.ts";

/** Rank of a class that this VM's configuration does not have yet. */
export const UNKNOWN_RANK = 1_000;
/** Price of reading a prompt token against generating one. */
export const PROMPT_TOKEN_COST = 0.1;
/** Times the mean slot time of the shortest class that makes it a long one. */
const LONG_RATIO = 4;
/** How long a class counts as present after its last request. */
const CLASS_LIFE_MS = 60_000;
const MEAN_WEIGHT = 0.05;
const UNKNOWN_CLASS_WAIT_MS = 60_000;
const UNKNOWN_CLASS_QUEUE = 64;

/** What the size of a request depends on. */
export interface SizedCall {
  className: ClassName;
  workspace: WorkspaceName;
  model: string | undefined;
  maxTokens: number;
  doneTokens: number;
}

/** The expected size of a request. */
export interface SizeGuess {
  length: LengthGuess;
  service: ServiceGuess;
  /** Whether a refusal may rest on it. */
  learnt: boolean;
}

/** Builds waiters and guesses their size. */
export class WaiterFactory {
  readonly #getSnapshot: () => Snapshot | undefined;
  readonly #lengths: OutputLengths;
  readonly #speed: ServiceTimes;
  #order = 0;
  #meanSlotMs: number | undefined;
  readonly #classes = new Map<ClassName, { slotMs: number; at: number }>();

  constructor(
    getSnapshot: () => Snapshot | undefined,
    learnt: { lengths: OutputLengths; speed: ServiceTimes },
  ) {
    this.#getSnapshot = getSnapshot;
    this.#lengths = learnt.lengths;
    this.#speed = learnt.speed;
  }

  static create(
    getSnapshot: () => Snapshot | undefined,
    learnt: { lengths: OutputLengths; speed: ServiceTimes },
  ): WaiterFactory {
    return new WaiterFactory(getSnapshot, learnt);
  }

  /** Mean expected time in a slot over the requests that came. */
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

  /** The expected length and time of a request. */
  computeSize(
    call: SizedCall,
    options: { requestClass: RequestClass; now: number },
  ): SizeGuess {
    const { requestClass, now } = options;
    const length = this.#lengths.computeGuess({
      requestClass,
      workspace: call.workspace,
      maxTokens: call.maxTokens,
      doneTokens: call.doneTokens,
    });
    const hasTokens = call.model !== undefined;
    const service = this.#speed.computeGuess(requestClass, {
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
    // The caller of a started stream has a part of its answer: giving up would
    // waste that part, so it waits however late it is.
    const wasStarted = call.doneTokens > 0;
    return {
      ticket: call.ticket,
      className: call.className,
      workspace: call.workspace,
      modelKey: call.model ?? "",
      rank: this.getRank(requestClass),
      requestClass,
      weight: this.getWeight(call.workspace),
      arrivedAt,
      sequence: this.#order++,
      startBy,
      dropAt: wasStarted || requestClass.lateIsUseful
        ? Infinity
        : computeGiveUp(call, { requestClass, size, now, startBy }),
      isResumed: wasStarted,
      cost: computeCost(call, size),
      isCostLearnt: size.length.learnt || call.model === undefined,
      slotMs,
      call,
      deadlineAt,
      isLong: slotMs > LONG_RATIO * this.#findShortest(now),
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
    this.#meanSlotMs = mergeSample(this.#meanSlotMs, slotMs);
    const known = this.#classes.get(className);
    this.#classes.set(className, {
      slotMs: mergeSample(known?.slotMs, slotMs),
      at: now,
    });
  }

  /**
   * The mean slot time of the class with the shortest requests. A mean over
   * all would rise with a burst of long ones, until none of them counted as
   * long any more.
   */
  #findShortest(now: number): number {
    let shortest = Infinity;
    for (const { slotMs, at } of this.#classes.values()) {
      if (now - at <= CLASS_LIFE_MS) shortest = Math.min(shortest, slotMs);
    }
    return shortest;
  }
}

function mergeSample(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + MEAN_WEIGHT * (sample - mean);
}

/**
 * The latest start that meets both the first-token target and the total one.
 * A resumed stream has had its first token; its caller waits for the next one
 * as long as for a first one.
 */
function computeStartBy(
  call: AcquireCall,
  options: { requestClass: RequestClass; size: SizeGuess; now: number },
): number {
  const { requestClass, size, now } = options;
  const since = call.doneTokens > 0 ? now : now - call.ageMs;
  const firstToken = since + requestClass.targets.firstTokenMs -
    size.service.firstTokenMs;
  const whole = now + call.deadlineInMs - size.service.totalMs;
  return Math.min(firstToken, whole);
}

/**
 * Past this an answer misses a target and is useless. Guesses that are not
 * learnt yet do not count: they would refuse work that might be in time.
 */
function computeGiveUp(
  call: AcquireCall,
  options: {
    requestClass: RequestClass;
    size: SizeGuess;
    now: number;
    startBy: number;
  },
): number {
  const { requestClass, size, now, startBy } = options;
  if (size.learnt) return startBy;
  const firstToken = now - call.ageMs + requestClass.targets.firstTokenMs;
  return Math.min(firstToken, now + call.deadlineInMs);
}

function computeCost(call: AcquireCall, size: SizeGuess): number {
  if (call.model === undefined) return 1;
  const tokens = Math.max(1, size.length.tokens - call.doneTokens);
  return tokens + PROMPT_TOKEN_COST * call.promptTokens;
}

/**
 * A class that is newer than this VM's configuration. The request was admitted
 * by a VM that has it, so it waits below all known tiers instead of failing.
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
    maxWaitMs: UNKNOWN_CLASS_WAIT_MS,
    queueLimit: UNKNOWN_CLASS_QUEUE,
    maxOutputTokens: call.maxTokens,
    objective: 0,
  };
}
