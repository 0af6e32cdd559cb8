import { describe, expect, test } from "vitest";
import { toId } from "../../../src/ids.ts";
import { RefusalError } from "../../../src/outcome.ts";
import { HeldSlot } from "../../../src/process/scheduler/held_slot.ts";
import { buildClass, buildPool, JumpingClock } from "./fixtures.ts";
import { type Outcome, releaseDone, SmallFleet } from "./small_fleet.ts";

const CLASSES = [
  buildClass("high"),
  buildClass("low", { tier: toId("bronze") }),
];
/** Longer than the grace period of a new owner. */
const STARTUP_MS = 2_200;

async function createFleet(
  parts: { vms: number; replicas: number; slots?: number },
): Promise<SmallFleet> {
  const slots = parts.slots ?? 1;
  const fleet = SmallFleet.create({
    classes: CLASSES,
    pool: buildPool({ slots: { initial: slots, min: slots, max: slots } }),
    vms: parts.vms,
    replicas: parts.replicas,
  });
  await fleet.clock.run(STARTUP_MS);
  return fleet;
}

async function waitForLease(
  fleet: SmallFleet,
  outcome: Outcome,
): Promise<Outcome> {
  await fleet.clock.run(50);
  expect(outcome.lease).toBeDefined();
  return outcome;
}

function countHeld(outcomes: Outcome[]): number {
  return outcomes.filter((outcome) => outcome.lease !== undefined).length;
}

function getCode(outcome: Outcome): string | undefined {
  return outcome.error instanceof RefusalError
    ? outcome.error.refusal.code
    : undefined;
}

describe("HeldSlot", () => {
  // Guards against two requests on one slot: a renewal sent after the lease
  // expired must not restore it, because the slot may have been granted again.
  test("stays expired when a later renewal is accepted", async () => {
    const clock = JumpingClock.create();
    const slot = HeldSlot.create({
      clock,
      slot: {
        lease: toId("lease"),
        shard: toId("pool/0"),
        upstream: toId("upstream-0"),
        ttlMs: 3_000,
        priority: 0,
        byOwner: true,
      },
      ticket: toId("ticket"),
      className: toId("high"),
      workspace: toId("workspace"),
      idempotent: true,
      promptTokens: 1,
      requestedAt: clock.now(),
      onRelease: () => {},
      onSignals: () => {},
    });
    await clock.run(2_000);
    slot.renew(clock.now(), 6_000);
    await clock.run(5_900);
    expect(slot.isValid()).toBe(true);
    await clock.run(200);
    slot.renew(clock.now(), 6_000);
    expect(slot.isValid()).toBe(false);
  });
});

describe("LeaseClient", () => {
  test("waits in the queue of an owner on another VM and returns slots", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 2 });
    const outcomes = fleet.vms.map((vm) => fleet.acquire(vm));
    await fleet.clock.run(50);
    expect(countHeld(outcomes)).toBe(2);
    const waiting = outcomes.find((one) => one.lease === undefined)!;
    releaseDone(outcomes.find((one) => one.lease !== undefined)!);
    await fleet.clock.run(50);
    expect(waiting.lease).toBeDefined();
    fleet.stop();
  });

  test("renews its leases and records the queueing as a step", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 1 });
    const [other] = fleet.listOthers();
    const held = fleet.acquire(other!);
    await fleet.clock.run(50);
    const waiting = fleet.acquire(other!);
    await fleet.clock.run(20_000);
    expect(held.lease!.isValid()).toBe(true);
    expect(waiting.lease).toBeUndefined();
    expect(waiting.steps).toContain("queued");
    fleet.stop();
  });

  // Guards against sending work on a slot that was granted again: the lease
  // expires while the process is paused, and the process must notice it.
  test("holds no valid lease after a long pause", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 1 });
    const held = fleet.acquire(fleet.listOthers()[0]!);
    await fleet.clock.run(50);
    fleet.clock.addClockJump(10_000);
    expect(held.lease!.isValid()).toBe(false);
    fleet.stop();
  });

  test("withdraws the ticket of a caller that disconnects", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 1 });
    const [other] = fleet.listOthers();
    const held = fleet.acquire(other!);
    await fleet.clock.run(50);
    const abandoned = fleet.acquire(other!);
    const next = fleet.acquire(other!);
    await fleet.clock.run(50);
    abandoned.abort.abort();
    await fleet.clock.run(50);
    expect(getCode(abandoned)).toBe("cancelled");
    releaseDone(held);
    await fleet.clock.run(50);
    expect(next.lease).toBeDefined();
    fleet.stop();
  });

  // Guards against a slot that stays unused for seconds: the caller disconnects
  // while the owner's grant is in transit.
  test("returns a grant that arrives after its caller disconnected", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 1 });
    const [other] = fleet.listOthers();
    const abandoned = fleet.acquire(other!);
    await fleet.clock.run(1);
    abandoned.abort.abort();
    const next = fleet.acquire(other!);
    await fleet.clock.run(100);
    expect(abandoned.lease).toBeUndefined();
    expect(next.lease).toBeDefined();
    fleet.stop();
  });

  test("signals the preemption of a lease", async () => {
    const high = buildClass("high");
    high.targets.firstTokenMs = 5_000;
    const low = buildClass("low", {
      tier: toId("bronze"),
      maxOutputTokens: 100_000,
    });
    low.targets.totalMs = 600_000;
    const fleet = SmallFleet.create({
      classes: [high, low],
      vms: 3,
      replicas: 1,
    });
    await fleet.clock.run(STARTUP_MS);
    const [first, second] = fleet.listOthers();
    const victim = fleet.acquire(first!, {
      className: toId("low"),
      maxTokens: 100_000,
      deadlineAt: 1e9,
    });
    await fleet.clock.run(50);
    const waiting = fleet.acquire(second!);
    await fleet.clock.run(2_000);
    expect(victim.lease!.preempted.aborted).toBe(true);
    victim.lease!.release("cancelled", {
      tokens: 5,
      firstTokenMs: 100,
      betweenTokensMs: 10,
    });
    await fleet.clock.run(50);
    expect(waiting.lease).toBeDefined();
    fleet.stop();
  });
});

describe("LeaseClient when the owner is unreachable", () => {
  // Guards against more requests than slots on a replica: the next owner starts
  // with an empty ledger and does not know the running leases. When the fleet
  // has been up for a while, the grace period ends with the last VM's
  // announcement, which therefore must include recently renewed leases.
  test.each([0, 12_000])(
    "the next owner grants only slots without running leases, after %i ms",
    async (upMs) => {
      const fleet = await createFleet({ vms: 4, replicas: 3 });
      await fleet.clock.run(upMs);
      const lost = fleet.getOwner();
      const [first, second, third] = fleet.listOthers();
      const held = [fleet.acquire(first!), fleet.acquire(second!)];
      await fleet.clock.run(700);
      expect(countHeld(held)).toBe(2);
      fleet.disconnected.add(lost.id);
      fleet.noteUnreachable(lost.id);
      const more = [1, 2, 3].map(() => fleet.acquire(third!));
      await fleet.clock.run(700);
      if (upMs > 0) expect(countHeld(more)).toBe(1);
      await fleet.clock.run(7_300);
      expect(fleet.getOwner()).not.toBe(lost);
      expect(countHeld(more)).toBe(1);
      releaseDone(held[0]!);
      await fleet.clock.run(50);
      expect(countHeld(more)).toBe(2);
      fleet.stop();
    },
  );

  test("a call held by the lost owner moves to the next owner at once", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    await fleet.clock.run(12_000);
    const lost = fleet.getOwner();
    const [first] = fleet.listOthers();
    releaseDone(await waitForLease(fleet, fleet.acquire(first!)));
    await fleet.clock.run(50);
    fleet.disconnected.add(lost.id);
    const waiting = fleet.acquire(first!);
    await fleet.clock.run(50);
    fleet.noteUnreachable(lost.id);
    await fleet.clock.run(700);
    expect(waiting.lease).toBeDefined();
    fleet.stop();
  });

  test("the owner counts a slot of the local share once it is reachable", async () => {
    const fleet = await createFleet({ vms: 2, replicas: 1, slots: 2 });
    const owner = fleet.getOwner();
    const [vm] = fleet.listOthers();
    fleet.disconnected.add(owner.id);
    const local = fleet.acquire(vm!);
    await fleet.clock.run(2_000);
    expect(local.lease).toBeDefined();
    fleet.disconnected.delete(owner.id);
    await fleet.clock.run(3_000);
    const more = [1, 2].map(() => fleet.acquire(vm!));
    await fleet.clock.run(100);
    expect(countHeld(more)).toBe(1);
    fleet.stop();
  });

  test("waiters keep their age at the next owner", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    const lost = fleet.getOwner();
    const [first, second] = fleet.listOthers();
    const held = fleet.acquire(first!);
    await fleet.clock.run(50);
    const old = fleet.acquire(second!);
    await fleet.clock.run(1_000);
    fleet.disconnected.add(lost.id);
    fleet.noteUnreachable(lost.id);
    await fleet.clock.run(500);
    const young = fleet.acquire(first!, {
      deadlineAt: fleet.clock.now() + 20_000,
    });
    await fleet.clock.run(3_000);
    releaseDone(held);
    await fleet.clock.run(50);
    expect(old.lease).toBeDefined();
    expect(young.lease).toBeUndefined();
    fleet.stop();
  });

  // Guards against requests that all wait while the replicas are idle: the
  // owner is unreachable, but no VM has detected it yet.
  test("the VMs use their local shares and together no slot twice", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 3, slots: 2 });
    fleet.disconnected.add(fleet.getOwner().id);
    const outcomes = fleet.listOthers().flatMap((vm) =>
      [1, 2, 3, 4].map(() => fleet.acquire(vm))
    );
    await fleet.clock.run(2_000);
    expect(countHeld(outcomes)).toBeGreaterThanOrEqual(3);
    await fleet.clock.run(4_000);
    const held = countHeld(outcomes);
    expect(held).toBeGreaterThanOrEqual(3);
    expect(held).toBeLessThanOrEqual(6);
    for (const outcome of outcomes) {
      if (outcome.lease === undefined) {
        expect(getCode(outcome)).toBe("owner_unreachable");
      }
    }
    fleet.stop();
  });

  test("a VM without a local share refuses after the owner's time-out", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    fleet.disconnected.add(fleet.getOwner().id);
    const outcomes = fleet.listOthers().map((vm) => fleet.acquire(vm));
    await fleet.clock.run(4_000);
    expect(countHeld(outcomes)).toBeLessThanOrEqual(1);
    const refused = outcomes.filter((outcome) => outcome.error !== undefined);
    expect(refused.length).toBe(3 - countHeld(outcomes));
    fleet.stop();
  });

  // Guards against a refusal while the owner is healthy: this VM's process is
  // paused while the request waits, and the call that timed out meanwhile must
  // not count as an unreachable owner.
  test("a pause of this VM does not count as an unreachable owner", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    const owner = fleet.getOwner();
    const others = fleet.listOthers();
    const held = fleet.acquire(others[0]!);
    await fleet.clock.run(50);
    const waiting = others.map((vm) => fleet.acquire(vm));
    await fleet.clock.run(100);
    fleet.clock.addClockJump(10_000);
    await fleet.clock.run(850);
    // The answers to the calls held during the pause are lost.
    fleet.disconnected.add(owner.id);
    await fleet.clock.run(100);
    fleet.disconnected.delete(owner.id);
    await fleet.clock.run(1_000);
    expect(countHeld(waiting)).toBe(0);
    releaseDone(held);
    await fleet.clock.run(3_000);
    expect(countHeld(waiting)).toBe(1);
    for (const { error } of waiting) expect(error).toBeUndefined();
    fleet.stop();
  });

  test("higher tiers get slots of the local share first", async () => {
    const fleet = await createFleet({ vms: 2, replicas: 1, slots: 2 });
    fleet.disconnected.add(fleet.getOwner().id);
    const [vm] = fleet.listOthers();
    const low = fleet.acquire(vm!, { className: toId("low") });
    await fleet.clock.run(1);
    const high = fleet.acquire(vm!);
    await fleet.clock.run(4_000);
    expect(high.lease).toBeDefined();
    expect(low.lease).toBeUndefined();
    fleet.stop();
  });
});

describe("LeaseClient when the owner drains", () => {
  test("the next owner continues with the queue without a grace period", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    const draining = fleet.getOwner();
    const [first, second, third] = fleet.listOthers();
    const held = fleet.acquire(first!);
    await fleet.clock.run(50);
    const waiting = [fleet.acquire(second!), fleet.acquire(third!)];
    await fleet.clock.run(50);
    for (const vm of fleet.vms) {
      vm.membership.draining.add(draining.id);
      vm.membership.announce();
    }
    const handedOver = draining.owners.handOverAll();
    await fleet.clock.run(50);
    await handedOver;
    expect(fleet.getOwner()).not.toBe(draining);
    releaseDone(held);
    await fleet.clock.run(100);
    expect(countHeld(waiting)).toBe(1);
    fleet.stop();
  });

  // Guards against a call held by a VM that never grants it: the caller's view
  // of the membership is outdated and still names the previous owner.
  test("redirects a caller whose membership view is outdated", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    const draining = fleet.getOwner();
    for (const vm of fleet.vms) vm.membership.draining.add(draining.id);
    const late = fleet.listOthers().find((vm) => vm !== draining)!;
    late.membership.draining.delete(draining.id);
    for (const vm of fleet.vms) vm.membership.announce();
    const handedOver = draining.owners.handOverAll();
    await fleet.clock.run(50);
    await handedOver;
    const outcome = fleet.acquire(late);
    await fleet.clock.run(100);
    expect(outcome.lease).toBeDefined();
    fleet.stop();
  });
});
