import { describe, expect, it } from "vitest";
import {
  type Incarnation,
  type RequestFingerprint,
  toId,
  type VmId,
} from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import { RequestQuarantine } from "../../../src/process/quarantine/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { QuarantineFleet, toKeys } from "./quarantine_fleet.ts";

const POISON = toId<RequestFingerprint>("poison");
const HARMLESS = toId<RequestFingerprint>("harmless");
/** Longer than it takes to announce a crash to all VMs. */
const ANNOUNCE_MS = 20;
/** Time within which all VMs have to know of a third crash. */
const SPREAD_MS = 3_000;
const MAX_LATE_SENDS = 3;

describe("a request that crashes replicas", () => {
  it("is held by all VMs after three of them saw a crash each", async () => {
    const fleet = QuarantineFleet.create({ vms: 8 });
    for (const vm of [0, 1, 2]) fleet.endReplica([[vm, POISON]]);
    await fleet.clock.run(ANNOUNCE_MS);
    expect(fleet.isHeldByAll(POISON)).toBe(true);
  });

  it("is held by a VM that starts after the crashes", async () => {
    const fleet = QuarantineFleet.create({ vms: 8 });
    for (const vm of [0, 1, 2]) fleet.endReplica([[vm, POISON]]);
    await fleet.clock.run(ANNOUNCE_MS);
    for (let vm = 0; vm < 7; vm++) {
      fleet.startVm(vm);
      await fleet.clock.run(SPREAD_MS);
    }
    expect(fleet.isHeldByAll(POISON)).toBe(true);
  });

  it("is held by a VM that was cut off, once it is reachable again", async () => {
    const fleet = QuarantineFleet.create({ vms: 8 });
    fleet.isLinkDown = (from, to) => from === 7 || to === 7;
    for (const vm of [0, 1, 2]) fleet.endReplica([[vm, POISON]]);
    await fleet.clock.run(SPREAD_MS);
    expect(fleet.isHeldByAll(POISON)).toBe(false);
    fleet.isLinkDown = () => false;
    await fleet.clock.run(SPREAD_MS);
    expect(fleet.isHeldByAll(POISON)).toBe(true);
  });

  // Guards against repeats at VMs that lost datagrams or have just started.
  for (let seed = 1; seed <= 50; seed++) {
    it(`reaches few replicas once it is known, seed ${seed}`, async () => {
      const fleet = QuarantineFleet.create({ vms: 8, seed, lossRate: 0.2 });
      const { clock, random } = fleet;
      const sentAt: number[] = [];
      for (let repeat = 0; repeat < 60; repeat++) {
        await clock.run(20 + random.nextInt(600));
        if (random.next() < 0.1) {
          // VMs restart one after the other, as in a release.
          fleet.startVm(random.nextInt(8));
          await clock.run(SPREAD_MS);
        }
        const vm = random.nextInt(8);
        if (fleet.getQuarantine(vm).getQuarantineMs(POISON) > 0) continue;
        sentAt.push(clock.now());
        await clock.run(random.nextInt(300));
        fleet.endReplica([[vm, POISON], [random.nextInt(8), HARMLESS]]);
      }
      const knownAt = sentAt[2]! + SPREAD_MS;
      expect(sentAt.filter((at) => at > knownAt).length)
        .toBeLessThanOrEqual(MAX_LATE_SENDS);
      expect(sentAt.length).toBeGreaterThanOrEqual(3);
    });
  }
});

describe("a harmless request that was running when replicas crashed", () => {
  it("is released by all VMs once a replica answered it completely", async () => {
    const fleet = QuarantineFleet.create({ vms: 8 });
    for (const vm of [0, 1, 2]) fleet.endReplica([[vm, HARMLESS]]);
    await fleet.clock.run(ANNOUNCE_MS);
    fleet.getQuarantine(5).noteAnswered(toKeys(HARMLESS), fleet.clock.now());
    await fleet.clock.run(ANNOUNCE_MS);
    for (let vm = 0; vm < 8; vm++) {
      expect(fleet.getQuarantine(vm).isSuspect(toKeys(HARMLESS))).toBe(false);
    }
  });

  it("is released by a VM that missed the update on its answer", async () => {
    const fleet = QuarantineFleet.create({ vms: 2 });
    for (const vm of [0, 0, 0]) fleet.endReplica([[vm, HARMLESS]]);
    await fleet.clock.run(ANNOUNCE_MS);
    fleet.isLinkDown = () => true;
    fleet.getQuarantine(0).noteAnswered(toKeys(HARMLESS), fleet.clock.now());
    await fleet.clock.run(ANNOUNCE_MS);
    expect(fleet.getQuarantine(1).getQuarantineMs(HARMLESS)).toBeGreaterThan(0);
    fleet.isLinkDown = () => false;
    await fleet.clock.run(SPREAD_MS);
    expect(fleet.getQuarantine(1).isSuspect(toKeys(HARMLESS))).toBe(false);
  });

  // Guards against holding a request that many callers send when a rack fails.
  it("is not held where any VM had an answer to it just before", async () => {
    const fleet = QuarantineFleet.create({ vms: 8 });
    fleet.getQuarantine(6).noteAnswered(toKeys(HARMLESS), fleet.clock.now());
    await fleet.clock.run(ANNOUNCE_MS);
    for (const vm of [0, 1, 2, 3]) fleet.endReplica([[vm, HARMLESS]]);
    await fleet.clock.run(SPREAD_MS);
    for (let vm = 0; vm < 8; vm++) {
      expect(fleet.getQuarantine(vm).getQuarantineMs(HARMLESS)).toBe(0);
    }
  });

  // Guards against taking a replica that resets connections for a crashed one.
  it("is no suspect where the replicas are still up", async () => {
    const fleet = QuarantineFleet.create({ vms: 2 });
    fleet.areReplicasUp = true;
    for (let time = 0; time < 5; time++) fleet.endReplica([[0, HARMLESS]]);
    await fleet.clock.run(ANNOUNCE_MS);
    expect(fleet.getQuarantine(0).isSuspect(toKeys(HARMLESS))).toBe(false);
  });
});

// Guards against a crash that is taken for a lost connection, because the replica
// still accepts connections while it ends.
it("a replica that stops listening a moment later has crashed", async () => {
  const fleet = QuarantineFleet.create({ vms: 2 });
  fleet.areReplicasUp = true;
  fleet.endReplica([[0, HARMLESS]]);
  await fleet.clock.run(100);
  fleet.areReplicasUp = false;
  await fleet.clock.run(SPREAD_MS);
  expect(fleet.getQuarantine(0).countSuspects()).toBe(1);
  expect(fleet.getQuarantine(1).countSuspects()).toBe(1);
});

it("one check serves all requests that a crash cut off at a VM", async () => {
  const clock = VirtualClock.create();
  let checks = 0;
  const quarantine = RequestQuarantine.create({
    clock,
    log: SilentLog.create(),
    random: SeededRandom.create(1),
    countReplicas: () => 14,
    hasCrashed: () => {
      checks += 1;
      return Promise.resolve(true);
    },
    announce: () => {},
  });
  const replica = {
    id: toId<VmId>("i-1"),
    incarnation: toId<Incarnation>("i-1"),
    hadOutput: true,
    sentAt: 0,
  };
  for (let index = 0; index < 20; index++) {
    void quarantine.noteConnectionLoss(
      toKeys(toId(`request-${index}`)),
      replica,
    );
  }
  await clock.run(ANNOUNCE_MS);
  expect(quarantine.countSuspects()).toBe(20);
  expect(checks).toBe(1);
});
