/**
 * A stand-in for a model engine, without sockets: batching, prefix cache,
 * priorities, cancel, resume, delayed load reports, commands and faults. It
 * takes the clock as a parameter, so that it runs both in the HTTP stand-in and
 * in virtual time.
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

/** The engine's answer to a request. */
export type StartAnswer =
  | { kind: "accepted"; run: EngineRun }
  /** Refused before any work was done. */
  | { kind: "not_started"; message: string }
  | { kind: "bad_request"; message: string };

/** One engine, driven by the given clock. */
export class EngineCore {
  readonly options: EngineOptions;
  readonly counts: EngineCounts = createCounts();
  readonly #clock: Clock;
  readonly #batch: EngineBatch;
  readonly #cache: EngineCache;
  readonly #models: EngineModels;
  readonly #runs = new Map<string, RunRecord[]>();
  readonly #loads: LoadHistory;
  #nextSequence = 0;
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

  /** Omitted options default to `DEFAULT_ENGINE_OPTIONS`. */
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

  /** Starts a request; `listener` receives its tokens and its end. */
  startRun(request: EngineRequest, listener: RunListener): StartAnswer {
    const refusal = this.#check(request);
    if (refusal !== undefined) {
      this.counts.refused++;
      return refusal;
    }
    const run = new EngineRun(request, {
      listener,
      sequence: this.#nextSequence++,
      onCancel: (cancelled) => this.#cancelRun(cancelled),
    });
    const problem = checkResume(run);
    if (problem !== undefined) {
      this.counts.refused++;
      return { kind: "bad_request", message: problem };
    }
    this.#addRun(run);
    return { kind: "accepted", run };
  }

  /**
   * Lists the runs of `requestId` in order of arrival; more than one may be a
   * fault of the router.
   */
  listRuns(requestId: string): readonly RunRecord[] {
    return this.#runs.get(requestId) ?? [];
  }

  /** Counts the runs of `requestId` that started at the first token. */
  countRuns(requestId: string): number {
    return this.listRuns(requestId)
      .filter((record) => record.resumedFrom === 0).length;
  }

  /** Lists the ids of all accepted requests. */
  listRequestIds(): string[] {
    return [...this.#runs.keys()];
  }

  /** Returns the load report, which is `loadLagMs` old. */
  getLoad(): LoadReport {
    return this.#loads.get();
  }

  /**
   * Lists the published cache events above `after`; events are delayed and some
   * are lost.
   */
  listCacheEvents(after: number): CacheEvent[] {
    return this.#cache.listEvents(after);
  }

  /** Lists the members of `prefixes` that are cached. */
  listCached(prefixes: readonly string[]): string[] {
    return prefixes.filter((prefix) => this.#cache.has(prefix));
  }

  /** Imports prefixes that another engine exported; returns their number. */
  addCached(prefixes: readonly string[]): number {
    this.#cache.put(prefixes);
    this.#noteLoad();
    return prefixes.length;
  }

  /**
   * Applies a command; returns false if its fencing number is outdated and this
   * engine checks it.
   */
  applyCommand(command: EngineCommand): boolean {
    const accepted = this.#models.applyCommand(command, () => this.#noteLoad());
    this.#noteLoad();
    return accepted;
  }

  /** Lists all commands received, including refused ones. */
  listCommands(): readonly CommandRecord[] {
    return this.#models.listCommands();
  }

  /** Sets `leaving` in load reports; new requests are still accepted. */
  setLeaving(leaving: boolean): void {
    this.#leavingSince = leaving ? this.#clock.now() : undefined;
    this.#noteLoad();
  }

  /** Stops all work for `ms`; connections stay open. */
  setStall(ms: number): void {
    this.#batch.setStall(ms);
  }

  /** Stops answering the current requests; new ones are answered. */
  silenceRunningRequests(): void {
    for (const run of this.#batch.list()) run.silent = true;
  }

  /** Accepts the next `count` requests and never answers them. */
  silenceNextRequests(count: number): void {
    this.#silentNext = count;
  }

  /** Refuses the next `count` requests as not started. */
  refuseNextRequests(count: number): void {
    this.#refuseNext = count;
  }

  /** Crashes after `tokens` more generated tokens; at once for 0. */
  setCrashAfter(tokens: number): void {
    if (tokens <= 0) return this.#endByCrash();
    this.#crashAfterTokens = this.counts.tokens + tokens;
  }

  /** Sets the callback for a crash; it is called after all runs have ended. */
  setCrashHandler(onCrash: () => void): void {
    this.#onCrash = onCrash;
  }

  /**
   * Restarts after a crash with an empty cache; counters and run records are
   * kept.
   */
  restart(): void {
    this.#crashed = false;
    this.#cache.clear();
    this.#noteLoad();
  }

  #check(request: EngineRequest): StartAnswer | undefined {
    if (this.#crashed) {
      return { kind: "not_started", message: "The engine has crashed" };
    }
    if (this.#refuseNext > 0) {
      this.#refuseNext--;
      return { kind: "not_started", message: "Refused by an injected fault" };
    }
    if (!this.#models.has(request.model)) {
      return { kind: "not_started", message: "The model is not loaded" };
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

  #cancelRun(run: EngineRun): void {
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
    return "x-resume-tokens exceeds the length of the answer";
  }
  if (resumeText !== run.answer.getText(0, resumeTokens)) {
    return "resume_text differs from this engine's answer";
  }
  return undefined;
}
