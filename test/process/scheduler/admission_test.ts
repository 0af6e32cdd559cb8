import { describe, expect, test } from "vitest";
import { toId } from "../../../src/ids.ts";
import type { AcquireCall } from "../../../src/process/peer_api.ts";
import { RetrySchedule } from "../../../src/process/scheduler/admission.ts";
import {
  MIN_SAMPLES,
  OutputLengths,
} from "../../../src/process/scheduler/output_lengths.ts";
import {
  MAX_SAMPLE_AGE_MS,
  ServiceTimes,
} from "../../../src/process/scheduler/service_times.ts";
import {
  buildCall,
  buildClass,
  createOwnerHarness,
  type OwnerHarness,
  runSlots,
} from "./fixtures.ts";

/** A class limited by the total target rather than by the first token. */
const CHAT = buildClass("chat", { lateIsUseful: false });
CHAT.targets.firstTokenMs = 5_000;
CHAT.targets.totalMs = 5_000;
const HOLD_MS = 1_000;

/** Feeds the owner samples of requests with ten tokens in one second. */
async function runSamples(harness: OwnerHarness): Promise<void> {
  for (let round = 0; round < MIN_SAMPLES + 1; round++) {
    const call = harness.acquire(buildChat());
    await harness.clock.run(HOLD_MS);
    harness.release(call, {
      tokens: 10,
      firstTokenMs: 100,
      betweenTokensMs: 100,
    });
  }
}

function buildChat(): AcquireCall {
  return buildCall("chat", { deadlineInMs: 5_000 });
}

describe("early refusal", () => {
  test("refuses requests that cannot finish and tells when to retry", async () => {
    const harness = await createOwnerHarness({ classes: [CHAT] });
    await runSamples(harness);
    const kinds: string[] = [];
    let retryAfterMs = 0;
    for (let count = 0; count < 8; count++) {
      const answer = harness.owner.acquire({ ...buildChat(), holdMs: 1 });
      await harness.clock.run(2);
      const { kind, ...rest } = await answer;
      kinds.push(kind);
      if ("refusal" in rest) {
        expect(rest.refusal.code).toBe("deadline_unreachable");
        expect(rest.refusal.outcome).toBe("not_run");
        retryAfterMs = Math.max(retryAfterMs, rest.refusal.retryAfterMs!);
      }
    }
    // One runs and three or four wait, at a second each: more exceed 5 s.
    const waiting = kinds.filter((kind) => kind === "queued").length;
    expect(waiting).toBeGreaterThanOrEqual(3);
    expect(waiting).toBeLessThanOrEqual(4);
    expect(kinds.at(-1)).toBe("refused");
    expect(retryAfterMs).toBeGreaterThan(0);
  });

  test("admits a caller that retries at the given time", async () => {
    const harness = await createOwnerHarness({ classes: [CHAT] });
    await runSamples(harness);
    const calls = Array.from({ length: 6 }, buildChat);
    for (const call of calls) harness.acquire(call);
    await harness.clock.run(1);
    const refused = await harness.owner.acquire(buildChat());
    expect(refused.kind).toBe("refused");
    if (refused.kind !== "refused") return;
    await runSlots(harness, {
      ms: refused.refusal.retryAfterMs!,
      holdMs: HOLD_MS,
      betweenTokensMs: 100,
      calls,
    });
    const again = harness.acquire(buildChat());
    await harness.clock.run(1);
    expect(harness.refused.has(again.ticket)).toBe(false);
    // The delay is no longer than necessary.
    expect(refused.refusal.retryAfterMs).toBeLessThan(5_000);
  });

  // Guards against slots spent on useless answers: in overload the wait grows
  // past the first-token target but stays far within the total one. If only the
  // total target counted, nearly every chat reply would be late.
  test("refuses requests that would miss the first-token target", async () => {
    const chat = buildClass("chat", { lateIsUseful: false });
    chat.targets.firstTokenMs = 2_500;
    chat.targets.totalMs = 60_000;
    const harness = await createOwnerHarness({ classes: [chat] });
    await runSamples(harness);
    const buildLong = () => buildCall("chat", { deadlineInMs: 60_000 });
    const calls = Array.from({ length: 8 }, buildLong);
    for (const call of calls) harness.acquire(call);
    await harness.clock.run(1);
    // One runs and two wait at a second each; a third would start after 3 s.
    const refused = calls.filter(({ ticket }) => harness.refused.has(ticket));
    expect(refused).toHaveLength(5);
    expect(harness.refused.get(refused[0]!.ticket)).toBe(
      "deadline_unreachable",
    );
    // Time passes without a free slot: the waiting ones are dropped in time.
    await harness.clock.run(2_500);
    expect(harness.owner.waitingCount).toBe(0);
  });

  test("includes the backlog of higher tiers in the retry delay", async () => {
    const low = buildClass("chat", {
      lateIsUseful: false,
      tier: toId("bronze"),
    });
    low.targets.firstTokenMs = 5_000;
    low.targets.totalMs = 5_000;
    const harness = await createOwnerHarness({
      classes: [low, buildClass("documents")],
    });
    await runSamples(harness);
    // Cold-start estimate of a document: half of its targets, 1 s + 100 * 25 ms.
    for (let count = 0; count < 4; count++) {
      harness.acquire(buildCall("documents"));
    }
    await harness.clock.run(1);
    const answer = await harness.owner.acquire(buildChat());
    expect(answer.kind).toBe("refused");
    if (answer.kind !== "refused") return;
    expect(answer.refusal.retryAfterMs).toBeGreaterThan(7_000);
    expect(answer.refusal.retryAfterMs).toBeLessThan(8_000);
  });

  test("refuses no request of a class whose late answers are useful", async () => {
    const late = buildClass("chat", { lateIsUseful: true });
    const harness = await createOwnerHarness({ classes: [late] });
    await runSamples(harness);
    for (let count = 0; count < 20; count++) harness.acquire(buildChat());
    await harness.clock.run(1);
    expect(harness.refused.size).toBe(0);
  });

  test("refuses no request before estimates are learnt", async () => {
    const harness = await createOwnerHarness({ classes: [CHAT] });
    for (let count = 0; count < 20; count++) harness.acquire(buildChat());
    await harness.clock.run(1);
    expect(harness.refused.size).toBe(0);
  });

  test("drops a waiter as soon as it can no longer finish", async () => {
    const harness = await createOwnerHarness({ classes: [CHAT] });
    await runSamples(harness);
    const running = harness.acquire(buildChat());
    await harness.clock.run(1);
    const waiting = harness.acquire(buildChat());
    // The first request's lease is renewed and never released.
    for (let waited = 0; waited < 4_300; waited += 500) {
      await harness.clock.run(500);
      harness.release(running, { state: "running" });
    }
    expect(harness.refused.get(waiting.ticket)).toBe("deadline_unreachable");
  });
});

describe("OutputLengths", () => {
  const query = {
    requestClass: buildClass("chat", { maxOutputTokens: 500 }),
    workspace: toId<AcquireCall["workspace"]>("workspace"),
    maxTokens: 1_000,
    doneTokens: 0,
  };

  test("estimates the class's cap at a cold start", () => {
    const lengths = OutputLengths.create();
    expect(lengths.computeEstimate(query))
      .toEqual({ tokens: 500, learnt: false });
  });

  test("learns a workspace's median, above the tokens already done", () => {
    const lengths = OutputLengths.create();
    const { workspace } = query;
    for (let tokens = 10; tokens <= 400; tokens += 10) {
      lengths.record(query.requestClass.name, { workspace, tokens });
    }
    const fresh = lengths.computeEstimate(query);
    expect(fresh.learnt).toBe(true);
    expect(fresh.tokens).toBeGreaterThan(180);
    expect(fresh.tokens).toBeLessThan(220);
    const resumed = lengths.computeEstimate({ ...query, doneTokens: 300 });
    expect(resumed.tokens).toBeGreaterThan(330);
    expect(resumed.tokens).toBeLessThan(370);
  });

  test("uses the class's median for an unknown workspace", () => {
    const lengths = OutputLengths.create();
    const other = toId<AcquireCall["workspace"]>("other");
    for (let count = 0; count < MIN_SAMPLES; count++) {
      lengths.record(query.requestClass.name, {
        workspace: other,
        tokens: 42,
      });
    }
    expect(lengths.computeEstimate(query)).toEqual({
      tokens: 42,
      learnt: true,
    });
  });
});

describe("ServiceSpeed", () => {
  // Guards against refusing a class forever: the shard is slow for a while, all
  // requests are refused, and without new samples the slow estimate would stay
  // after the shard has recovered.
  test("does not justify refusals once its samples are old", () => {
    const times = ServiceTimes.create();
    for (let count = 0; count < 10; count++) {
      times.record({
        className: CHAT.name,
        firstTokenMs: 100,
        betweenTokensMs: 1_000,
        slotMs: 10_000,
        now: 0,
      });
    }
    const options = { tokens: 10, hasTokens: true };
    expect(times.computeEstimate(CHAT, { ...options, now: 1_000 }).learnt)
      .toBe(true);
    const later = MAX_SAMPLE_AGE_MS + 1;
    expect(times.computeEstimate(CHAT, { ...options, now: later }).learnt)
      .toBe(false);
  });
});

describe("RetryTimes", () => {
  // Guards against a retry storm: if a refused burst of callers got the same
  // retry time, all would return at once and be refused again.
  test("gives each refused caller a retry time of its own", () => {
    const schedule = RetrySchedule.create();
    const options = { now: 1_000, waitMs: 2_000, intervalMs: 500 };
    const delays = [0, 1, 2].map(() => schedule.take("chat", options));
    expect(delays).toEqual([2_000, 2_500, 3_000]);
  });
});
