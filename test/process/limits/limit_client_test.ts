import { expect, test } from "vitest";
import { buildWorkspace } from "../../../bench/support/limit_fleet.ts";
import type { RefusalError } from "../../../src/outcome.ts";
import { LimitClient } from "../../../src/process/limits/limit_client.ts";
import type { LimitAmount } from "../../../src/process/limits/limit_bucket.ts";
import type { LimitAnswer } from "../../../src/process/peer_api.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const LIMITS = { requestsPerMinute: 60, tokensPerMinute: 60_000 };

function createClient(
  clock: VirtualClock,
  fetchChunk: (amount: LimitAmount) => Promise<LimitAnswer | undefined>,
): { admit: () => Promise<string> } {
  const client = LimitClient.create({
    clock,
    countEntryVms: () => 8,
    fetchChunk,
  });
  const workspace = buildWorkspace("clinic", LIMITS);
  return {
    admit: () =>
      client.admit(workspace, 10).then(() => "admitted", () => "refused"),
  };
}

function grantChunk(amount: LimitAmount): LimitAnswer {
  return { isOwner: true, ...amount, ttlMs: 5_000, retryAfterMs: 0 };
}

test("an owner that does not answer delays a request by at most 50 ms", async () => {
  const clock = VirtualClock.create();
  const client = createClient(clock, () => new Promise(() => {}));
  let endedAt: number | undefined;
  const outcome = client.admit().finally(() => {
    endedAt = clock.now();
  });
  await clock.run(1_000);
  expect(await outcome).toBe("admitted");
  expect(endedAt).toBe(50);
});

test("a VM uses its share of the rate without an owner", async () => {
  const clock = VirtualClock.create();
  const client = createClient(clock, () => Promise.resolve(undefined));
  const outcomes: Promise<string>[] = [];
  for (let count = 0; count < 600; count++) {
    void clock.sleep(count * 100).then(() => outcomes.push(client.admit()));
  }
  await clock.run(60_000);
  const admitted = (await Promise.all(outcomes))
    .filter((outcome) => outcome === "admitted");
  expect(admitted.length).toBe(8);
});

// Guards against telling a workspace far below its limit that it is over it.
// When the owner is lost, the first requests use up the VM's share before the
// next owner answers; only an owner knows whether the limit is exceeded.
test("does not report a workspace as over its limit when only the VM's share is used up", async () => {
  const clock = VirtualClock.create();
  const client = LimitClient.create({
    clock,
    countEntryVms: () => 8,
    fetchChunk: () => Promise.resolve(undefined),
  });
  const workspace = buildWorkspace("clinic", LIMITS);
  const codes: string[] = [];
  for (let count = 0; count < 20; count++) {
    const outcome = client.admit(workspace, 10).catch((thrown: unknown) => {
      codes.push((thrown as RefusalError).refusal.code);
    });
    await clock.run(1);
    await outcome;
  }
  expect(codes.length).toBeGreaterThan(0);
  expect(new Set(codes)).toEqual(new Set(["owner_unreachable"]));
});

// Guards against a workspace that uses a chunk granted long ago. An answer may
// be delayed until the owner no longer counts its chunk, so the chunk's
// lifetime has to count from before the call.
test("the chunk of a late answer has expired", async () => {
  const clock = VirtualClock.create();
  let calls = 0;
  const client = createClient(clock, async (amount) => {
    calls += 1;
    await clock.sleep(6_000);
    if (calls > 1) return undefined;
    return grantChunk({ requests: 100 + amount.requests, tokens: 1e6 });
  });
  void client.admit();
  await clock.run(7_000);
  const outcome = client.admit();
  await clock.run(100);
  expect(await outcome).toBe("refused");
  expect(calls).toBe(2);
});

test("requests that wait together share one call", async () => {
  const clock = VirtualClock.create();
  const fetched: number[] = [];
  const client = createClient(clock, async (amount) => {
    fetched.push(amount.requests);
    await clock.sleep(1);
    return grantChunk(amount);
  });
  const outcomes = [client.admit(), client.admit(), client.admit()];
  await clock.run(10);
  expect(await Promise.all(outcomes)).toEqual(Array(3).fill("admitted"));
  expect(fetched).toEqual([1, 2]);
});
