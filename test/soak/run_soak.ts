/**
 * Runs one soak: a fleet, its callers, the faults of a seed, and the checks.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../../src/process/random.ts";
import { waitUntil } from "../support/process_fleet.ts";
import { SOAK_ROUTES, SoakCaller } from "./soak_callers.ts";
import { PERMANENT_KEY, SoakFleet } from "./soak_fleet.ts";
import { listViolations, type Violation } from "./soak_oracle.ts";
import { buildPlan } from "./soak_plan.ts";

const POISON_KINDS = ["request", "part"] as const;

/** Time for all VMs to serve again after the last fault. */
const RECOVERY_TIMEOUT_MS = 15_000;
const READY_TIMEOUT_MS = 30_000;
const TIMER_INTERVAL_MS = 20;
/** Timers this late indicate that the machine has no free processor. */
const BUSY_LATENESS_MS = 150;
/** Time for runs to end after their callers disconnected. */
const SETTLE_MS = 1_000;

/** Options of a soak. */
export interface SoakOptions {
  seed: number;
  forMs: number;
  vms: number;
  replicas: number;
  callers: number;
  /** Whether a failed soak returns the whole logs of the VMs. */
  hasWholeLogs?: boolean;
}

/** The result of a soak. */
export interface SoakReport {
  requests: number;
  /** Number of requests by HTTP status; 0 where no answer began. */
  statuses: Record<string, number>;
  /** Requests that took a stream up, and those of them that went on. */
  takenUp: number;
  wentOn: number;
  faults: Record<string, number>;
  /** The greatest lateness of a timer of this process, in milliseconds. */
  mostLateMs: number;
  broken: { promise: string; detail: string }[];
  /** Lines of the VMs' logs if a check failed, the last ones by default. */
  logs: string;
}

/** Runs one soak; rejects only if the soak itself cannot run. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const fleet = await SoakFleet.create(options);
  try {
    await waitUntil(
      "a fleet that serves",
      READY_TIMEOUT_MS,
      () => isServing(fleet, SeededRandom.create(options.seed)),
    );
    return await runFaults(fleet, options);
  } finally {
    await fleet.close();
  }
}

async function runFaults(
  fleet: SoakFleet,
  options: SoakOptions,
): Promise<SoakReport> {
  const plan = buildPlan(options);
  const machine = watchMachine();
  const endsAt = performance.now() + options.forMs;
  const callers = Array.from(
    { length: options.callers },
    (_, index) => {
      const random = SeededRandom.create(options.seed * 1_000 + index);
      return SoakCaller.create(fleet, random, `c${index}`);
    },
  );
  const calls = callers.map((caller) =>
    caller.run(() => performance.now() >= endsAt)
  );
  for (const [index, kind] of POISON_KINDS.entries()) {
    const random = SeededRandom.create(options.seed + index);
    const poison = SoakCaller.create(fleet, random, `poison-${kind}`);
    calls.push(poison.runPoison(kind, () => performance.now() >= endsAt));
  }
  const ended = watchExits(fleet);
  const startedAt = endsAt - options.forMs;
  const faults = plan.map(async ({ at, fault }) => {
    await sleep(Math.max(0, startedAt + at - performance.now()));
    await fleet.applyFault(fault);
  });
  const requests = (await Promise.all(calls)).flat();
  await Promise.all(faults);
  await fleet.waitRestarts();
  const broken: SoakReport["broken"] = await checkRecovery(fleet, options);
  ended.stop();
  machine.stop();
  await sleep(SETTLE_MS);
  broken.push(
    ...ended.list(),
    ...listViolations({
      requests,
      runs: fleet.countRuns(),
      versions: fleet.versions,
      revoked: fleet.revoked,
      published: fleet.published,
      limits: fleet.limits.list(),
      leaving: fleet.leaving.list(),
      listedLeaving: fleet.leaving.listListed(),
      backOffs: fleet.backOffs.list(),
      senders: fleet.listSenders(),
      receivedRefusals: fleet.listReceivedRefusals(),
      cuts: fleet.links.cuts,
      falls: fleet.brittle.listFalls(),
      isStoreDisturbed: (from, to) => fleet.isStoreDisturbed(from, to),
      isStoreDisturbedFor: (vm, from, to) =>
        fleet.isStoreDisturbedFor(vm, from, to),
      isMachineBusy: machine.isBusy,
      getLateMs: machine.getLateMs,
    }) satisfies Violation[],
  );
  const takenUp = requests.filter((each) => each.takesUp !== undefined);
  return {
    requests: requests.length,
    statuses: countBy(requests.map(({ status }) => String(status))),
    takenUp: takenUp.length,
    wentOn: takenUp.filter(({ status }) => status === 200).length,
    faults: countBy(plan.map(({ fault }) => fault.kind)),
    mostLateMs: machine.getMostLateMs(),
    broken,
    logs: broken.length === 0
      ? ""
      : fleet.vms.map((vm) =>
        options.hasWholeLogs ? vm.readLog().join("\n") : vm.readLogTail()
      ).join("\n\n"),
  };
}

async function checkRecovery(
  fleet: SoakFleet,
  options: SoakOptions,
): Promise<SoakReport["broken"]> {
  const random = SeededRandom.create(options.seed + 1);
  try {
    await waitUntil(
      "all VMs to serve",
      RECOVERY_TIMEOUT_MS,
      () => isServing(fleet, random),
    );
    return [];
  } catch (thrown) {
    return [{
      promise: "all VMs serve after the faults",
      detail: String(thrown),
    }];
  }
}

/** Whether each VM answers a request on each route. */
async function isServing(
  fleet: SoakFleet,
  random: SeededRandom,
): Promise<boolean> {
  const answers = await Promise.all(
    fleet.vms.flatMap((vm) =>
      SOAK_ROUTES.map((route) => {
        const name = `check-${Date.now()}-${vm.name}-${route.path}`;
        // Keys that change may have been revoked.
        return SoakCaller.create(fleet, random, name)
          .send(vm, route, { key: PERMANENT_KEY });
      })
    ),
  );
  return answers.every(({ status, isWhole }) => status === 200 && isWhole);
}

/** Records processes that exit without being told to. */
function watchExits(fleet: SoakFleet) {
  const ended = new Map<string, string>();
  const timer = setInterval(() => {
    for (const vm of fleet.vms) {
      if (!vm.hasEnded || vm.isEndExpected) continue;
      ended.set(vm.name, vm.readLogTail());
    }
  }, 100);
  return {
    stop: () => clearInterval(timer),
    list: () =>
      [...ended].map(([name, log]) => ({
        promise: "no process exits by itself",
        detail: `${name}: ${log}`,
      })),
  };
}

/**
 * Records when timers of this process fire late: other work then occupies the
 * processors, so delays of the daemons are no evidence of a fault.
 */
function watchMachine() {
  const late: { at: number; ms: number }[] = [];
  let dueAt = performance.now() + TIMER_INTERVAL_MS;
  const timer = setInterval(() => {
    const now = performance.now();
    if (now - dueAt > BUSY_LATENESS_MS) late.push({ at: now, ms: now - dueAt });
    dueAt = now + TIMER_INTERVAL_MS;
  }, TIMER_INTERVAL_MS);
  return {
    stop: () => clearInterval(timer),
    getMostLateMs: () => Math.round(Math.max(0, ...late.map(({ ms }) => ms))),
    getLateMs: (from: number, to: number) =>
      late.filter(({ at, ms }) => at >= from && at - ms <= to)
        .reduce((sum, { ms }) => sum + ms, 0),
    isBusy: (from: number, to: number) =>
      late.some(({ at, ms }) => at >= from && at - ms <= to),
  };
}

function countBy(names: string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}
