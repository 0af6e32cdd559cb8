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
const SETTLED_MS = 2_200;

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
  await fleet.clock.run(SETTLED_MS);
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
  // Symptom: two requests on one slot. Sequence: a lease lapses, a renewal that
  // was sent later is answered. Cause: the answer brings the lease back, though
  // its slot may be another's by now.
  test("stays lapsed once it has lapsed", async () => {
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
      askedAt: clock.now(),
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
  test("waits at another VM's owner and gives slots back", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 2 });
    const outcomes = fleet.vms.map((vm) => fleet.ask(vm));
    await fleet.clock.run(50);
    expect(countHeld(outcomes)).toBe(2);
    const waiting = outcomes.find((one) => one.lease === undefined)!;
    releaseDone(outcomes.find((one) => one.lease !== undefined)!);
    await fleet.clock.run(50);
    expect(waiting.lease).toBeDefined();
    fleet.stop();
  });

  test("keeps its leases renewed, and tells of the queue", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 1 });
    const [other] = fleet.listOthers();
    const held = fleet.ask(other!);
    await fleet.clock.run(50);
    const waiting = fleet.ask(other!);
    await fleet.clock.run(20_000);
    expect(held.lease!.isValid()).toBe(true);
    expect(waiting.lease).toBeUndefined();
    expect(waiting.steps).toContain("queued");
    fleet.stop();
  });

  // Symptom: work goes out on a slot that another has. Sequence: the process
  // is stopped while it holds a lease, the lease runs out, the process goes
  // on. Cause: it does not see that time has passed.
  test("holds no valid lease after a pause", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 1 });
    const held = fleet.ask(fleet.listOthers()[0]!);
    await fleet.clock.run(50);
    fleet.clock.addClockJump(10_000);
    expect(held.lease!.isValid()).toBe(false);
    fleet.stop();
  });

  test("withdraws the ticket of a caller that goes away", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 1 });
    const [other] = fleet.listOthers();
    const held = fleet.ask(other!);
    await fleet.clock.run(50);
    const gone = fleet.ask(other!);
    const next = fleet.ask(other!);
    await fleet.clock.run(50);
    gone.abort.abort();
    await fleet.clock.run(50);
    expect(getCode(gone)).toBe("cancelled");
    releaseDone(held);
    await fleet.clock.run(50);
    expect(next.lease).toBeDefined();
    fleet.stop();
  });

  // Symptom: a slot stays empty for seconds. Sequence: the caller goes away
  // while the owner's grant is on its way. Cause: the grant reaches nobody.
  test("gives back a grant that arrives after its caller went away", async () => {
    const fleet = await createFleet({ vms: 3, replicas: 1 });
    const [other] = fleet.listOthers();
    const gone = fleet.ask(other!);
    await fleet.clock.run(1);
    gone.abort.abort();
    const next = fleet.ask(other!);
    await fleet.clock.run(100);
    expect(gone.lease).toBeUndefined();
    expect(next.lease).toBeDefined();
    fleet.stop();
  });

  test("stops a lease that the owner takes back", async () => {
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
    await fleet.clock.run(SETTLED_MS);
    const [first, second] = fleet.listOthers();
    const victim = fleet.ask(first!, {
      className: toId("low"),
      maxTokens: 100_000,
      deadlineAt: 1e9,
    });
    await fleet.clock.run(50);
    const waiting = fleet.ask(second!);
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

describe("when the owner is lost", () => {
  // Symptom: replicas get more work than they have slots. Sequence: the owner
  // dies with slots granted, the next owner begins with an empty ledger.
  // Cause: running leases are not known to it. In a fleet that has run for a
  // while settling ends with the last VM's announcement, so that announcement
  // must name leases that were renewed a moment ago too.
  test.each([0, 12_000])(
    "after %i ms the next one grants only what running leases leave",
    async (upMs) => {
      const fleet = await createFleet({ vms: 4, replicas: 3 });
      await fleet.clock.run(upMs);
      const lost = fleet.getOwner();
      const [first, second, third] = fleet.listOthers();
      const held = [fleet.ask(first!), fleet.ask(second!)];
      await fleet.clock.run(700);
      expect(countHeld(held)).toBe(2);
      fleet.silent.add(lost.id);
      fleet.noteUnreachable(lost.id);
      const more = [1, 2, 3].map(() => fleet.ask(third!));
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

  test("a call that waits at the lost owner goes on at once", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    await fleet.clock.run(12_000);
    const lost = fleet.getOwner();
    const [first] = fleet.listOthers();
    releaseDone(await waitForLease(fleet, fleet.ask(first!)));
    await fleet.clock.run(50);
    fleet.silent.add(lost.id);
    const waiting = fleet.ask(first!);
    await fleet.clock.run(50);
    fleet.noteUnreachable(lost.id);
    await fleet.clock.run(700);
    expect(waiting.lease).toBeDefined();
    fleet.stop();
  });

  test("a local slot counts once the owner is back", async () => {
    const fleet = await createFleet({ vms: 2, replicas: 1, slots: 2 });
    const owner = fleet.getOwner();
    const [vm] = fleet.listOthers();
    fleet.silent.add(owner.id);
    const local = fleet.ask(vm!);
    await fleet.clock.run(2_000);
    expect(local.lease).toBeDefined();
    fleet.silent.delete(owner.id);
    await fleet.clock.run(3_000);
    const more = [1, 2].map(() => fleet.ask(vm!));
    await fleet.clock.run(100);
    expect(countHeld(more)).toBe(1);
    fleet.stop();
  });

  test("waiters go on at the next owner with their ages", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    const lost = fleet.getOwner();
    const [first, second] = fleet.listOthers();
    const held = fleet.ask(first!);
    await fleet.clock.run(50);
    const old = fleet.ask(second!);
    await fleet.clock.run(1_000);
    fleet.silent.add(lost.id);
    fleet.noteUnreachable(lost.id);
    await fleet.clock.run(500);
    const young = fleet.ask(first!, {
      deadlineAt: fleet.clock.now() + 20_000,
    });
    await fleet.clock.run(3_000);
    releaseDone(held);
    await fleet.clock.run(50);
    expect(old.lease).toBeDefined();
    expect(young.lease).toBeUndefined();
    fleet.stop();
  });

  // Symptom: nothing is served though the replicas are idle. Sequence: the
  // owner goes silent and nobody has noticed yet. Cause: every request waits
  // for the owner.
  test("each VM uses its own share, and all together no slot twice", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 3, slots: 2 });
    fleet.silent.add(fleet.getOwner().id);
    const asked = fleet.listOthers().flatMap((vm) =>
      [1, 2, 3, 4].map(() => fleet.ask(vm))
    );
    await fleet.clock.run(2_000);
    expect(countHeld(asked)).toBeGreaterThanOrEqual(3);
    await fleet.clock.run(4_000);
    const held = countHeld(asked);
    expect(held).toBeGreaterThanOrEqual(3);
    expect(held).toBeLessThanOrEqual(6);
    for (const outcome of asked) {
      if (outcome.lease === undefined) {
        expect(getCode(outcome)).toBe("owner_unreachable");
      }
    }
    fleet.stop();
  });

  test("a VM without a share refuses as soon as it has given up", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    fleet.silent.add(fleet.getOwner().id);
    const asked = fleet.listOthers().map((vm) => fleet.ask(vm));
    await fleet.clock.run(4_000);
    expect(countHeld(asked)).toBeLessThanOrEqual(1);
    const refused = asked.filter((outcome) => outcome.error !== undefined);
    expect(refused.length).toBe(3 - countHeld(asked));
    fleet.stop();
  });

  // Symptom: a request is refused though the owner is well. Sequence: its VM is
  // stopped while the request waits, and goes on. Cause: the call that could
  // not be answered meanwhile is taken for silence of the owner.
  test("a pause of this VM is no silence of the owner", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    const owner = fleet.getOwner();
    const others = fleet.listOthers();
    const held = fleet.ask(others[0]!);
    await fleet.clock.run(50);
    const waiting = others.map((vm) => fleet.ask(vm));
    await fleet.clock.run(100);
    fleet.clock.addClockJump(10_000);
    await fleet.clock.run(850);
    // The answers to the calls that were held meanwhile are lost.
    fleet.silent.add(owner.id);
    await fleet.clock.run(100);
    fleet.silent.delete(owner.id);
    await fleet.clock.run(1_000);
    expect(countHeld(waiting)).toBe(0);
    releaseDone(held);
    await fleet.clock.run(3_000);
    expect(countHeld(waiting)).toBe(1);
    for (const { error } of waiting) expect(error).toBeUndefined();
    fleet.stop();
  });

  test("higher tiers go first in a VM's own share", async () => {
    const fleet = await createFleet({ vms: 2, replicas: 1, slots: 2 });
    fleet.silent.add(fleet.getOwner().id);
    const [vm] = fleet.listOthers();
    const low = fleet.ask(vm!, { className: toId("low") });
    await fleet.clock.run(1);
    const high = fleet.ask(vm!);
    await fleet.clock.run(4_000);
    expect(high.lease).toBeDefined();
    expect(low.lease).toBeUndefined();
    fleet.stop();
  });
});

describe("when the owner drains", () => {
  test("the queue goes on at the next owner without a gap", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    const draining = fleet.getOwner();
    const [first, second, third] = fleet.listOthers();
    const held = fleet.ask(first!);
    await fleet.clock.run(50);
    const waiting = [fleet.ask(second!), fleet.ask(third!)];
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

  // Symptom: an acquire call waits at a VM that will never grant. Sequence: the
  // caller's view lags behind the owner's change. Cause: the old owner holds
  // the call.
  test("a caller whose view lags is sent on", async () => {
    const fleet = await createFleet({ vms: 4, replicas: 1 });
    const draining = fleet.getOwner();
    for (const vm of fleet.vms) vm.membership.draining.add(draining.id);
    const late = fleet.listOthers().find((vm) => vm !== draining)!;
    late.membership.draining.delete(draining.id);
    for (const vm of fleet.vms) vm.membership.announce();
    const handedOver = draining.owners.handOverAll();
    await fleet.clock.run(50);
    await handedOver;
    const outcome = fleet.ask(late);
    await fleet.clock.run(100);
    expect(outcome.lease).toBeDefined();
    fleet.stop();
  });
});
