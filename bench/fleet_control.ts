/**
 * Measures what VMs spend on watching each other, in virtual time: messages,
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
/** VMs to one shard whose owner announces summaries. */
const VMS_PER_SHARD = 4;
const BYTES_PER_MB = 1_048_576;

/** Means for one VM, unless said otherwise. */
export interface ControlFigures {
  vms: number;
  /** Sent and received, a second. */
  messagesPerSecond: number;
  /** Of JSON, sent and received, without HTTP headers, a second. */
  bytesPerSecond: number;
  /** The VM with the most of them. */
  mostBytesPerSecond: number;
  /** Processor time of one core, in percent, with the bench's own share. */
  processorPercent: number;
  /** Heap for one VM's parts. */
  heapMegabytes: number;
  /** Calls of the whole fleet to the configuration service, a minute. */
  serviceCallsPerMinute: number;
  /** The same without any watch or read cut short by a change. */
  watchers: number;
  /** VMs suspected or held for dead at the end; none has failed. */
  falselyDead: number;
}

/** Runs `count` VMs for `ms` with summaries of every shard. */
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
    falselyDead: countDoubts(fleet),
  };
  for (const vm of fleet.list()) fleet.stopVm(vm.listed.id);
  return figures;
}

/** The slope and the value at zero of a line through the points. */
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

function countDoubts(fleet: VirtualFleet): number {
  let doubts = 0;
  for (const vm of fleet.list()) {
    for (const other of fleet.list()) {
      if (vm.membership.findSuspicion(other.listed.id) !== undefined) {
        doubts += 1;
      }
    }
  }
  return doubts;
}

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
