/**
 * A stand-in for a model engine, without sockets: batching, prefix cache,
 * priorities, cancel, resume, lagging reports, orders and faults. It runs on
 * an injected clock, so it serves the HTTP stand-in and virtual time alike.
 *
 * @module
 */
import type {
  CacheEvent,
  EngineCommand,
  LoadReport,
} from "../src/connection/upstream_transport.ts";
import type { Clock } from "../src/process/clock.ts";
import type { Random } from "../src/process/random.ts";
import { EngineBatch } from "./engine_batch.ts";
import { EngineCache } from "./engine_cache.ts";
import { createCounts, type EngineCounts } from "./engine_counts.ts";
import { LoadHistory } from "./engine_load.ts";
import { type CommandRecord, EngineModels } from "./engine_models.ts";
import {
  DEFAULT_ENGINE_OPTIONS,
  type EngineOptions,
} from "./engine_options.ts";
import {
  type EngineRequest,
  EngineRun,
  type RunListener,
  type RunRecord,
} from "./engine_run.ts";

/** What the engine says to a request. */
export type StartAnswer =
  | { kind: "accepted"; run: EngineRun }
  /** Nothing was done. */
  | { kind: "not_started"; message: string }
  | { kind: "bad_request"; message: string };

/** One engine. Its time is the injected clock's. */
export class EngineCore {
  readonly options: EngineOptions;
  readonly counts: EngineCounts = createCounts();
  readonly #clock: Clock;
  readonly #batch: EngineBatch;
  readonly #cache: EngineCache;
  readonly #models: EngineModels;
  readonly #runs = new Map<string, RunRecord[]>();
  readonly #loads: LoadHistory;
  #order = 0;
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
    this.#batch = EngineBatch.create({
      clock,
      options: this.options,
      cache: this.#cache,
      counts: this.counts,
      onToken: () => this.#checkCrash(),
      onStep: () => this.#noteLoad(),
    });
    this.#loads = LoadHistory.create(clock, this.options);
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
    return this.#batch.running;
  }

  get waiting(): number {
    return this.#batch.waiting;
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
    return this.#loads.get();
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
  applyCommand(order: EngineCommand): boolean {
    const accepted = this.#models.applyOrder(order, () => this.#noteLoad());
    this.#noteLoad();
    return accepted;
  }

  /** Every order that arrived, refused ones too. */
  listCommands(): readonly CommandRecord[] {
    return this.#models.listOrders();
  }

  /** Says in load reports that it takes no more work; it still would. */
  setLeaving(leaving: boolean): void {
    this.#leavingSince = leaving ? this.#clock.now() : undefined;
    this.#noteLoad();
  }

  /** Does no work for `ms`; connections stay open. */
  setStall(ms: number): void {
    this.#batch.setStall(ms);
  }

  /** Nothing more is heard of the requests here now; new ones work. */
  silenceRunningRequests(): void {
    for (const run of this.#batch.list()) run.silent = true;
  }

  /** The next `count` requests are accepted and never heard of again. */
  silenceNextRequests(count: number): void {
    this.#silentNext = count;
  }

  /** The next `count` requests are told that nothing was done. */
  refuseNextRequests(count: number): void {
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
  restart(): void {
    this.#crashed = false;
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
    this.#batch.add(run);
    this.#noteLoad();
  }

  #drop(run: EngineRun): void {
    this.#batch.remove(run);
    this.counts.cancelled++;
    run.settle("cancelled");
    this.#noteLoad();
  }

  #checkCrash(): void {
    if (this.counts.tokens >= this.#crashAfterTokens) this.#endByCrash();
  }

  #endByCrash(): void {
    if (this.#crashed) return;
    this.#crashed = true;
    this.#crashAfterTokens = Infinity;
    const runs = this.#batch.list();
    this.#batch.clear();
    this.counts.crashed += runs.length;
    for (const run of runs) run.settle("crashed");
    this.#noteLoad();
    this.#onCrash();
  }

  #noteLoad(): void {
    this.#loads.add({
      ageMs: 0,
      running: this.#batch.running,
      waiting: this.#batch.waiting,
      cacheUsed: Math.min(
        1,
        this.#batch.memoryTokens / this.options.memoryTokens,
      ),
      leaving: this.#leavingSince !== undefined,
      models: this.#models.list(),
      role: this.#models.role,
      fencing: this.#models.fencing,
      cacheSequence: this.#cache.sequence,
    });
  }
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
