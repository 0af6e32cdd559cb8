import { expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import type { MembershipView } from "../../../src/process/membership_view.ts";
import type { PeerApi, SyncCall } from "../../../src/process/peer_api.ts";
import { HeldSlot } from "../../../src/process/scheduler/held_slot.ts";
import { LeaseSync } from "../../../src/process/scheduler/lease_sync.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildEnvironment } from "../../support/request_fakes.ts";

const SHARD = toId<HeldSlot["shard"]>("pool/0");
const OUTAGE_MS = 5_000;

/** The sync of a VM that owns the shard itself; calls fail at first. */
function createSync(clock: VirtualClock) {
  const calls: SyncCall[] = [];
  const owner = { isFailing: true };
  const environment = buildEnvironment(clock);
  const local = {
    syncLeases: (call: SyncCall) => {
      if (owner.isFailing) return Promise.reject(new Error("No answer"));
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

// Guards against an old rate limit that appears to be new: returned leases are
// kept until an owner answers, and the age must count up to the actual call.
it("reports the age of an upstream's rate limit at the time of sending", async () => {
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
    requestedAt: clock.now(),
    onRelease: (released) => sync.addReturn(released),
    onSignals: () => {},
  });
  sync.add(slot);
  slot.noteSignals({
    requestsPerS: 2,
    isLeaving: false,
    backOffMs: 0,
    isRejected: false,
    maxRejectionsPerS: undefined,
    unreadable: [],
  });
  slot.release("done", {
    tokens: 0,
    firstTokenMs: undefined,
    betweenTokensMs: undefined,
  });
  await clock.run(OUTAGE_MS);
  owner.isFailing = false;
  await sync.run();
  expect(calls[0]?.news[0]?.rateLimit)
    .toEqual({ requestsPerS: 2, ageMs: OUTAGE_MS });
});
