/**
 * The benchmark's scenarios: loads and faults.
 *
 * @module
 */
import type { VmId } from "../src/ids.ts";
import type { EngineOptions } from "../standin/engine_options.ts";
import { DEFAULT_ENGINE_OPTIONS } from "../standin/engine_options.ts";
import type { BenchClock } from "./support/bench_clock.ts";
import type { BenchRouter } from "./support/bench_router.ts";
import type { User } from "./support/example_records.ts";
import type { VirtualUpstreams } from "./support/virtual_upstreams.ts";
import {
  type Burst,
  BURST_CLASS,
  type ClassProfile,
} from "./support/workload.ts";

/**
 * Engines whose step takes 17 ms for one request and 45 ms for a full batch.
 */
export const BENCH_ENGINE: Readonly<EngineOptions> = {
  ...DEFAULT_ENGINE_OPTIONS,
  baseMs: 16,
  perRunningMs: 1.2,
  maxBatch: 24,
};

/** Duration of the arrivals per user. */
export const DURATION_MS: Record<User, number> = {
  lectura_llana: 240_000,
  kontrola_sever: 90_000,
};

const BURST_LOAD = 3;
const STRAGGLER_FACTOR = 6;
const MILD_STRAGGLER_FACTOR = 3;
const LAG_MS = 10_000;
const CACHE_GAP_SHARE = 0.3;
const DOWN_MS = 15_000;
const SERVICE_FAULTS = { cutBefore: 0.01, cutAfter: 0.02 };

/** Targets of a fault. */
export interface FaultOptions {
  clock: BenchClock;
  upstreams: VirtualUpstreams;
  router: BenchRouter;
  durationMs: number;
  onDestroyed: (vm: VmId) => void;
}

/** One scenario. */
export interface Scenario {
  /**
   * Load of the model classes relative to the engines' capacity with full
   * batches.
   */
  load: number;
  buildBursts?: (user: User, durationMs: number) => Burst[];
  changes?: Partial<Record<string, Partial<ClassProfile>>>;
  engine?: Partial<EngineOptions>;
  /** Injects faults during the arrivals. */
  runFaults?: (options: FaultOptions) => Promise<void>;
}

/** All scenarios by name. */
export const SCENARIOS: Record<string, Scenario> = {
  unloaded: { load: 0.1 },
  mixed: { load: 0.65 },
  overload: { load: 1.5 },
  burst: {
    load: 0.5,
    buildBursts: (user, durationMs) => [{
      className: BURST_CLASS[user],
      load: BURST_LOAD,
      fromMs: durationMs / 3,
      toMs: durationMs * 2 / 3,
    }],
  },
  straggler: { load: 0.6, runFaults: runStraggler },
  crash: { load: 0.6, runFaults: runCrashes },
  lagging_reports: {
    load: 0.65,
    engine: {
      loadLagMs: LAG_MS,
      cacheEventDelayMs: LAG_MS,
      cacheEventGapShare: CACHE_GAP_SHARE,
    },
    runFaults: runMildStraggler,
  },
  long_short: {
    load: 0.8,
    changes: {
      adaptation: { medianTokens: 1_800 },
      clerk_summary: { medianTokens: 420, loadShare: 0.7 },
      chat: { loadShare: 0.3 },
    },
  },
  owner_lost: { load: 0.6, runFaults: runOwnerLost },
};

/** Slows down two replicas during the middle half of the run. */
async function runStraggler(options: FaultOptions): Promise<void> {
  const { clock, durationMs, upstreams } = options;
  const slow = [...upstreams.engines.values()].slice(0, 2);
  await clock.sleep(durationMs / 4);
  for (const core of slow) core.options.speedFactor = STRAGGLER_FACTOR;
  await clock.sleep(durationMs / 2);
  for (const core of slow) core.options.speedFactor = 1;
}

async function runMildStraggler(options: FaultOptions): Promise<void> {
  const { clock, durationMs, upstreams } = options;
  const [core] = upstreams.engines.values();
  await clock.sleep(durationMs / 4);
  core!.options.speedFactor = MILD_STRAGGLER_FACTOR;
  await clock.sleep(durationMs / 2);
  core!.options.speedFactor = 1;
}

/**
 * Crashes and restarts three replicas one after the other; services drop
 * connections.
 */
async function runCrashes(options: FaultOptions): Promise<void> {
  const { clock, durationMs, upstreams } = options;
  for (const service of upstreams.services.values()) {
    service.setFaults(SERVICE_FAULTS);
  }
  for (const core of [...upstreams.engines.values()].slice(0, 3)) {
    await clock.sleep(durationMs / 5);
    core.setCrashAfter(0);
    void clock.sleep(DOWN_MS).then(() => core.restart());
  }
}

/** Destroys the VM that owns the model pool's queue, without notice. */
async function runOwnerLost(options: FaultOptions): Promise<void> {
  const { clock, durationMs, router, onDestroyed } = options;
  await clock.sleep(durationMs / 3);
  onDestroyed(router.destroyVm(undefined));
}
