/**
 * Runs one scenario with one router in virtual time.
 *
 * @module
 */
import type { VmId } from "../src/ids.ts";
import { SeededRandom } from "../src/process/random.ts";
import type { SchedulerFeatures } from "../src/process/scheduler/scheduler_features.ts";
import { BenchClock } from "./support/bench_clock.ts";
import { computeGoodputBound } from "./clairvoyant.ts";
import { NaiveFleet } from "./naive/naive_fleet.ts";
import { computeFigures, type RunFigures } from "./figures.ts";
import { BENCH_ENGINE, DURATION_MS, SCENARIOS } from "./scenarios.ts";
import { BenchSink } from "./support/bench_sink.ts";
import type { BenchRouter } from "./support/bench_router.ts";
import {
  parseCallerResult,
  type RequestTrace,
} from "./support/caller_result.ts";
import {
  type ExampleRecords,
  readExampleRecords,
  type User,
} from "./support/example_records.ts";
import { RuntimeFleet } from "./support/runtime_fleet.ts";
import { VirtualUpstreams } from "./support/virtual_upstreams.ts";
import { type BenchRequest, buildWorkload } from "./support/workload.ts";

const GRACE_MS = 900_000;
const GRACE_STEP_MS = 1_000;

/** Builds a router for the upstreams of a run. */
export type BuildRouter = (parts: {
  clock: BenchClock;
  seed: number;
  examples: ExampleRecords;
  upstreams: VirtualUpstreams;
}) => BenchRouter;

/** Options of a run. */
export interface RunOptions {
  scenario: string;
  user: User;
  seed: number;
  /** Name of the router in the results. */
  router: string;
  buildRouter: BuildRouter;
  /** Overrides the scenario's duration; tests use shorter runs. */
  durationMs?: number;
}

/**
 * Returns a builder of this project's router with some scheduler features
 * overridden.
 */
export function buildRuntimeRouter(
  features: Partial<SchedulerFeatures> = {},
): BuildRouter {
  return (parts) => RuntimeFleet.create({ ...parts, features });
}

/** Builds the naive baseline router. */
export function buildNaiveRouter(
  { examples, upstreams }: Parameters<BuildRouter>[0],
): BenchRouter {
  return NaiveFleet.create(examples, upstreams);
}

/** Runs a scenario; deterministic for the same options. */
export async function runScenario(options: RunOptions): Promise<RunFigures> {
  const { user, seed, buildRouter } = options;
  const scenario = SCENARIOS[options.scenario];
  if (scenario === undefined) {
    throw new Error(`Unknown scenario ${options.scenario}`);
  }
  const durationMs = options.durationMs ?? DURATION_MS[user];
  const engine = { ...BENCH_ENGINE, ...scenario.engine };
  const examples = readExampleRecords(user);
  const clock = BenchClock.create();
  const upstreams = VirtualUpstreams.create({
    clock,
    random: SeededRandom.create(seed + 1),
    examples,
    engine,
  });
  const router = buildRouter({ clock, seed: seed + 2, examples, upstreams });
  const requests = buildWorkload({
    examples,
    engine,
    random: SeededRandom.create(seed),
    durationMs,
    load: scenario.load,
    bursts: scenario.buildBursts?.(user, durationMs) ?? [],
    changes: scenario.changes ?? {},
  });
  await router.start();
  const startMs = clock.now();
  const goodputBoundTokens = computeGoodputBound({
    requests,
    engine,
    replicas: upstreams.engines.size,
    durationMs,
  });
  const traces: RequestTrace[] = [];
  const destroyed = new Set<VmId>();
  const random = SeededRandom.create(seed + 3);
  void sendRequests(requests, { clock, router, random, startMs, traces });
  void scenario.runFaults?.({
    clock,
    upstreams,
    router,
    durationMs,
    onDestroyed: (vm) => destroyed.add(vm),
  });
  await clock.run(durationMs);
  await waitForEnds(clock, traces);
  await router.close();
  return computeFigures({
    scenario: options.scenario,
    user,
    seed,
    router: options.router,
    evidence: {
      snapshot: examples.snapshot,
      traces,
      results: new Map(
        traces.map((trace) => [trace.request.tag, parseCallerResult(trace)]),
      ),
      attempts: upstreams.attempts,
      executions: upstreams.countExecutions(),
      preemptions: router.listPreemptions(),
      destroyed,
    },
    startMs,
    durationMs,
    goodputBoundTokens,
    generatedTokens: upstreams.countGeneratedTokens(),
    prefillTokens: upstreams.countPrefillTokens(),
  });
}

async function sendRequests(
  requests: readonly BenchRequest[],
  options: {
    clock: BenchClock;
    router: BenchRouter;
    random: SeededRandom;
    startMs: number;
    traces: RequestTrace[];
  },
): Promise<void> {
  const { clock, router, random, startMs, traces } = options;
  for (const request of requests) {
    request.at += startMs;
    await clock.sleep(request.at - clock.now());
    const vm = random.pick(router.listVms())!;
    const sink = BenchSink.create(clock);
    traces.push({ request, vm, view: sink.view });
    void router.handle(vm, request.buildCall(request.at), sink);
  }
}

async function waitForEnds(
  clock: BenchClock,
  traces: readonly RequestTrace[],
): Promise<void> {
  const endMs = clock.now() + GRACE_MS;
  const isOpen = () => traces.some(({ view }) => view.end === "open");
  while (isOpen() && clock.now() < endMs) await clock.run(GRACE_STEP_MS);
}
