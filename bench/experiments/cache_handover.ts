/**
 * Measures the benefit of copying a leaving engine's cached prefixes. One
 * engine of a user's pool leaves; its shared prefixes are copied to one other
 * engine, to all others, or not at all.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { computePrefixes } from "../../src/request/prompt_prefixes.ts";
import type { RequestClass } from "../../src/version/index.ts";
import type { EngineCore } from "../../standin/engine_core.ts";
import type { EngineOptions } from "../../standin/engine_options.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { BENCH_ENGINE } from "../scenarios.ts";
import { BenchSink } from "../support/bench_sink.ts";
import {
  type CallerResult,
  parseCallerResult,
  type RequestTrace,
} from "../support/caller_result.ts";
import { readExampleRecords, type User } from "../support/example_records.ts";
import { RuntimeFleet } from "../support/runtime_fleet.ts";
import { VirtualUpstreams } from "../support/virtual_upstreams.ts";
import { type BenchRequest, buildWorkload } from "../support/workload.ts";
import { addSharedPrompt, countSharedBlocks } from "./shared_prompts.ts";

const DURATION_MS = 50_000;
const LEAVING_AT_MS = 20_000;
/**
 * Delay of load report and poll, after which the owner sends the engine no new
 * requests.
 */
const PROPAGATION_MS = 1_500;
/** Only requests that arrive within this time after the copy are evaluated. */
const WINDOW_MS = 25_000;
const GRACE_MS = 120_000;
const STEP_MS = 1_000;
/** Capacity for a full batch of the longest prompts. */
const MEMORY_TOKENS = 262_144;

/** Engines that receive the prefixes of the leaving engine. */
export type HandOverTo = "none" | "one" | "all";

/** Cost of a copy in milliseconds per prompt token. */
export interface CopyCost {
  /** Delay until the prefix can be used; the engine continues meanwhile. */
  transferMs: number;
  /** Time during which the receiving engine is stalled. */
  stallMs: number;
}

/** Options of one run. */
export interface HandOverOptions {
  user: User;
  seed: number;
  handOverTo: HandOverTo;
  cost: CopyCost;
  /** Number of prompt tokens shared by a workspace's requests of one class. */
  sharedTokens: number;
  prefillMsPerToken: number;
  /** Load relative to the engines' generation capacity. */
  load: number;
  durationMs?: number;
}

/** Figures of one run. */
export interface HandOverFigures {
  options: HandOverOptions;
  /** Copied prompt tokens, summed over the receivers. */
  copiedTokens: number;
  /** Groups of requests whose common prefix the leaving engine had cached. */
  heldGroups: number;
  /** Figures of the requests that arrived within the window after the copy. */
  window: {
    offered: number;
    /** Complete and within all targets. */
    met: number;
    firstTokenMeanMs: number;
    firstTokenP99Ms: number;
    /** Prompt tokens prefilled by the other engines. */
    prefillTokens: number;
  };
}

interface RunContext {
  options: HandOverOptions;
  clock: VirtualClock;
  upstreams: VirtualUpstreams;
  requests: BenchRequest[];
  engine: EngineOptions;
}

/** Executes one run; deterministic for the same options. */
export async function runHandOver(
  options: HandOverOptions,
): Promise<HandOverFigures> {
  const { user, seed, prefillMsPerToken, sharedTokens } = options;
  const examples = readExampleRecords(user);
  const clock = VirtualClock.create();
  const engine = {
    ...BENCH_ENGINE,
    prefillMsPerToken,
    memoryTokens: MEMORY_TOKENS,
  };
  const upstreams = VirtualUpstreams.create({
    clock,
    random: SeededRandom.create(seed + 1),
    examples,
    engine,
  });
  const fleet = RuntimeFleet.create({
    clock,
    seed: seed + 2,
    examples,
    upstreams,
    features: {},
  });
  const durationMs = options.durationMs ?? DURATION_MS;
  const requests = buildWorkload({
    examples,
    engine,
    random: SeededRandom.create(seed),
    durationMs,
    load: options.load,
    bursts: [],
    changes: {},
  }).filter(({ kind }) => kind === "model");
  for (const one of requests) addSharedPrompt(one, sharedTokens);
  await fleet.start();
  const context = { options, clock, upstreams, requests, engine };
  const traces: RequestTrace[] = [];
  const startMs = clock.now();
  void sendRequests(context, { fleet, traces, startMs });
  await clock.run(LEAVING_AT_MS);
  const [leavingEngine] = upstreams.engines.keys();
  upstreams.engines.get(leavingEngine!)!.setLeaving(true);
  await clock.run(PROPAGATION_MS);
  const fromMs = clock.now();
  const before = countPrefill(upstreams, leavingEngine!);
  const copied = copyPrefixes(context, leavingEngine!);
  await clock.run(Math.min(WINDOW_MS, startMs + durationMs - clock.now()));
  const prefillTokens = countPrefill(upstreams, leavingEngine!) - before;
  const toMs = clock.now();
  await waitForEnds(clock, { traces, untilMs: startMs + durationMs });
  await fleet.close();
  const inWindow = traces.filter(({ request }) =>
    request.at >= fromMs && request.at < toMs
  );
  return {
    options,
    copiedTokens: copied.tokens,
    heldGroups: copied.groups,
    window: {
      ...computeWindow(
        inWindow,
        (trace) =>
          examples.snapshot.classes.get(trace.request.className)!.targets,
      ),
      prefillTokens,
    },
  };
}

async function sendRequests(
  { clock, requests, options }: RunContext,
  run: { fleet: RuntimeFleet; traces: RequestTrace[]; startMs: number },
): Promise<void> {
  const random = SeededRandom.create(options.seed + 3);
  for (const request of requests) {
    request.at += run.startMs;
    await clock.sleep(request.at - clock.now());
    const vm = random.pick(run.fleet.listVms())!;
    const sink = BenchSink.create(clock);
    run.traces.push({ request, vm, view: sink.view });
    void run.fleet.handle(vm, request.buildCall(request.at), sink);
  }
}

/**
 * Copies the leaving engine's cached prefixes; each receiver can use them after
 * the transfer time.
 */
function copyPrefixes(
  context: RunContext,
  leavingEngine: VmId,
): { tokens: number; groups: number } {
  const { upstreams, engine, options, clock } = context;
  const source = upstreams.engines.get(leavingEngine)!;
  const cachedGroups = [...listGroups(context)]
    .map((prefixes) => source.listCached(prefixes))
    .filter(({ length }) => length > 0);
  const others = [...upstreams.engines]
    .filter(([id]) => id !== leavingEngine).map(([, core]) => core);
  const readyMs = new Map<EngineCore, number>();
  let tokens = 0;
  cachedGroups.forEach((prefixes, index) => {
    const to = chooseReceivers(options.handOverTo, { others, index });
    for (const core of to) {
      if (core.listCached(prefixes).length === prefixes.length) continue;
      const count = prefixes.length * engine.tokensPerPrefix;
      tokens += count;
      // An engine imports one prefix at a time.
      const atMs = (readyMs.get(core) ?? 0) + count * options.cost.transferMs;
      readyMs.set(core, atMs);
      clock.startTimer(atMs, () => {
        core.addCached(prefixes);
        const stallMs = count * options.cost.stallMs;
        if (stallMs > 0) core.setStall(stallMs);
      });
    }
  });
  return { tokens, groups: cachedGroups.length };
}

function chooseReceivers(
  to: HandOverTo,
  { others, index }: { others: EngineCore[]; index: number },
): EngineCore[] {
  if (to === "none") return [];
  return to === "all" ? others : [others[index % others.length]!];
}

/** Lists the shared prefixes of each workspace and class. */
function listGroups(context: RunContext): Iterable<string[]> {
  const groups = new Map<string, string[]>();
  for (const request of context.requests) {
    const key = `${request.workspace}/${request.className}`;
    if (groups.has(key)) continue;
    const { body } = request.buildCall(0);
    const { prompt, model } = JSON.parse(new TextDecoder().decode(body));
    const blocks = countSharedBlocks(context.options.sharedTokens);
    groups.set(key, computePrefixes(prompt, model).slice(0, blocks));
  }
  return groups.values();
}

function countPrefill(
  upstreams: VirtualUpstreams,
  leavingEngine: VmId,
): number {
  let sum = 0;
  for (const [id, core] of upstreams.engines) {
    if (id !== leavingEngine) sum += core.counts.prefillTokens;
  }
  return sum;
}

async function waitForEnds(
  clock: VirtualClock,
  run: { traces: readonly RequestTrace[]; untilMs: number },
): Promise<void> {
  await clock.run(Math.max(0, run.untilMs - clock.now()));
  const endMs = clock.now() + GRACE_MS;
  const isOpen = () => run.traces.some(({ view }) => view.end === "open");
  while (isOpen() && clock.now() < endMs) await clock.run(STEP_MS);
}

function computeWindow(
  traces: readonly RequestTrace[],
  getTargets: (trace: RequestTrace) => RequestClass["targets"],
) {
  const firstTokens: number[] = [];
  let met = 0;
  for (const trace of traces) {
    const result = parseCallerResult(trace);
    if (result.end.kind !== "whole") continue;
    const times = computeTimes(trace, result);
    firstTokens.push(times.firstTokenMs);
    const targets = getTargets(trace);
    if (
      times.firstTokenMs <= targets.firstTokenMs &&
      times.betweenTokensMs <= targets.betweenTokensMs &&
      times.totalMs <= targets.totalMs
    ) met++;
  }
  firstTokens.sort((left, right) => left - right);
  const sum = firstTokens.reduce((total, ms) => total + ms, 0);
  const count = firstTokens.length;
  return {
    offered: traces.length,
    met,
    firstTokenMeanMs: sum / Math.max(1, count),
    firstTokenP99Ms: firstTokens[Math.floor(count * 0.99)] ?? 0,
  };
}

function computeTimes(
  { request, view }: RequestTrace,
  { tokens }: CallerResult,
): RequestClass["targets"] {
  const firstAt = tokens[0]!.at;
  const count = tokens.reduce((sum, piece) => sum + piece.count, 0);
  const spanMs = tokens.at(-1)!.at - firstAt;
  return {
    firstTokenMs: firstAt - request.at,
    betweenTokensMs: count > 1 ? spanMs / (count - 1) : 0,
    totalMs: view.endedAt! - request.at,
  };
}
