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

/** A class whose whole answer, not its first token, sets the pace. */
const CHAT = buildClass("chat", { lateIsUseful: false });
CHAT.targets.firstTokenMs = 5_000;
CHAT.targets.totalMs = 5_000;
const HOLD_MS = 1_000;

/** Teaches the owner: each request takes a second and ten tokens. */
async function runSamples(bench: OwnerHarness): Promise<void> {
  for (let round = 0; round < MIN_SAMPLES + 1; round++) {
    const call = bench.acquire(buildChat());
    await bench.clock.run(HOLD_MS);
    bench.release(call, {
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
  test("refuses at once what cannot finish, and says when to come back", async () => {
    const bench = await createOwnerHarness({ classes: [CHAT] });
    await runSamples(bench);
    const kinds: string[] = [];
    let retryAfterMs = 0;
    for (let count = 0; count < 8; count++) {
      const answer = bench.owner.acquire({ ...buildChat(), holdMs: 1 });
      await bench.clock.run(2);
      const { kind, ...rest } = await answer;
      kinds.push(kind);
      if ("refusal" in rest) {
        expect(rest.refusal.code).toBe("deadline_unreachable");
        expect(rest.refusal.outcome).toBe("not_run");
        retryAfterMs = Math.max(retryAfterMs, rest.refusal.retryAfterMs!);
      }
    }
    // One runs, three or four wait at a second each; no more make 5 s.
    const waiting = kinds.filter((kind) => kind === "queued").length;
    expect(waiting).toBeGreaterThanOrEqual(3);
    expect(waiting).toBeLessThanOrEqual(4);
    expect(kinds.at(-1)).toBe("refused");
    expect(retryAfterMs).toBeGreaterThan(0);
  });

  test("lets a caller in that comes back when it was told to", async () => {
    const bench = await createOwnerHarness({ classes: [CHAT] });
    await runSamples(bench);
    const calls = Array.from({ length: 6 }, buildChat);
    for (const call of calls) bench.acquire(call);
    await bench.clock.run(1);
    const refused = await bench.owner.acquire(buildChat());
    expect(refused.kind).toBe("refused");
    if (refused.kind !== "refused") return;
    await runSlots(bench, {
      ms: refused.refusal.retryAfterMs!,
      holdMs: HOLD_MS,
      betweenTokensMs: 100,
      calls,
    });
    const again = bench.acquire(buildChat());
    await bench.clock.run(1);
    expect(bench.refused.has(again.ticket)).toBe(false);
    // The time is no longer than it must be.
    expect(refused.refusal.retryAfterMs).toBeLessThan(5_000);
  });

  // Symptom: in overload nearly every chat reply comes late, and the slots
  // that made them serve nobody.
  // Sequence: the wait grows past the first-token target, far within the total.
  // Cause: only the total target decides whether a late answer is useless.
  test("refuses what would miss its first token", async () => {
    const chat = buildClass("chat", { lateIsUseful: false });
    chat.targets.firstTokenMs = 2_500;
    chat.targets.totalMs = 60_000;
    const bench = await createOwnerHarness({ classes: [chat] });
    await runSamples(bench);
    const buildLong = () => buildCall("chat", { deadlineInMs: 60_000 });
    const calls = Array.from({ length: 8 }, buildLong);
    for (const call of calls) bench.acquire(call);
    await bench.clock.run(1);
    // One runs and two wait at a second each; a third would start after 3 s.
    const refused = calls.filter(({ ticket }) => bench.refused.has(ticket));
    expect(refused).toHaveLength(5);
    expect(bench.refused.get(refused[0]!.ticket)).toBe(
      "deadline_unreachable",
    );
    // The clock goes on without a free slot: those that wait give up in time.
    await bench.clock.run(2_500);
    expect(bench.owner.waitingCount).toBe(0);
  });

  test("counts the backlog of higher tiers in the time to come back", async () => {
    const low = buildClass("chat", {
      lateIsUseful: false,
      tier: toId("bronze"),
    });
    low.targets.firstTokenMs = 5_000;
    low.targets.totalMs = 5_000;
    const bench = await createOwnerHarness({
      classes: [low, buildClass("documents")],
    });
    await runSamples(bench);
    // Cold guess of a document: half of its targets, 1 s and 100 times 25 ms.
    for (let count = 0; count < 4; count++) {
      bench.acquire(buildCall("documents"));
    }
    await bench.clock.run(1);
    const answer = await bench.owner.acquire(buildChat());
    expect(answer.kind).toBe("refused");
    if (answer.kind !== "refused") return;
    expect(answer.refusal.retryAfterMs).toBeGreaterThan(7_000);
    expect(answer.refusal.retryAfterMs).toBeLessThan(8_000);
  });

  test("refuses nothing of a class whose late answers are useful", async () => {
    const late = buildClass("chat", { lateIsUseful: true });
    const bench = await createOwnerHarness({ classes: [late] });
    await runSamples(bench);
    for (let count = 0; count < 20; count++) bench.acquire(buildChat());
    await bench.clock.run(1);
    expect(bench.refused.size).toBe(0);
  });

  test("refuses nothing before anything is learnt", async () => {
    const bench = await createOwnerHarness({ classes: [CHAT] });
    for (let count = 0; count < 20; count++) bench.acquire(buildChat());
    await bench.clock.run(1);
    expect(bench.refused.size).toBe(0);
  });

  test("gives up a waiter as soon as it can no longer finish", async () => {
    const bench = await createOwnerHarness({ classes: [CHAT] });
    await runSamples(bench);
    const running = bench.acquire(buildChat());
    await bench.clock.run(1);
    const waiting = bench.acquire(buildChat());
    // The lease of the first is renewed and never returned.
    for (let waited = 0; waited < 4_300; waited += 500) {
      await bench.clock.run(500);
      bench.release(running, { state: "running" });
    }
    expect(bench.refused.get(waiting.ticket)).toBe("deadline_unreachable");
  });
});

describe("OutputLengths", () => {
  const question = {
    requestClass: buildClass("chat", { maxOutputTokens: 500 }),
    workspace: toId<AcquireCall["workspace"]>("workspace"),
    maxTokens: 1_000,
    doneTokens: 0,
  };

  test("guesses the class's cap at a cold start", () => {
    const lengths = OutputLengths.create();
    expect(lengths.computeGuess(question))
      .toEqual({ tokens: 500, learnt: false });
  });

  test("learns a workspace's median, and the rest above what is done", () => {
    const lengths = OutputLengths.create();
    const { workspace } = question;
    for (let tokens = 10; tokens <= 400; tokens += 10) {
      lengths.record(question.requestClass.name, { workspace, tokens });
    }
    const fresh = lengths.computeGuess(question);
    expect(fresh.learnt).toBe(true);
    expect(fresh.tokens).toBeGreaterThan(180);
    expect(fresh.tokens).toBeLessThan(220);
    const resumed = lengths.computeGuess({ ...question, doneTokens: 300 });
    expect(resumed.tokens).toBeGreaterThan(330);
    expect(resumed.tokens).toBeLessThan(370);
  });

  test("uses the class for a workspace that it does not know", () => {
    const lengths = OutputLengths.create();
    const other = toId<AcquireCall["workspace"]>("other");
    for (let count = 0; count < MIN_SAMPLES; count++) {
      lengths.record(question.requestClass.name, {
        workspace: other,
        tokens: 42,
      });
    }
    expect(lengths.computeGuess(question)).toEqual({
      tokens: 42,
      learnt: true,
    });
  });
});

describe("ServiceSpeed", () => {
  // Symptom: a class is refused for ever. Sequence: the shard is slow for a
  // while, everything is refused, it recovers. Cause: without new samples the
  // slow figure stays.
  test("is no ground for refusing once it is old", () => {
    const speed = ServiceTimes.create();
    for (let count = 0; count < 10; count++) {
      speed.record({
        className: CHAT.name,
        firstTokenMs: 100,
        betweenTokensMs: 1_000,
        slotMs: 10_000,
        now: 0,
      });
    }
    const options = { tokens: 10, hasTokens: true };
    expect(speed.computeGuess(CHAT, { ...options, now: 1_000 }).learnt)
      .toBe(true);
    const later = MAX_SAMPLE_AGE_MS + 1;
    expect(speed.computeGuess(CHAT, { ...options, now: later }).learnt)
      .toBe(false);
  });
});

describe("RetryTimes", () => {
  // Symptom: all refused callers come back at once and are refused again.
  // Sequence: a burst is refused in one moment. Cause: all are told the same
  // time.
  test("gives each refused caller a place of its own", () => {
    const times = RetrySchedule.create();
    const options = { now: 1_000, waitMs: 2_000, intervalMs: 500 };
    const told = [0, 1, 2].map(() => times.take("chat", options));
    expect(told).toEqual([2_000, 2_500, 3_000]);
  });
});
