/**
 * Measures by how much workspaces exceed their limits, in virtual time.
 *
 * @module
 */
import { toId, type VmId, type WorkspaceName } from "../src/ids.ts";
import {
  type Admission,
  buildWorkspace,
  LimitFleet,
} from "./support/limit_fleet.ts";

const MINUTE_MS = 60_000;
const RUN_MS = 240_000;
const IDLE_MS = 30_000;
const FAULT_AT_MS = 90_000;
const FAULT_MS = 60_000;
const VMS = 8;
const WORKSPACE = toId<WorkspaceName>("large");
const LIMITS = { requestsPerMinute: 1_200, tokensPerMinute: 600_000 };
const TOKENS = 500;
const MANY_WORKSPACES = 3_400;

/** Admitted requests relative to the limit. */
export interface LimitFigures {
  scenario: string;
  /** Most requests in any minute, divided by the limit. */
  worstMinute: number;
  /** All requests after the first 30 s, divided by the limit for that time. */
  overall: number;
  /**
   * Limit calls per second in the whole fleet, including those of a VM to
   * itself.
   */
  callsPerSecond: number;
  refused: number;
}

type Fault = (fleet: LimitFleet) => Promise<void>;

const FAULTS: Record<string, Fault> = {
  steady: () => Promise.resolve(),
  owner_lost: (fleet) => fleet.destroyVm(fleet.findOwner(WORKSPACE)),
  partition: (fleet) => {
    const vms = fleet.listVms();
    return fleet.runPartition(vms.slice(0, 4), vms.slice(4), FAULT_MS);
  },
  uneven_partition: (fleet) => {
    const vms = fleet.listVms();
    return fleet.runPartition(vms.slice(0, 2), vms.slice(2), FAULT_MS);
  },
  paused_owner: (fleet) => fleet.runPause(fleet.findOwner(WORKSPACE), 30_000),
  idle_then_burst: () => Promise.resolve(),
  lossy: (fleet) => {
    fleet.network.setLossRate(0.05);
    fleet.network.setDuplicateRate(0.05);
    return Promise.resolve();
  },
};

/** Names of all scenarios. */
export const LIMIT_SCENARIOS: readonly string[] = Object.keys(FAULTS);

/**
 * Sends three times the limit through 8 VMs and injects the scenario's fault.
 */
export async function runLimitScenario(
  scenario: string,
  options: { seed: number; requestsPerMinute?: number; loadedVms?: number },
): Promise<LimitFigures> {
  const requestsPerMinute = options.requestsPerMinute ??
    LIMITS.requestsPerMinute;
  const limits = { requestsPerMinute, tokensPerMinute: 10_000_000 };
  const fleet = LimitFleet.create({
    seed: options.seed,
    vms: VMS,
    workspaces: [buildWorkspace(WORKSPACE, limits)],
  });
  const vms = fleet.listVms().slice(0, options.loadedVms ?? VMS);
  const everyMs = MINUTE_MS / (3 * requestsPerMinute / vms.length);
  const startMs = scenario === "idle_then_burst" ? IDLE_MS : 0;
  vms.forEach((vm, index) => startLoad(fleet, { vm, everyMs, index, startMs }));
  void fleet.clock.sleep(FAULT_AT_MS).then(() => FAULTS[scenario]!(fleet));
  await fleet.clock.run(RUN_MS);
  fleet.close();
  return {
    scenario,
    worstMinute: countWorstMinute(fleet.admissions) / requestsPerMinute,
    overall: computeOverall(fleet.admissions, requestsPerMinute),
    callsPerSecond: countCalls(fleet, vms) / (RUN_MS / 1_000),
    refused: fleet.refused,
  };
}

function startLoad(
  fleet: LimitFleet,
  options: { vm: VmId; everyMs: number; index: number; startMs: number },
): void {
  const { vm, everyMs, index } = options;
  const load = { everyMs, tokens: TOKENS, untilMs: RUN_MS };
  const startMs = options.startMs + everyMs * index / VMS;
  void fleet.clock.sleep(startMs)
    .then(() => fleet.runLoad(vm, WORKSPACE, load));
}

function countCalls(fleet: LimitFleet, vms: readonly VmId[]): number {
  return vms
    .map((vm) => fleet.getLimits(vm).stats.calls)
    .reduce((sum, calls) => sum + calls, 0);
}

/** Returns the most admissions in any window of one minute. */
export function countWorstMinute(admissions: readonly Admission[]): number {
  let first = 0;
  let worst = 0;
  admissions.forEach(({ at }, index) => {
    while (admissions[first]!.at <= at - MINUTE_MS) first += 1;
    worst = Math.max(worst, index - first + 1);
  });
  return worst;
}

function computeOverall(
  admissions: readonly Admission[],
  requestsPerMinute: number,
): number {
  const startMs = 30_000;
  const count = admissions.filter(({ at }) => at >= startMs).length;
  return count / (requestsPerMinute * (RUN_MS - startMs) / MINUTE_MS);
}

/** Figures for many workspaces with little traffic each. */
export interface ManyWorkspacesFigures {
  workspaces: number;
  requestsPerSecond: number;
  callsPerSecond: number;
  /** Processor time in microseconds, including the benchmark's own. */
  processorPerRequest: number;
  /** Largest value of any VM. */
  heldPerVm: number;
  bucketsPerVm: number;
  /** Heap of all VMs' limits, divided by the number of VMs. */
  bytesPerVm: number;
  /** Limits and buckets left on all VMs two minutes after the load. */
  leftAfterIdle: number;
}

/** Sends little traffic of many workspaces through 8 VMs. */
export async function runManyWorkspaces(
  seed: number,
  workspaces = MANY_WORKSPACES,
): Promise<ManyWorkspacesFigures> {
  const names = Array.from(
    { length: workspaces },
    (_, index) => toId<WorkspaceName>(`workspace-${index}`),
  );
  const heapBefore = readHeap();
  const fleet = LimitFleet.create({
    seed,
    vms: VMS,
    workspaces: names.map((name) => buildWorkspace(name, LIMITS)),
  });
  const vms = fleet.listVms();
  const rounds = 6;
  const processorBefore = process.cpuUsage();
  for (let round = 0; round < rounds; round++) {
    names.forEach((name, index) => {
      const vm = vms[(index + round) % VMS]!;
      void fleet.clock.sleep(index % 1_000)
        .then(() => fleet.admit(vm, name, TOKENS));
    });
    await fleet.clock.run(5_000);
  }
  const processor = process.cpuUsage(processorBefore);
  const calls = countCalls(fleet, vms);
  const figures = vms.map((vm) => fleet.getLimits(vm).stats);
  fleet.admissions.length = 0;
  const bytes = readHeap() - heapBefore;
  await fleet.clock.run(120_000);
  const left = vms.map((vm) => fleet.getLimits(vm).stats);
  fleet.close();
  return {
    workspaces,
    requestsPerSecond: workspaces / 5,
    callsPerSecond: calls / (rounds * 5),
    processorPerRequest: (processor.user + processor.system) /
      (rounds * workspaces),
    heldPerVm: Math.max(...figures.map(({ held }) => held)),
    bucketsPerVm: Math.max(...figures.map(({ buckets }) => buckets)),
    bytesPerVm: Math.round(bytes / VMS),
    leftAfterIdle: left
      .reduce((sum, { held, buckets }) => sum + held + buckets, 0),
  };
}

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
