/**
 * Compares sending ages with sending clock times between VMs whose clocks
 * differ: order of grants, targets met and refusals with
 * `deadline_unreachable`.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import type { Random } from "../../src/process/random.ts";
import { SeededRandom } from "../../src/process/random.ts";
import type { SchedulerFeatures } from "../../src/process/scheduler/scheduler_features.ts";
import { type BuildRouter, runScenario } from "../run_scenario.ts";
import type { User } from "../support/example_records.ts";
import { RuntimeFleet } from "../support/runtime_fleet.ts";
import { AcquireWatch, type TimeForm } from "./acquire_watch.ts";
import { countPairs, type PairCount } from "./grant_order.ts";

const SCENARIO = "overload";
const DURATION_MS = 45_000;
/** Long enough that the first-come queues are full for most of the run. */
const FIRST_COME_MS: Record<User, number> = {
  lectura_llana: 45_000,
  kontrola_sever: 20_000,
};
const DELAY_SEED = 100;
const OFFSET_SEED = 200;

/** Range of the one-way delay between VMs, drawn for each link. */
export interface DelayRange {
  fromMs: number;
  toMs: number;
}

/** Order of grants within a class. */
export type OrderMode =
  /** As in production. */
  | "production"
  /** First come, first served: only clock errors change the order. */
  | "first_come";

/** Options of one run. */
export interface AgesOptions {
  user: User;
  seed: number;
  mode: OrderMode;
  delay: DelayRange;
  /** Maximum clock offset in milliseconds, or "ages" to send ages. */
  form: "ages" | number;
  /** Overrides the duration; tests use shorter runs. */
  durationMs?: number;
}

/** Figures of one run. */
export interface AgesFigures {
  options: AgesOptions;
  /** Pairs within a class. */
  byClass: PairCount;
  /** Pairs within a class and a workspace. */
  byWorkspace: PairCount;
  classes: Record<
    string,
    { offered: number; met: number; late: number; lateRefusals: number }
  >;
  lateRefusals: AcquireWatch["refusals"];
  goodput: number;
  wastedShare: number;
  broken: Record<string, number>;
}

const FEATURES: Record<OrderMode, Partial<SchedulerFeatures>> = {
  production: {},
  first_come: { deadlineOrder: false, fairShare: false },
};

/** Executes one run; deterministic for the same options. */
export async function runAges(options: AgesOptions): Promise<AgesFigures> {
  const { user, seed, mode } = options;
  let watch: AcquireWatch | undefined;
  const buildRouter: BuildRouter = (parts) => {
    const fleet = RuntimeFleet.create({ ...parts, features: FEATURES[mode] });
    watch = watchFleet(fleet, { clock: parts.clock, options });
    return fleet;
  };
  const run = await runScenario({
    scenario: SCENARIO,
    user,
    seed,
    router: mode,
    buildRouter,
    durationMs: options.durationMs ??
      (mode === "production" ? DURATION_MS : FIRST_COME_MS[user]),
  });
  const tickets = watch!.listTickets();
  const classes = Object.entries(run.classes).map(([name, one]) => {
    const { offered, met, late } = one;
    const lateRefusals = one.refused["deadline_unreachable"] ?? 0;
    return [name, { offered, met, late, lateRefusals }];
  });
  return {
    options,
    byClass: countPairs(tickets, "class"),
    byWorkspace: countPairs(tickets, "workspace"),
    classes: Object.fromEntries(classes),
    lateRefusals: watch!.refusals,
    goodput: run.goodput,
    wastedShare: run.wastedTokens / Math.max(1, run.generatedTokens),
    broken: run.broken,
  };
}

function watchFleet(
  fleet: RuntimeFleet,
  { clock, options }: {
    clock: Parameters<BuildRouter>[0]["clock"];
    options: AgesOptions;
  },
): AcquireWatch {
  const vms = fleet.listVms();
  const delays = buildDelays(fleet, options);
  const watch = AcquireWatch.create({
    clock,
    form: buildForm(vms, options),
    getDelay: (from, to) => delays.get(formatLink(from, to))!,
  });
  for (const vm of vms) watch.watch(vm, fleet.getRuntime(vm).owners);
  return watch;
}

/** Draws log-uniform delays that are equal in both directions. */
function buildDelays(
  fleet: RuntimeFleet,
  { delay, seed }: AgesOptions,
): Map<string, number> {
  const random = SeededRandom.create(seed + DELAY_SEED);
  const delays = new Map<string, number>();
  const vms = fleet.listVms();
  for (const [index, from] of vms.entries()) {
    for (const to of vms.slice(index + 1)) {
      const ms = delay.fromMs *
        Math.pow(delay.toMs / delay.fromMs, random.next());
      delays.set(formatLink(from, to), ms);
      delays.set(formatLink(to, from), ms);
      fleet.network.setDelay(from, to, ms);
    }
  }
  return delays;
}

function buildForm(
  vms: readonly VmId[],
  { form, seed }: AgesOptions,
): TimeForm {
  if (form === "ages") return { kind: "ages" };
  const random = SeededRandom.create(seed + OFFSET_SEED);
  const offsets = new Map(vms.map((vm) => [vm, pickOffset(form, random)]));
  return { kind: "clock_times", offsets };
}

function pickOffset(maxMs: number, random: Random): number {
  return maxMs * (2 * random.next() - 1);
}

function formatLink(from: VmId, to: VmId): string {
  return `${from}>${to}`;
}
