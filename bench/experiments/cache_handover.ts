/**
 * Does it pay to hand a leaving engine's cached prefixes on to the others?
 * One engine of a user's pool leaves; its shared prefixes are copied to one
 * other engine, to all, or not at all.
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
const LEAVE_AT_MS = 20_000;
/** Load report and poll: by then the owner sends the engine nothing new. */
const KNOWN_AFTER_MS = 1_500;
/** Requests that arrive in this time after the copy are looked at. */
const WINDOW_MS = 25_000;
const GRACE_MS = 120_000;
const STEP_MS = 1_000;
/** Room for a full batch of the longest prompts. */
const MEMORY_TOKENS = 262_144;

/** Who gets the prefixes of the engine that leaves. */
export type HandOverTo = "none" | "one" | "all";

/** What a copy costs, in milliseconds for each prompt token. */
export interface CopyCost {
  /** Until the prefix can be used; the engine goes on meanwhile. */
  transferMs: number;
  /** In which the receiving engine does no step. */
  stallMs: number;
}

/** One run. */
export interface HandOverOptions {
  user: User;
  seed: number;
  handOverTo: HandOverTo;
  cost: CopyCost;
  /** Prompt tokens that a workspace's requests of one class share. */
  sharedTokens: number;
  prefillMsPerToken: number;
  /** Over the engines' capacity to generate. */
  load: number;
  durationMs?: number;
}

/** What one run came to. */
export interface HandOverFigures {
  options: HandOverOptions;
  /** Prompt tokens copied, summed over the receivers. */
  copiedTokens: number;
  /** Groups of requests with a common prefix that the leaver held. */
  heldGroups: number;
  /** Of the requests in the window after the copy. */
  window: {
    offered: number;
    /** Whole and within every target. */
    met: number;
    firstTokenMeanMs: number;
    firstTokenP99Ms: number;
    /** Prompt tokens that the other engines worked through. */
    prefillTokens: number;
  };
}

interface World {
  options: HandOverOptions;
  clock: VirtualClock;
  upstreams: VirtualUpstreams;
  requests: BenchRequest[];
  engine: EngineOptions;
}

/** Runs once; the same options give the same figures. */
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
  const world = { options, clock, upstreams, requests, engine };
  const traces: RequestTrace[] = [];
  const startMs = clock.now();
  void sendRequests(world, { fleet, traces, startMs });
  await clock.run(LEAVE_AT_MS);
  const [leaver] = upstreams.engines.keys();
  upstreams.engines.get(leaver!)!.setLeaving(true);
  await clock.run(KNOWN_AFTER_MS);
  const fromMs = clock.now();
  const before = countPrefill(upstreams, leaver!);
  const copied = copyPrefixes(world, leaver!);
  await clock.run(Math.min(WINDOW_MS, startMs + durationMs - clock.now()));
  const prefillTokens = countPrefill(upstreams, leaver!) - before;
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
  { clock, requests, options }: World,
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

/** Copies at once what the leaver holds; the receivers get it after a time. */
function copyPrefixes(
  world: World,
  leaver: VmId,
): { tokens: number; groups: number } {
  const { upstreams, engine, options, clock } = world;
  const source = upstreams.engines.get(leaver)!;
  const held = [...listGroups(world)]
    .map((prefixes) => source.listCached(prefixes))
    .filter(({ length }) => length > 0);
  const others = [...upstreams.engines]
    .filter(([id]) => id !== leaver).map(([, core]) => core);
  const readyMs = new Map<EngineCore, number>();
  let tokens = 0;
  held.forEach((prefixes, index) => {
    const to = chooseReceivers(options.handOverTo, { others, index });
    for (const core of to) {
      if (core.listCached(prefixes).length === prefixes.length) continue;
      const count = prefixes.length * engine.tokensPerPrefix;
      tokens += count;
      // One engine's imports come one after the other.
      const atMs = (readyMs.get(core) ?? 0) + count * options.cost.transferMs;
      readyMs.set(core, atMs);
      clock.startTimer(atMs, () => {
        core.addCached(prefixes);
        const stallMs = count * options.cost.stallMs;
        if (stallMs > 0) core.setStall(stallMs);
      });
    }
  });
  return { tokens, groups: held.length };
}

function chooseReceivers(
  to: HandOverTo,
  { others, index }: { others: EngineCore[]; index: number },
): EngineCore[] {
  if (to === "none") return [];
  return to === "all" ? others : [others[index % others.length]!];
}

/** The shared prefixes of each workspace's requests of one class. */
function listGroups(world: World): Iterable<string[]> {
  const groups = new Map<string, string[]>();
  for (const request of world.requests) {
    const key = `${request.workspace}/${request.className}`;
    if (groups.has(key)) continue;
    const { body } = request.buildCall(0);
    const { prompt, model } = JSON.parse(new TextDecoder().decode(body));
    const blocks = countSharedBlocks(world.options.sharedTokens);
    groups.set(key, computePrefixes(prompt, model).slice(0, blocks));
  }
  return groups.values();
}

function countPrefill(upstreams: VirtualUpstreams, leaver: VmId): number {
  let sum = 0;
  for (const [id, core] of upstreams.engines) {
    if (id !== leaver) sum += core.counts.prefillTokens;
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
