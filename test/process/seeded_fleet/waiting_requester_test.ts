import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import {
  type OwnerWait,
  PlacementRequester,
} from "../../../src/process/seeded_fleet/placement_requester.ts";
import type { PlacementRequestMessage } from "../../../src/process/seeded_fleet/fleet_message.ts";
import type { FleetPeer } from "../../../src/process/seeded_fleet/fleet_peers.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { StallingClock } from "../../support/stalling_clock.ts";

const OWNERS = ["vm-1", "vm-2"].map((id) => toId<VmId>(id));
const PLACED = {
  replica: toId<VmId>("i-1"),
  ownTokens: 0,
  tokensAhead: 0,
  fetchedTokens: 0,
  running: 0,
  predictedMs: 0,
};

/** A requester of which one request waits at the first owner. */
async function createWaiting(stall = { from: Infinity, to: Infinity }) {
  const clock = VirtualClock.create();
  const sent: { to: VmId; message: PlacementRequestMessage }[] = [];
  const requester = PlacementRequester.create({
    vm: toId("vm-3"),
    incarnation: toId("process-1"),
    clock: StallingClock.create(clock, stall),
    log: SilentLog.create(),
    listOwners: () =>
      OWNERS.map((vm) => ({ heartbeat: { vm } }) as unknown as FleetPeer),
    send: (to, message) => sent.push({ to: to.heartbeat.vm, message }),
  });
  const caller = new AbortController();
  const waitedAt: VmId[] = [];
  const wait: OwnerWait = {
    signal: caller.signal,
    onWaiting: (owner) => waitedAt.push(owner),
  };
  const placed = requester.fetchPlacement({
    pool: toId("pool"),
    dataCentre: toId("dc"),
    avoid: [],
    parts: [],
    partTokens: [],
    promptTokens: 0,
    isInteractive: false,
    waiting: {
      priority: 1,
      waitedMs: 0,
      onTimeMs: 200,
      usefulMs: 2_000,
      expectedMs: 100,
    },
  }, wait);
  await clock.run(5);
  requester.noteAnswer(buildAnswer(1, { isWaiting: true }));
  return { clock, requester, sent, caller, waitedAt, placed };
}

function buildAnswer(ask: number, content: object) {
  return { kind: "answer" as const, ask, isFull: false, ...content };
}

it("a request that waits at its owner is placed later", async () => {
  const { clock, requester, waitedAt, placed } = await createWaiting();
  await clock.run(300);
  expect(requester.listWaiting()).toEqual([1]);
  expect(requester.hasRecentWaits()).toBe(true);
  requester.noteAnswer(buildAnswer(1, { placed: PLACED }));
  expect(await placed).toEqual({ ...PLACED, owner: "vm-1" });
  expect(waitedAt).toEqual(["vm-1"]);
  expect(requester.listWaiting()).toEqual([]);
});

// Guards against a request that waits until its caller leaves because the answer
// of its owner was lost.
it("a waiting request is sent again with the time that is left", async () => {
  const { clock, requester, sent, placed } = await createWaiting();
  await clock.run(410);
  expect(sent.map(({ to, message }) => [to, message.ask]))
    .toEqual([["vm-1", 1], ["vm-1", 1]]);
  const { waiting } = sent[1]!.message;
  expect(waiting!.waitedMs).toBeGreaterThan(400);
  expect(waiting!.usefulMs).toBe(2_000 - waiting!.waitedMs);
  requester.noteAnswer(buildAnswer(1, { placed: PLACED }));
  expect(await placed).toMatchObject({ owner: "vm-1" });
});

// Guards against requests that are forgotten with the owner at which they wait.
it("a request that waits at a lost owner is sent to the substitute", async () => {
  const { clock, requester, sent, waitedAt, placed } = await createWaiting();
  await clock.run(460);
  const last = sent.at(-1)!;
  expect(last.to).toBe("vm-2");
  expect(last.message.waiting!.waitedMs).toBeGreaterThan(400);
  requester.noteAnswer(buildAnswer(last.message.ask, { isWaiting: true }));
  requester.noteAnswer(buildAnswer(last.message.ask, { placed: PLACED }));
  expect(await placed).toMatchObject({ owner: "vm-2" });
  expect(waitedAt).toEqual(OWNERS);
});

// Guards against a place that is kept for a caller who has left: the next
// heartbeat no longer names the request.
it("a request whose caller disconnects no longer waits", async () => {
  const { requester, caller, placed } = await createWaiting();
  caller.abort();
  expect(await placed).toBeUndefined();
  expect(requester.requestNumbers).toEqual({ lastAsk: 1, openAsks: [] });
});

it("a request is refused once an answer would be of no more use", async () => {
  const { requester, placed } = await createWaiting();
  requester.noteAnswer(buildAnswer(1, { isExpired: true }));
  expect(await placed).toBe("expired");
});

// Guards against a VM that sends all its waiting calls to replicas at one moment:
// it was stalled while their owner answered, and takes the owner for silent.
it.each([20, 60, 250])(
  "an answer that waits for %i ms in the socket of a stalled VM counts",
  async (stalledMs) => {
    const renewedAt = 405;
    const stall = { from: renewedAt + 1, to: renewedAt + 40 + stalledMs };
    const { clock, requester, sent, placed } = await createWaiting(stall);
    await clock.run(stall.to - clock.now() + 1);
    expect(sent.at(-1)!.to).toBe("vm-1");
    requester.noteAnswer(buildAnswer(1, { isWaiting: true }));
    await clock.run(10);
    expect(requester.listWaiting()).toEqual([1]);
    requester.noteAnswer(buildAnswer(1, { placed: PLACED }));
    expect(await placed).toEqual({ ...PLACED, owner: "vm-1" });
    expect(sent.map(({ to }) => to)).toEqual(["vm-1", "vm-1"]);
  },
);
