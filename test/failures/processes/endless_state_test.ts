import { createSocket } from "node:dgram";
import { setTimeout as sleep } from "node:timers/promises";
import { beforeAll, expect, it, onTestFinished } from "vitest";
import { toId } from "../../../src/ids.ts";
import { encodeMessage } from "../../../src/process/seeded_fleet/index.ts";
import { EndlessReplica } from "../../support/endless_replica.ts";
import { LOOPBACK } from "../../support/loopback.ts";
import {
  buildDaemon,
  PlatformProcesses,
} from "../../support/platform_processes.ts";

const VMS = 3;
/** Of a process that may use 256 MB. */
const HEAP_MB = 120;
const MAX_MEMORY_BYTES = 256_000_000;
const RUN_MS = 3_000;
const GAP_MS = 50;
const HEARTBEAT_MS = 150;
/** A leaving replica may still receive requests for this long. */
const DRAIN_MS = 2_000;

beforeAll(buildDaemon);

async function createFleet(): Promise<PlatformProcesses> {
  const fleet = await PlatformProcesses.create();
  for (const id of ["i-1", "i-2"]) await fleet.addReplica(id);
  await fleet.addVms(VMS, { heapMb: HEAP_MB });
  return fleet;
}

/** Sends ordinary requests and expects that all are answered. */
async function checkServing(fleet: PlatformProcesses): Promise<void> {
  const answers: Promise<{ status: number }>[] = [];
  const until = performance.now() + RUN_MS;
  for (let index = 0; performance.now() < until; index++) {
    answers.push(fleet.send(fleet.vms[index % VMS]!));
    await sleep(GAP_MS);
  }
  const statuses = (await Promise.all(answers)).map(({ status }) => status);
  expect(statuses).toEqual(statuses.map(() => 200));
  for (const vm of fleet.vms) {
    expect(vm.hasEnded, vm.readLogTail()).toBe(false);
  }
  expect(fleet.readPeakMemory()).toBeLessThan(MAX_MEMORY_BYTES);
}

// Guards against VMs that run out of memory, or of time, by answers of the store
// that have no end.
it("VMs live beside a store that answers without end", async () => {
  const fleet = await createFleet();
  fleet.store.mode = "endless";
  fleet.store.destroyConnections();
  await checkServing(fleet);
  fleet.store.mode = "up";
  const [leaving] = fleet.replicas;
  fleet.listReplica(leaving!, { state: "draining" });
  await sleep(DRAIN_MS);
  const before = leaving!.seen.length;
  await checkServing(fleet);
  expect(leaving!.seen.length - before).toBe(0);
});

// Guards against the same by answers of another VM, which claims to have newer
// state.
it.each(["a", "[1,", "1\r\na\r\n"])(
  "VMs live beside another one that answers without end, %o",
  async (rest) => {
    const fleet = await createFleet();
    const isChunked = rest.includes("\r\n");
    const start = "HTTP/1.1 200 OK\r\n" +
      (isChunked ? "transfer-encoding: chunked\r\n\r\n" : "\r\n");
    const other = EndlessReplica.create("vm-9", { start, rest });
    await other.start();
    onTestFinished(() => other.stop());
    const socket = createSocket("udp4");
    onTestFinished(() => void socket.close());
    let sequence = 0;
    const timer = setInterval(() => {
      sequence += 1;
      const heartbeat = encodeMessage({
        kind: "heartbeat",
        vm: toId("vm-9"),
        incarnation: toId("life"),
        sequence,
        dataCentre: toId("dc-1"),
        callers: `${LOOPBACK}:${other.port}`,
        state: `${LOOPBACK}:${other.port}`,
        isServing: false,
        isDraining: false,
        isPrimed: true,
        configVersion: 1_000,
        listRevision: 1_000_000,
        listEra: 1,
        isStoreLost: false,
        listAgeMs: 0,
        nextMs: HEARTBEAT_MS,
        heard: 1,
        cores: 1,
      });
      for (const vm of fleet.vms) {
        const { host, port } = vm.getEndpoint("peers");
        socket.send(heartbeat, port, host);
      }
    }, HEARTBEAT_MS);
    onTestFinished(() => clearInterval(timer));
    await checkServing(fleet);
    expect(other.seen).toBeGreaterThan(0);
  },
);
