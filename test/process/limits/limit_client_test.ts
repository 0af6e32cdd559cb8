import { expect, test } from "vitest";
import { buildWorkspace } from "../../../bench/support/limit_fleet.ts";
import type { RefusalError } from "../../../src/outcome.ts";
import { LimitClient } from "../../../src/process/limits/limit_client.ts";
import type { LimitAmount } from "../../../src/process/limits/limit_bucket.ts";
import type { LimitAnswer } from "../../../src/process/peer_api.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const LIMITS = { requestsPerMinute: 60, tokensPerMinute: 60_000 };

function createHeld(
  clock: VirtualClock,
  fetchChunk: (amount: LimitAmount) => Promise<LimitAnswer | undefined>,
): { admit: () => Promise<string> } {
  const held = LimitClient.create({
    clock,
    countEntryVms: () => 8,
    fetchChunk,
  });
  const workspace = buildWorkspace("clinic", LIMITS);
  return {
    admit: () =>
      held.admit(workspace, 10).then(() => "admitted", () => "refused"),
  };
}

function grantChunk(amount: LimitAmount): LimitAnswer {
  return { isOwner: true, ...amount, ttlMs: 5_000, retryAfterMs: 0 };
}

test("a silent owner holds a request up for 50 ms at most", async () => {
  const clock = VirtualClock.create();
  const held = createHeld(clock, () => new Promise(() => {}));
  let endedAt: number | undefined;
  const outcome = held.admit().finally(() => {
    endedAt = clock.now();
  });
  await clock.run(1_000);
  expect(await outcome).toBe("admitted");
  expect(endedAt).toBe(50);
});

test("without an owner a VM uses its share of the rate", async () => {
  const clock = VirtualClock.create();
  const held = createHeld(clock, () => Promise.resolve(undefined));
  const outcomes: Promise<string>[] = [];
  for (let count = 0; count < 600; count++) {
    void clock.sleep(count * 100).then(() => outcomes.push(held.admit()));
  }
  await clock.run(60_000);
  const admitted = (await Promise.all(outcomes))
    .filter((outcome) => outcome === "admitted");
  expect(admitted.length).toBe(8);
});

// Symptom: a workspace far below its limit is told that it is over it.
// Sequence: the limit's owner is lost; the first requests use the VM's share up
// before the next owner answers.
// Cause: the refusal of the share says what only the owner could know.
test("does not call a workspace over its limit on a share's account", async () => {
  const clock = VirtualClock.create();
  const held = LimitClient.create({
    clock,
    countEntryVms: () => 8,
    fetchChunk: () => Promise.resolve(undefined),
  });
  const workspace = buildWorkspace("clinic", LIMITS);
  const codes: string[] = [];
  for (let count = 0; count < 20; count++) {
    const outcome = held.admit(workspace, 10).catch((thrown: unknown) => {
      codes.push((thrown as RefusalError).refusal.code);
    });
    await clock.run(1);
    await outcome;
  }
  expect(codes.length).toBeGreaterThan(0);
  expect(new Set(codes)).toEqual(new Set(["owner_unreachable"]));
});

// Symptom: a workspace went on for seconds on a chunk granted long ago.
// Sequence: the answer to a call is held up on the way; it arrives when its
// chunk is no longer counted by the owner.
// Cause: the chunk's life must count from before the call, not from the answer.
test("a late answer brings an expired chunk", async () => {
  const clock = VirtualClock.create();
  let calls = 0;
  const held = createHeld(clock, async (amount) => {
    calls += 1;
    await clock.sleep(6_000);
    if (calls > 1) return undefined;
    return grantChunk({ requests: 100 + amount.requests, tokens: 1e6 });
  });
  void held.admit();
  await clock.run(7_000);
  const outcome = held.admit();
  await clock.run(100);
  expect(await outcome).toBe("refused");
  expect(calls).toBe(2);
});

test("requests that wait together share one call", async () => {
  const clock = VirtualClock.create();
  const asked: number[] = [];
  const held = createHeld(clock, async (amount) => {
    asked.push(amount.requests);
    await clock.sleep(1);
    return grantChunk(amount);
  });
  const outcomes = [held.admit(), held.admit(), held.admit()];
  await clock.run(10);
  expect(await Promise.all(outcomes)).toEqual(Array(3).fill("admitted"));
  expect(asked).toEqual([1, 2]);
});
