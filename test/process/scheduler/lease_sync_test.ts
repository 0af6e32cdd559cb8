import { expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import type { MembershipView } from "../../../src/process/membership_view.ts";
import type { PeerApi, SyncCall } from "../../../src/process/peer_api.ts";
import { HeldSlot } from "../../../src/process/scheduler/held_slot.ts";
import { LeaseSync } from "../../../src/process/scheduler/lease_sync.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildEnvironment } from "../../support/request_fakes.ts";

const SHARD = toId<HeldSlot["shard"]>("pool/0");
const SILENT_MS = 5_000;

/** A VM that owns the shard itself, and does not answer at first. */
function createSync(clock: VirtualClock) {
  const calls: SyncCall[] = [];
  const owner = { isSilent: true };
  const environment = buildEnvironment(clock);
  const local = {
    syncLeases: (call: SyncCall) => {
      if (owner.isSilent) return Promise.reject(new Error("Silent"));
      calls.push(call);
      return Promise.resolve({ isOwner: true, preempt: [] });
    },
  };
  const sync = LeaseSync.create({
    environment,
    membership: {
      findOwner: () => environment.vm,
    } as unknown as MembershipView,
    getLocal: () => local as unknown as PeerApi,
    shard: SHARD,
  });
  return { sync, calls, owner };
}

// Guards against an old word that is taken for a new one: what upstreams asked
// is told by its age, and returns wait for an owner that answers.
it("tells the age that an upstream's word has when it is sent", async () => {
  const clock = VirtualClock.create();
  const { sync, calls, owner } = createSync(clock);
  const slot = HeldSlot.create({
    clock,
    slot: {
      lease: toId("lease"),
      shard: SHARD,
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
    onRelease: (released) => sync.addReturn(released),
    onSignals: () => {},
  });
  sync.add(slot);
  slot.noteSignals({
    requestsPerS: 2,
    isLeaving: false,
    backOffMs: 0,
    unreadable: [],
  });
  slot.release("done", {
    tokens: 0,
    firstTokenMs: undefined,
    betweenTokensMs: undefined,
  });
  await clock.run(SILENT_MS);
  owner.isSilent = false;
  await sync.run();
  expect(calls[0]?.news[0]?.rateLimit)
    .toEqual({ requestsPerS: 2, ageMs: SILENT_MS });
});
