/**
 * A stand-in for a model engine, without sockets: batching, prefix cache,
 * priorities, cancel, resume, lagging reports, orders and faults. It runs on
 * an injected clock, so it serves the HTTP stand-in and virtual time alike.
 *
 * @module
 */
import type {
  CacheEvent,
  EngineOrder,
  LoadReport,
} from "../src/connection/upstream_transport.ts";
import type { CancelTimer, Clock } from "../src/process/clock.ts";
import type { Random } from "../src/process/random.ts";
import { EngineCache } from "./engine_cache.ts";
import { EngineModels, type OrderRecord } from "./engine_models.ts";
import {
  DEFAULT_ENGINE_OPTIONS,
  type EngineOptions,
} from "./engine_options.ts";
import {
  type EngineRequest,
  EngineRun,
  type RunEnd,
  type RunListener,
  type RunRecord,
} from "./engine_run.ts";

/** What the engine says to a request. */
export type StartAnswer =
  | { kind: "accepted"; run: EngineRun }
  /** Nothing was done. */
  | { kind: "not_started"; message: string }
  | { kind: "bad_request"; message: string };

/** Totals since the engine was made. */
export interface EngineCounts {
  accepted: number;
  refused: number;
  answered: number;
  cancelled: number;
  crashed: number;
  /** Tokens generated. */
  tokens: number;
  /** Prompt and resumed tokens that were worked through. */
  prefillTokens: number;
  /** Tokens that the prefix cache spared. */
  cachedTokens: number;
  /** Runs put back because memory ran out. */
  putBack: number;
  acceptedWhileLeaving: number;
  /** The latest acceptance, counted from when the engine began to leave. */
  lastAcceptedAfterLeavingMs: number;
}

interface LoadSample {
  at: number;
  report: LoadReport;
}

/** One engine. Its time is the injected clock's. */
export class EngineCore {
  readonly options: EngineOptions;
  readonly counts: EngineCounts = {
    accepted: 0,
    refused: 0,
    answered: 0,
    cancelled: 0,
    crashed: 0,
    tokens: 0,
    prefillTokens: 0,
    cachedTokens: 0,
    putBack: 0,
    acceptedWhileLeaving: 0,
    lastAcceptedAfterLeavingMs: 0,
  };
  readonly #clock: Clock;
  readonly #cache: EngineCache;
  readonly #models: EngineModels;
  readonly #runs = new Map<string, RunRecord[]>();
  #waiting: EngineRun[] = [];
  #running: EngineRun[] = [];
  #samples: LoadSample[] = [];
  #order = 0;
  #stopStep: CancelTimer | undefined;
  #stalledUntil = 0;
  #leavingSince: number | undefined;
  #crashed = false;
  #crashAfterTokens = Infinity;
  #refuseNext = 0;
  #silentNext = 0;
  #onCrash: () => void = () => {};

  constructor(
    clock: Clock,
    random: Random,
    options: Partial<EngineOptions> = {},
  ) {
    this.options = { ...DEFAULT_ENGINE_OPTIONS, ...options };
    this.#clock = clock;
    this.#cache = EngineCache.create(clock, random, this.options);
    this.#models = EngineModels.create(clock, this.options);
    this.#noteLoad();
  }

  /** Options not given are those of `DEFAULT_ENGINE_OPTIONS`. */
  static create(
    clock: Clock,
    random: Random,
    options: Partial<EngineOptions> = {},
  ): EngineCore {
    return new EngineCore(clock, random, options);
  }

  get isCrashed(): boolean {
    return this.#crashed;
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Takes a request in; the listener hears of its tokens and its end. */
  startRun(request: EngineRequest, listener: RunListener): StartAnswer {
    const refusal = this.#check(request);
    if (refusal !== undefined) {
      this.counts.refused++;
      return refusal;
    }
    const run = new EngineRun(request, {
      listener,
      order: this.#order++,
      onCancel: (cancelled) => this.#drop(cancelled),
    });
    const wrong = checkResume(run);
    if (wrong !== undefined) {
      this.counts.refused++;
      return { kind: "bad_request", message: wrong };
    }
    this.#addRun(run);
    return { kind: "accepted", run };
  }

  /** Every run of `requestId`, in order; more than one may be a fault. */
  listRuns(requestId: string): readonly RunRecord[] {
    return this.#runs.get(requestId) ?? [];
  }

  /** Runs of `requestId` that began at its first token. */
  countRuns(requestId: string): number {
    return this.listRuns(requestId)
      .filter((record) => record.resumedFrom === 0).length;
  }

  /** Ids of every request that was accepted. */
  listRequestIds(): string[] {
    return [...this.#runs.keys()];
  }

  /** The engine's account of its load, as old as `loadLagMs`. */
  getLoad(): LoadReport {
    const now = this.#clock.now();
    this.#dropSamples(now);
    const sample = this.#samples[0]!;
    const ageMs = Math.min(this.options.loadLagMs, now - sample.at);
    return { ...sample.report, ageMs };
  }

  /** Published cache events above `after`: late, and some never come. */
  listCacheEvents(after: number): CacheEvent[] {
    return this.#cache.listEvents(after);
  }

  /** Those of `prefixes` that are cached. */
  listCached(prefixes: readonly string[]): string[] {
    return prefixes.filter((prefix) => this.#cache.has(prefix));
  }

  /** Stores prefixes that another engine exported; returns how many. */
  addCached(prefixes: readonly string[]): number {
    this.#cache.put(prefixes);
    this.#noteLoad();
    return prefixes.length;
  }

  /** False when the fencing number is old and this engine checks it. */
  applyOrder(order: EngineOrder): boolean {
    const accepted = this.#models.applyOrder(order, () => this.#noteLoad());
    this.#noteLoad();
    return accepted;
  }

  /** Every order that arrived, refused ones too. */
  listOrders(): readonly OrderRecord[] {
    return this.#models.listOrders();
  }

  /** Says in load reports that it takes no more work; it still would. */
  setLeaving(leaving: boolean): void {
    this.#leavingSince = leaving ? this.#clock.now() : undefined;
    this.#noteLoad();
  }

  /** Does no work for `ms`; connections stay open. */
  setStall(ms: number): void {
    this.#stalledUntil = this.#clock.now() + ms;
    this.#stopStep?.();
    this.#stopStep = undefined;
    this.#startStep();
  }

  /** Nothing more is heard of the requests here now; new ones work. */
  dropListeners(): void {
    for (const run of [...this.#running, ...this.#waiting]) run.silent = true;
  }

  /** The next `count` requests are accepted and never heard of again. */
  setSilentNext(count: number): void {
    this.#silentNext = count;
  }

  /** The next `count` requests are told that nothing was done. */
  setRefuseNext(count: number): void {
    this.#refuseNext = count;
  }

  /** Crashes once `tokens` more were generated; at once for 0. */
  setCrashAfter(tokens: number): void {
    if (tokens <= 0) return this.#endByCrash();
    this.#crashAfterTokens = this.counts.tokens + tokens;
  }

  /** Called when the engine crashes, after every run has ended. */
  setCrashHandler(onCrash: () => void): void {
    this.#onCrash = onCrash;
  }

  /** Comes back empty after a crash; counts and run records stay. */
  startAgain(): void {
    this.#crashed = false;
    this.#stalledUntil = 0;
    this.#cache.clear();
    this.#noteLoad();
  }

  #check(request: EngineRequest): StartAnswer | undefined {
    if (this.#crashed) {
      return { kind: "not_started", message: "Engine is down" };
    }
    if (this.#refuseNext > 0) {
      this.#refuseNext--;
      return { kind: "not_started", message: "Engine refused on request" };
    }
    if (!this.#models.has(request.model)) {
      return { kind: "not_started", message: "Model is not loaded" };
    }
    return undefined;
  }

  #addRun(run: EngineRun): void {
    this.counts.accepted++;
    if (this.#leavingSince !== undefined) {
      this.counts.acceptedWhileLeaving++;
      this.counts.lastAcceptedAfterLeavingMs = this.#clock.now() -
        this.#leavingSince;
    }
    if (this.#silentNext > 0) {
      this.#silentNext--;
      run.silent = true;
    }
    const records = this.#runs.get(run.request.requestId);
    if (records === undefined) {
      this.#runs.set(run.request.requestId, [run.record]);
    } else {
      records.push(run.record);
    }
    this.#putInQueue(run);
    this.#startStep();
    this.#noteLoad();
  }

  #putInQueue(run: EngineRun): void {
    const later = this.#waiting.findIndex((other) => isBefore(run, other));
    const place = later < 0 ? this.#waiting.length : later;
    this.#waiting.splice(place, 0, run);
  }

  #drop(run: EngineRun): void {
    this.#waiting = this.#waiting.filter((other) => other !== run);
    this.#running = this.#running.filter((other) => other !== run);
    this.counts.cancelled++;
    run.settle("cancelled");
    this.#noteLoad();
  }

  #startStep(): void {
    if (this.#stopStep !== undefined || this.#crashed) return;
    const stalledMs = this.#stalledUntil - this.#clock.now();
    if (stalledMs > 0) {
      if (stalledMs === Infinity) return;
      this.#stopStep = this.#clock.startTimer(stalledMs, () => {
        this.#stopStep = undefined;
        this.#startStep();
      });
      return;
    }
    this.#admitWaiting();
    if (this.#running.length === 0) return;
    const stepMs = this.#runPrefill();
    this.#stopStep = this.#clock.startTimer(stepMs, () => this.#endStep());
  }

  #admitWaiting(): void {
    let memory = this.#countMemory();
    while (this.#waiting.length > 0) {
      const run = this.#waiting[0]!;
      if (this.#running.length >= this.options.maxBatch) return;
      const isFull = memory + run.memoryTokens > this.options.memoryTokens;
      if (isFull && this.#running.length > 0) return;
      this.#waiting.shift();
      this.#running.push(run);
      memory += run.memoryTokens;
      this.#findCached(run);
    }
  }

  #findCached(run: EngineRun): void {
    const leading = this.#cache.takeLeading(run.request.prefixes);
    const cached = Math.min(
      leading * this.options.tokensPerPrefix,
      run.record.promptTokens,
    );
    run.record.cachedTokens += cached;
    this.counts.cachedTokens += cached;
    run.prefillLeft = run.memoryTokens - cached;
  }

  /** Works on prompts for one step; returns how long the step takes. */
  #runPrefill(): number {
    let budget = this.options.prefillTokensPerStep;
    let worked = 0;
    for (const run of this.#running) {
      const tokens = Math.min(run.prefillLeft, budget);
      run.prefillLeft -= tokens;
      budget -= tokens;
      worked += tokens;
    }
    this.counts.prefillTokens += worked;
    return this.options.speedFactor * (
      this.options.baseMs +
      this.options.perRunningMs * this.#running.length +
      this.options.prefillMsPerToken * worked
    );
  }

  #endStep(): void {
    this.#stopStep = undefined;
    for (const run of [...this.#running]) {
      const isStopped = run.record.end !== undefined;
      if (isStopped || run.prefillLeft > 0) continue;
      this.#addToken(run);
      if (this.#crashed) return;
    }
    this.#putBackOverflow();
    this.#startStep();
    this.#noteLoad();
  }

  #addToken(run: EngineRun): void {
    if (run.nextToken === run.request.resumeTokens) {
      this.#cache.put(run.request.prefixes);
    }
    if (!run.isFinished) {
      this.counts.tokens++;
      run.addToken();
    }
    if (this.counts.tokens >= this.#crashAfterTokens) return this.#endByCrash();
    if (run.isFinished) this.#settleRun(run, run.answer.finishReason);
  }

  #settleRun(run: EngineRun, end: RunEnd): void {
    if (run.record.end !== undefined) return;
    this.#running = this.#running.filter((other) => other !== run);
    this.counts.answered++;
    run.settle(end);
  }

  /** Puts the last of the batch back while the batch outgrows the memory. */
  #putBackOverflow(): void {
    let memory = this.#countMemory();
    while (memory > this.options.memoryTokens && this.#running.length > 1) {
      const run = this.#running.reduce((last, other) =>
        isBefore(last, other) ? other : last
      );
      this.#running = this.#running.filter((other) => other !== run);
      memory -= run.memoryTokens;
      this.counts.putBack++;
      this.#putInQueue(run);
    }
  }

  #countMemory(): number {
    return this.#running.reduce((sum, run) => sum + run.memoryTokens, 0);
  }

  #endByCrash(): void {
    if (this.#crashed) return;
    this.#crashed = true;
    this.#crashAfterTokens = Infinity;
    this.#stopStep?.();
    this.#stopStep = undefined;
    const runs = [...this.#running, ...this.#waiting];
    this.#running = [];
    this.#waiting = [];
    this.counts.crashed += runs.length;
    for (const run of runs) run.settle("crashed");
    this.#noteLoad();
    this.#onCrash();
  }

  #noteLoad(): void {
    const now = this.#clock.now();
    const report: LoadReport = {
      ageMs: 0,
      running: this.#running.length,
      waiting: this.#waiting.length,
      cacheUsed: Math.min(
        1,
        this.#countMemory() / this.options.memoryTokens,
      ),
      leaving: this.#leavingSince !== undefined,
      models: this.#models.list(),
      role: this.#models.role,
      fencing: this.#models.fencing,
      cacheSequence: this.#cache.sequence,
    };
    this.#samples.push({ at: now, report });
    this.#dropSamples(now);
  }

  /** Keeps the newest sample that is old enough, and those after it. */
  #dropSamples(now: number): void {
    const latest = now - this.options.loadLagMs;
    const young = this.#samples.findIndex((sample) => sample.at > latest);
    const end = young < 0 ? this.#samples.length : young;
    if (end > 1) this.#samples.splice(0, end - 1);
  }
}

function isBefore(left: EngineRun, right: EngineRun): boolean {
  const difference = left.request.priority - right.request.priority;
  return difference < 0 || (difference === 0 && left.order < right.order);
}

function checkResume(run: EngineRun): string | undefined {
  const { resumeTokens, resumeText } = run.request;
  if (resumeTokens > run.answer.length) {
    return "More tokens to resume than the answer has";
  }
  if (resumeText !== run.answer.getText(0, resumeTokens)) {
    return "Text to resume is not this engine's answer";
  }
  return undefined;
}
