/**
 * Measures the control-plane cost of membership in virtual time: messages,
 * bytes, processor time, memory and calls to the configuration service.
 *
 * @module
 */
import { toId } from "../src/ids.ts";
import type { ShardId } from "../src/ids.ts";
import { type FleetVm, VirtualFleet } from "../standin/virtual_fleet.ts";
import { buildExampleRecords } from "./support/fleet_records.ts";

const WARM_UP_MS = 10_000;
const SUMMARY_EVERY_MS = 500;
/** Number of VMs per shard whose owner announces summaries. */
const VMS_PER_SHARD = 4;
const BYTES_PER_MB = 1_048_576;

/** Means per VM, unless stated otherwise. */
export interface ControlFigures {
  vms: number;
  /** Sent and received messages. */
  messagesPerSecond: number;
  /** Sent and received JSON, without HTTP headers. */
  bytesPerSecond: number;
  /** Largest value of any VM. */
  mostBytesPerSecond: number;
  /** Processor time in percent of one core, including the benchmark's own. */
  processorPercent: number;
  /** Heap of one VM's components. */
  heapMegabytes: number;
  /** Calls of the whole fleet to the configuration service. */
  serviceCallsPerMinute: number;
  /** VMs that watch the configuration service at the end of the run. */
  watchers: number;
  /**
   * Pairs of VMs in which one suspects the other or considers it dead at the
   * end; no VM has failed.
   */
  falselyDead: number;
}

/**
 * Runs `count` VMs for `ms` while owners announce summaries of their shards.
 */
export async function runFleetControl(
  count: number,
  ms: number,
): Promise<ControlFigures> {
  const heapBefore = readHeap();
  const fleet = VirtualFleet.create({ count });
  fleet.service.putVersion(1, buildExampleRecords(1));
  fleet.startAll();
  startSummaries(fleet);
  await fleet.clock.run(WARM_UP_MS);
  const before = fleet.list().map((vm) => readTraffic(fleet, vm));
  const callsBefore = fleet.service.calls;
  const processorBefore = process.cpuUsage();
  await fleet.clock.run(ms);
  const processor = process.cpuUsage(processorBefore);
  const after = fleet.list().map((vm) => readTraffic(fleet, vm));
  const heap = readHeap() - heapBefore;
  const seconds = ms / 1_000;
  const bytes = after.map((one, index) => one.bytes - before[index]!.bytes);
  const messages = after.map((one, index) =>
    one.messages - before[index]!.messages
  );
  const figures = {
    vms: count,
    messagesPerSecond: computeMean(messages) / seconds,
    bytesPerSecond: computeMean(bytes) / seconds,
    mostBytesPerSecond: Math.max(...bytes) / seconds,
    processorPercent: (processor.user + processor.system) /
      (1_000 * ms * count) * 100,
    heapMegabytes: heap / count / BYTES_PER_MB,
    serviceCallsPerMinute: (fleet.service.calls - callsBefore) / seconds * 60,
    watchers:
      fleet.list().filter((vm) => vm.follower.listVersions().isWatcher).length,
    falselyDead: countSuspicions(fleet),
  };
  for (const vm of fleet.list()) fleet.stopVm(vm.listed.id);
  return figures;
}

/** Fits a line by least squares; `start` is its value at zero. */
export function computeLine(
  points: readonly [number, number][],
): { slope: number; start: number } {
  const meanX = computeMean(points.map(([x]) => x));
  const meanY = computeMean(points.map(([, y]) => y));
  let products = 0;
  let squares = 0;
  for (const [x, y] of points) {
    products += (x - meanX) * (y - meanY);
    squares += (x - meanX) ** 2;
  }
  const slope = products / squares;
  return { slope, start: meanY - slope * meanX };
}

function startSummaries(fleet: VirtualFleet): void {
  const owners = fleet.list().filter((_, index) => index % VMS_PER_SHARD === 0);
  for (const [index, owner] of owners.entries()) {
    void runSummaries(fleet, owner, toId<ShardId>(`pool/${index}`));
  }
}

async function runSummaries(
  fleet: VirtualFleet,
  owner: FleetVm,
  shard: ShardId,
): Promise<void> {
  const vm = owner.listed.id;
  for (let sequence = 1; fleet.vms.has(vm); sequence += 1) {
    owner.prober.announceSummary({
      shard,
      owner: vm,
      room: sequence % 16,
      slots: 64,
      waitingByRank: { 0: 1, 1: 12, 2: sequence % 40 },
      lowestRank: 2,
      expectedWaitMs: 250 + sequence % 1_000,
      sequence,
    });
    await fleet.clock.sleep(SUMMARY_EVERY_MS);
  }
}

function readTraffic(
  fleet: VirtualFleet,
  vm: FleetVm,
): { messages: number; bytes: number } {
  const traffic = fleet.network.getTraffic(vm.listed.id);
  return {
    messages: traffic.messagesSent + traffic.messagesReceived,
    bytes: traffic.bytesSent + traffic.bytesReceived,
  };
}

function countSuspicions(fleet: VirtualFleet): number {
  let suspicions = 0;
  for (const vm of fleet.list()) {
    for (const other of fleet.list()) {
      if (vm.membership.findSuspicion(other.listed.id) !== undefined) {
        suspicions += 1;
      }
    }
  }
  return suspicions;
}

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
