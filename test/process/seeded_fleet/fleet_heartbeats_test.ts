import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import {
  DatagramLink,
  encodeMessage,
  FleetHeartbeats,
  type FleetPeer,
  type FleetWork,
  type HeartbeatContent,
} from "../../../src/process/seeded_fleet/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

type Handle = (bytes: Uint8Array, from: string) => void;

/** Datagrams between VMs in virtual time; some ways may be cut. */
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
  takeResults?: () => FleetWork["results"];
  /** All others, if left out. */
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
    takeWork: () => {
      const results = options.takeResults?.() ?? [];
      const work: FleetWork = {
        loads: [],
        results,
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
    onAsk: ({ ask }) => ({ kind: "answer", ask, isFull: false }),
    onSuspects: () => [],
    listSuspects: () => [],
    onAnswer: () => {},
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

describe("VMs that send heartbeats", () => {
  it("all hear each other by one seed that lives", async () => {
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

  it("miss one that fell silent within a second", async () => {
    const network = new FakeNetwork();
    const [first, second] = [1, 2].map((index) =>
      startVm(network, index, { seeds: ["10.0.0.1:1"] })
    );
    await network.clock.run(500);
    second!.stop();
    await network.clock.run(1_200);
    expect(listNames(first!)).toEqual([]);
  });

  // Symptom: half of a fleet serves without the other half for good.
  // Sequence: a partition lasts until both sides miss each other, and heals.
  // Cause: nobody tries a VM again that fell silent.
  it("find each other again after a partition", async () => {
    const network = new FakeNetwork();
    const [first, second] = [1, 2].map((index) =>
      startVm(network, index, { seeds: [] })
    );
    const third = startVm(network, 3, {
      seeds: ["10.0.0.1:1", "10.0.0.2:1"],
    });
    await network.clock.run(1_000);
    const ways = ["10.0.0.1:1>10.0.0.2:1", "10.0.0.2:1>10.0.0.1:1"];
    ways.forEach((way) => network.cut.add(way));
    await network.clock.run(3_000);
    expect(listNames(first!)).toEqual(["vm-3"]);
    network.cut.clear();
    await network.clock.run(1_500);
    expect(listNames(first!)).toEqual(["vm-2", "vm-3"]);
    expect(listNames(second!)).toEqual(["vm-1", "vm-3"]);
    expect(listNames(third)).toEqual(["vm-1", "vm-2"]);
  });

  // Symptom: VMs spend their links and processors on vm in a large fleet.
  // Sequence: ninety VMs, each with news of its own work all the time.
  // Cause: each VM's news went to all others some forty times a second.
  it("send a bounded number of datagrams, however many they are", async () => {
    const network = new FakeNetwork();
    const count = 90;
    const vms = startVms(network, count, { seeds: ["10.0.0.1:1"] });
    await network.clock.run(3_000);
    expect(listNames(vms[7]!)).toHaveLength(count - 1);
    network.sent = 0;
    for (let step = 0; step < 100; step++) {
      vms.forEach((vm) => vm.announceNews());
      await network.clock.run(10);
    }
    expect(network.sent / count).toBeLessThan(450);
    expect(listNames(vms[7]!)).toHaveLength(count - 1);
  });

  // Symptom: a VM that died is in the directory's answers for many seconds.
  // Sequence: ninety VMs; the heartbeats between two of them are rare.
  // Cause: each VM waited for six of them to be missed.
  it("hear of a silent one by those that place requests", async () => {
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

  // Symptom: for seconds after a partition, callers are told of half a fleet.
  // Sequence: half of forty VMs are cut off from the others, until all are
  // missed.
  // Cause: silent VMs were tried only with the rare heartbeats to all, and did
  // not answer until their own.
  it("hear each other soon after a partition of a large fleet", async () => {
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
    const heard = vms.map((vm) => listNames(vm).length);
    expect(Math.min(...heard)).toBeGreaterThanOrEqual(36);
  });

  it("send news to those that place requests alone", async () => {
    const network = new FakeNetwork();
    const owners = ["vm-1", "vm-2", "vm-3"];
    const vms = startVms(network, 90, { seeds: ["10.0.0.1:1"], owners });
    await network.clock.run(4_000);
    network.sent = 0;
    for (let step = 0; step < 100; step++) {
      vms.forEach((vm) => vm.announceNews());
      await network.clock.run(10);
    }
    expect(network.sent / vms.length).toBeLessThan(200);
  });

  // Symptom: VMs spend twice the bytes on each other that operators allow, and
  // at 195 VMs nine tenths of all that passes between data centres.
  // Sequence: a large fleet on a calm day; each VM has news now and then.
  // Cause: all that a VM says of itself and of its work went to all that place
  // requests seven times a second, whether anything had changed or not.
  it("say little to those that place requests while nothing changes", async () => {
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

  // Symptom: VMs ask the store though others have a fresh view.
  // Sequence: sixty VMs; one has read the store just now.
  // Cause: a VM was heard once in many seconds, as heartbeats went to all at a
  // time, so what the one had said was old by the time others needed it.
  it("are told by each other at any time, not by all at once", async () => {
    const network = new FakeNetwork();
    const owners = ["vm-1", "vm-2"];
    const heardAt: number[] = [];
    const listener = startVm(network, 61, {
      seeds: ["10.0.0.1:1"],
      owners,
      onHeartbeat: () => heardAt.push(network.clock.now()),
    });
    startVms(network, 60, { seeds: ["10.0.0.1:1"], owners });
    await network.clock.run(30_000);
    heardAt.length = 0;
    await network.clock.run(12_000);
    const gaps = heardAt.slice(1).map((at, index) => at - heardAt[index]!);
    expect(Math.max(...gaps)).toBeLessThan(1_000);
    expect(listNames(listener)).toHaveLength(60);
  });

  // Symptom: some VMs go on sending to a replica that fails for the others.
  // Sequence: a VM has news; before its next heartbeat it is told of a VM that
  // it has not heard of, and makes itself known there.
  // Cause: that heartbeat took the news with it, and went to the new VM alone.
  it("tell news to all when they make themselves known to a new one", async () => {
    const network = new FakeNetwork();
    let news: FleetWork["results"] = [];
    const heard: FleetWork["results"] = [];
    startVm(network, 1, {
      seeds: ["10.0.0.2:1"],
      takeResults: () => news.splice(0),
    });
    startVm(network, 2, {
      seeds: [],
      onHeartbeat: ({ heartbeat }) =>
        heard.push(...heartbeat.work?.results ?? []),
    });
    await network.clock.run(1_000);
    news = [[toId<VmId>("replica-1"), 0, 1]];
    const endpoints = ["10.0.0.3:1"];
    const bytes = encodeMessage({ kind: "members", endpoints });
    network.handles.get("10.0.0.1:1")!(bytes, "10.0.0.2:1");
    await network.clock.run(500);
    expect(heard).toEqual([["replica-1", 0, 1]]);
  });

  it("are not misled by a datagram that is no message", async () => {
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
