import { describe, expect, it } from "vitest";
import { type PoolName, type RequestId, toId } from "../../src/ids.ts";
import { AnswerStore } from "../../src/process/answer_store.ts";
import { RequestStatusStore } from "../../src/process/request_status_store.ts";
import { WindowRetryBudget } from "../../src/process/retry_budget.ts";
import type { RequestStatus } from "../../src/request/request_status.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRunningRecord } from "../support/fate_examples.ts";

const POOL = toId<PoolName>("pool");
const END = { outcome: "answered" as const, code: undefined, tokens: 3 };

function buildRecord(id: string): RequestStatus {
  return buildRunningRecord(toId<RequestId>(id));
}

describe("the fate store", () => {
  it("keeps running records before finished ones", () => {
    const fates = RequestStatusStore.create({ maxRecords: 3 });
    const ids = ["a", "b", "c", "d", "e"].map((id) => toId<RequestId>(id));
    ids.slice(0, 3).forEach((id) => fates.start(buildRecord(id)));
    fates.end(ids[1]!, END);
    fates.start(buildRecord("d"));
    expect(fates.find(ids[1]!)).toBeUndefined();
    expect(fates.find(ids[0]!)?.outcome).toBe("running");
    fates.start(buildRecord("e"));
    expect(fates.size).toBe(3);
    expect(fates.find(ids[0]!)).toBeUndefined();
  });

  it("bounds steps and bytes, and says how many steps it left out", () => {
    const fates = RequestStatusStore.create({ maxBytes: 100_000 });
    const id = toId<RequestId>("a");
    fates.start(buildRecord("a"));
    for (let ageMs = 0; ageMs < 100; ageMs++) {
      fates.note(id, { step: "retried", ageMs, detail: "x".repeat(10) });
    }
    const record = fates.find(id)!;
    expect(record.steps.length + record.droppedSteps).toBe(100);
    expect(record.droppedSteps).toBeGreaterThan(0);
    for (let index = 0; index < 500; index++) {
      fates.start(buildRecord(`r${index}`));
      fates.end(toId<RequestId>(`r${index}`), END);
    }
    expect(fates.bytes).toBeLessThanOrEqual(100_000);
    expect(fates.size).toBeLessThan(200);
    expect(fates.find(id)?.outcome).toBe("running");
  });

  it("keeps the steps of a run before the one that follows it", () => {
    const fates = RequestStatusStore.create();
    const id = toId<RequestId>("a");
    for (const detail of ["first", "second"]) {
      fates.start(buildRecord("a"));
      fates.note(id, { step: "arrived", ageMs: 0, detail });
      fates.end(id, END);
    }
    expect(fates.find(id)!.steps.map((step) => step.detail))
      .toEqual(["first", "second"]);
    expect(fates.size).toBe(1);
  });
});

describe("the answer store", () => {
  it("drops the oldest answers and keeps the first of an id", () => {
    const answers = AnswerStore.create({ maxBytes: 2_000 });
    const build = (body: string) => ({
      status: 200,
      headers: {},
      bodyBase64: body,
    });
    const ids = ["a", "b", "c"].map((id) => toId<RequestId>(id));
    ids.forEach((id) => answers.put(id, build("x".repeat(500))));
    answers.put(ids[2]!, build("y"));
    expect(answers.find(ids[0]!)).toBeUndefined();
    expect(answers.find(ids[2]!)!.bodyBase64).toMatch(/^x/);
    expect(answers.bytes).toBeLessThanOrEqual(2_000);
  });
});

describe("the retry budget", () => {
  // Symptom: an outage's retries outlast it.
  // Sequence: every try fails for a long time.
  // Cause: retries that grow with failures instead of with first tries.
  it("holds retries under the share in any window", async () => {
    const clock = VirtualClock.create();
    const budget = WindowRetryBudget.create({ clock, getShare: () => 0.1 });
    let retries = 0;
    for (let second = 0; second < 60; second++) {
      for (let tries = 0; tries < 20; tries++) {
        budget.noteFirstAttempt(POOL);
        while (budget.takeRetry(POOL)) retries++;
      }
      await clock.run(1_000);
    }
    const firstTries = 60 * 20;
    expect(retries).toBeGreaterThan(0.09 * firstTries);
    // The reserve of 2 for each window of ten seconds comes on top.
    expect(retries).toBeLessThanOrEqual(0.1 * firstTries + 2 * 7);
  });

  it("forgets what is older than its window", async () => {
    const clock = VirtualClock.create();
    const budget = WindowRetryBudget.create({ clock, getShare: () => 0 });
    const takeAll = () => {
      let taken = 0;
      while (budget.takeRetry(POOL)) taken++;
      return taken;
    };
    expect(takeAll()).toBe(2);
    await clock.run(9_000);
    expect(takeAll()).toBe(0);
    await clock.run(1_000);
    expect(takeAll()).toBe(2);
  });
});
