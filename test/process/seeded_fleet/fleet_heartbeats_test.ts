import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import {
  DatagramLink,
  encodeMessage,
  FleetHeartbeats,
  type FleetPeer,
  type HeartbeatContent,
  type WorkReport,
} from "../../../src/process/seeded_fleet/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const NO_NEWS = { entries: [], reports: [], answers: [] };

type Handle = (bytes: Uint8Array, from: string) => void;

/** Datagrams between VMs in virtual time; single directions can be cut. */
class FakeNetwork {
  readonly clock = VirtualClock.create();
  readonly cut = new Set<string>();
  readonly handles = new Map<string, Handle>();
  sent = 0;
  sentBytes = 0;

  createLink(self: string): DatagramLink {
    return new FakeLink(this, self);
  }

  send(from: string, to: string, bytes: Uint8Array): void {
    this.sent += 1;
    this.sentBytes += bytes.length;
    if (this.cut.has(`${from}>${to}`)) return;
    this.clock.startTimer(1, () => this.handles.get(to)?.(bytes, from));
  }
}

class FakeLink extends DatagramLink {
  readonly #network: FakeNetwork;
  readonly #self: string;

  constructor(network: FakeNetwork, self: string) {
    super();
    this.#network = network;
    this.#self = self;
  }

  send(to: string, bytes: Uint8Array): void {
    this.#network.send(this.#self, to, bytes);
  }

  onDatagram(handle: Handle): void {
    this.#network.handles.set(this.#self, handle);
  }

  close(): void {
    this.#network.handles.delete(this.#self);
  }
}

interface VmOptions {
  seeds: string[];
  incarnation?: string;
  takeResults?: () => WorkReport["results"];
  /** Undefined if every VM places requests. */
  owners?: string[];
  onHeartbeat?: (peer: FleetPeer) => void;
}

function startVm(
  network: FakeNetwork,
  index: number,
  options: VmOptions,
): FleetHeartbeats {
  const vm = toId<VmId>(`vm-${index}`);
  const self = `10.0.0.${index}:1`;
  const owners = options.owners &&
    new Set(options.owners.map((name) => toId<VmId>(name)));
  const content: HeartbeatContent = {
    vm,
    incarnation: toId(options.incarnation ?? "life-1"),
    dataCentre: toId("dc"),
    callers: `10.0.0.${index}:2`,
    state: `10.0.0.${index}:3`,
    isServing: true,
    isDraining: false,
    isPrimed: false,
    configVersion: 1,
    listRevision: 1,
    listAgeMs: 0,
    isStoreLost: false,
    cores: 1,
  };
  const started = FleetHeartbeats.create({
    vm,
    clock: network.clock,
    random: SeededRandom.create(index),
    log: SilentLog.create(),
    link: network.createLink(self),
    getSeeds: () => options.seeds,
    self,
    buildHeartbeat: () => content,
    hasRecentWaits: () => false,
    takeWorkUpdates: () => {
      const results = options.takeResults?.() ?? [];
      const work: WorkReport = {
        loads: [],
        results,
        unreached: [],
        rejections: [],
        speeds: [],
        placements: [],
        reads: [],
        lastAsk: 0,
        openAsks: [],
        limits: [],
        leaving: [],
      };
      return [{ owners, work, isNew: results.length > 0 }];
    },
    listOwners: () => owners,
    onHeartbeat: options.onHeartbeat ?? (() => {}),
    onPlacementRequest: ({ ask }) => ({ kind: "answer", ask, isFull: false }),
    onSuspects: () => NO_NEWS,
    listSuspects: () => NO_NEWS,
    onNewsAnswer: () => {},
    onPlacementAnswer: () => {},
    onOrigin: () => {},
    onOriginQuery: ({ ask }) => ({ kind: "origin_answer", ask, vm }),
    onOriginAnswer: () => {},
  });
  started.start();
  return started;
}

function startVms(
  network: FakeNetwork,
  count: number,
  options: VmOptions,
): FleetHeartbeats[] {
  return Array.from(
    { length: count },
    (_, index) => startVm(network, index + 1, options),
  );
}

function listNames(vm: FleetHeartbeats): string[] {
  return vm.peers.listLive().map(({ heartbeat }) => heartbeat.vm).sort();
}

describe("FleetHeartbeats", () => {
  it("makes all VMs discover each other through one live seed", async () => {
    const network = new FakeNetwork();
    const seeds = ["10.0.0.99:1", "10.0.0.1:1"];
    const vms = [1, 2, 3, 4, 5].map((index) =>
      startVm(network, index, { seeds })
    );
    await network.clock.run(1_000);
    expect(vms.map((vm) => listNames(vm).length)).toEqual([
      4,
      4,
      4,
      4,
      4,
    ]);
  });

  it("detects a silent VM within a second", async () => {
    const network = new FakeNetwork();
    const [first, second] = [1, 2].map((index) =>
      startVm(network, index, { seeds: ["10.0.0.1:1"] })
    );
    await network.clock.run(500);
    second!.stop();
    await network.clock.run(1_200);
    expect(listNames(first!)).toEqual([]);
  });

  // Guards against a fleet that stays split after a partition: once both sides
  // have considered each other silent, nobody retries the silent VMs.
  it("reconnects VMs after a partition", async () => {
    const network = new FakeNetwork();
    const [first, second] = [1, 2].map((index) =>
      startVm(network, index, { seeds: [] })
    );
    const third = startVm(network, 3, {
      seeds: ["10.0.0.1:1", "10.0.0.2:1"],
    });
    await network.clock.run(1_000);
    const cuts = ["10.0.0.1:1>10.0.0.2:1", "10.0.0.2:1>10.0.0.1:1"];
    cuts.forEach((cut) => network.cut.add(cut));
    await network.clock.run(3_000);
    expect(listNames(first!)).toEqual(["vm-3"]);
    network.cut.clear();
    await network.clock.run(1_500);
    expect(listNames(first!)).toEqual(["vm-2", "vm-3"]);
    expect(listNames(second!)).toEqual(["vm-1", "vm-3"]);
    expect(listNames(third)).toEqual(["vm-1", "vm-2"]);
  });

  // Guards against heartbeats that take most of a large fleet's network and
  // processor time. Ninety VMs have work updates all the time; without a bound
  // each VM sends every update to all others, some forty times a second.
  it("sends a bounded number of datagrams in a fleet of any size", async () => {
    const network = new FakeNetwork();
    const count = 90;
    const vms = startVms(network, count, { seeds: ["10.0.0.1:1"] });
    await network.clock.run(3_000);
    expect(listNames(vms[7]!)).toHaveLength(count - 1);
    network.sent = 0;
    for (let step = 0; step < 100; step++) {
      vms.forEach((vm) => vm.announceWork());
      await network.clock.run(10);
    }
    expect(network.sent / count).toBeLessThan(450);
    expect(listNames(vms[7]!)).toHaveLength(count - 1);
  });

  // Guards against a dead VM that remains in the directory's answers for many
  // seconds. Heartbeats between two of ninety VMs are rare, and a VM that gets
  // no report from an owner has to miss six of them.
  it("learns of a silent VM from pool owners", async () => {
    const network = new FakeNetwork();
    const owners = ["vm-1", "vm-2", "vm-3"];
    const vms = startVms(network, 90, { seeds: ["10.0.0.1:1"], owners });
    await network.clock.run(4_000);
    expect(listNames(vms[7]!)).toHaveLength(89);
    vms[50]!.stop();
    await network.clock.run(1_300);
    expect(listNames(vms[7]!)).toHaveLength(88);
    expect(listNames(vms[7]!)).not.toContain("vm-51");
  });

  // Guards against callers that get the addresses of only half a fleet for
  // seconds after a partition. Twenty of forty VMs are cut off until all are
  // considered silent. If silent VMs are retried only with the rare heartbeats
  // to all, and answer only with their own next heartbeat, the two sides find
  // each other late.
  it("reconnects a large fleet soon after a partition", async () => {
    const network = new FakeNetwork();
    const owners = ["vm-1", "vm-2"];
    const seeds = ["10.0.0.1:1", "10.0.0.40:1"];
    const vms = startVms(network, 40, { seeds, owners });
    await network.clock.run(8_000);
    for (let left = 1; left <= 20; left++) {
      for (let right = 21; right <= 40; right++) {
        network.cut.add(`10.0.0.${left}:1>10.0.0.${right}:1`);
        network.cut.add(`10.0.0.${right}:1>10.0.0.${left}:1`);
      }
    }
    await network.clock.run(40_000);
    expect(listNames(vms[7]!)).toHaveLength(19);
    network.cut.clear();
    await network.clock.run(1_200);
    const liveCounts = vms.map((vm) => listNames(vm).length);
    expect(Math.min(...liveCounts)).toBeGreaterThanOrEqual(36);
  });

  it("sends work updates only to pool owners", async () => {
    const network = new FakeNetwork();
    const owners = ["vm-1", "vm-2", "vm-3"];
    const vms = startVms(network, 90, { seeds: ["10.0.0.1:1"], owners });
    await network.clock.run(4_000);
    network.sent = 0;
    for (let step = 0; step < 100; step++) {
      vms.forEach((vm) => vm.announceWork());
      await network.clock.run(10);
    }
    expect(network.sent / vms.length).toBeLessThan(200);
  });

  // Guards against twice the traffic between VMs that operators allow, and nine
  // tenths of the traffic between data centres at 195 VMs. Under low load each
  // VM has few updates; sending its whole state and work to all owners seven
  // times a second, changed or not, costs that much.
  it("sends few bytes to pool owners while nothing changes", async () => {
    const network = new FakeNetwork();
    const owners = ["vm-1", "vm-2", "vm-3", "vm-4"];
    const vms = startVms(network, 60, { seeds: ["10.0.0.1:1"], owners });
    await network.clock.run(20_000);
    network.sentBytes = 0;
    await network.clock.run(10_000);
    const bytesPerSecond = network.sentBytes / vms.length / 10;
    expect(bytesPerSecond).toBeLessThan(6_000);
    expect(listNames(vms[7]!)).toHaveLength(59);
  });

  // Guards against VMs that read the store although others have a fresh view.
  // One of sixty VMs has just read the store. If a VM sends its heartbeats to
  // all others at a time, once in many seconds, its report is outdated when the
  // others need it.
  it("spreads heartbeats to a VM evenly over time", async () => {
    const network = new FakeNetwork();
    const owners = ["vm-1", "vm-2"];
    const receivedAt: number[] = [];
    const listener = startVm(network, 61, {
      seeds: ["10.0.0.1:1"],
      owners,
      onHeartbeat: () => receivedAt.push(network.clock.now()),
    });
    startVms(network, 60, { seeds: ["10.0.0.1:1"], owners });
    await network.clock.run(30_000);
    receivedAt.length = 0;
    await network.clock.run(12_000);
    const gaps = receivedAt.slice(1).map((at, index) =>
      at - receivedAt[index]!
    );
    expect(Math.max(...gaps)).toBeLessThan(1_000);
    expect(listNames(listener)).toHaveLength(60);
  });

  // Guards against VMs that keep sending to a replica that fails for the
  // others. A VM has a work update; before its next heartbeat it discovers a
  // new VM and sends it a heartbeat. If that heartbeat took the update, the
  // other VMs would never receive it.
  it("sends a work update to all VMs after greeting a new one", async () => {
    const network = new FakeNetwork();
    let results: WorkReport["results"] = [];
    const received: WorkReport["results"] = [];
    startVm(network, 1, {
      seeds: ["10.0.0.2:1"],
      takeResults: () => results.splice(0),
    });
    startVm(network, 2, {
      seeds: [],
      onHeartbeat: ({ heartbeat }) =>
        received.push(...heartbeat.work?.results ?? []),
    });
    await network.clock.run(1_000);
    results = [[toId<VmId>("replica-1"), 0, 1]];
    const endpoints = ["10.0.0.3:1"];
    const bytes = encodeMessage({ kind: "members", endpoints });
    network.handles.get("10.0.0.1:1")!(bytes, "10.0.0.2:1");
    await network.clock.run(500);
    expect(received).toEqual([["replica-1", 0, 1]]);
  });

  it("ignores datagrams that are not valid messages", async () => {
    const network = new FakeNetwork();
    const vm = startVm(network, 1, { seeds: [] });
    const handle = network.handles.get("10.0.0.1:1")!;
    handle(Buffer.from("nonsense"), "10.0.0.7:1");
    handle(Buffer.from('{"kind":"heartbeat"}'), "10.0.0.7:1");
    handle(Buffer.from('["heartbeat"]'), "10.0.0.7:1");
    handle(Buffer.from('["other", 1]'), "10.0.0.7:1");
    await network.clock.run(100);
    expect(listNames(vm)).toEqual([]);
  });
});
