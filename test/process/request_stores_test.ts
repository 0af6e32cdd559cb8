import { describe, expect, it } from "vitest";
import { type PoolName, type RequestId, toId } from "../../src/ids.ts";
import { AnswerStore } from "../../src/process/answer_store.ts";
import { RequestStatusStore } from "../../src/process/request_status_store.ts";
import { WindowRetryBudget } from "../../src/process/retry_budget.ts";
import type { RequestStatus } from "../../src/request/request_status.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRunningStatus } from "../support/request_status_examples.ts";

const POOL = toId<PoolName>("pool");
const END = { outcome: "answered" as const, code: undefined, tokens: 3 };

function buildRecord(id: string): RequestStatus {
  return buildRunningStatus(toId<RequestId>(id));
}

describe("the request status store", () => {
  it("evicts finished records before running ones", () => {
    const statuses = RequestStatusStore.create({ maxRecords: 3 });
    const ids = ["a", "b", "c", "d", "e"].map((id) => toId<RequestId>(id));
    ids.slice(0, 3).forEach((id) => statuses.start(buildRecord(id)));
    statuses.end(ids[1]!, END);
    statuses.start(buildRecord("d"));
    expect(statuses.find(ids[1]!)).toBeUndefined();
    expect(statuses.find(ids[0]!)?.outcome).toBe("running");
    statuses.start(buildRecord("e"));
    expect(statuses.size).toBe(3);
    expect(statuses.find(ids[0]!)).toBeUndefined();
  });

  it("limits steps and bytes, and counts the dropped steps", () => {
    const statuses = RequestStatusStore.create({ maxBytes: 100_000 });
    const id = toId<RequestId>("a");
    statuses.start(buildRecord("a"));
    for (let ageMs = 0; ageMs < 100; ageMs++) {
      statuses.note(id, { step: "retried", ageMs, detail: "x".repeat(10) });
    }
    const record = statuses.find(id)!;
    expect(record.steps.length + record.droppedSteps).toBe(100);
    expect(record.droppedSteps).toBeGreaterThan(0);
    for (let index = 0; index < 500; index++) {
      statuses.start(buildRecord(`r${index}`));
      statuses.end(toId<RequestId>(`r${index}`), END);
    }
    expect(statuses.bytes).toBeLessThanOrEqual(100_000);
    expect(statuses.size).toBeLessThan(200);
    expect(statuses.find(id)?.outcome).toBe("running");
  });

  it("keeps the steps of an earlier execution before those of the next", () => {
    const statuses = RequestStatusStore.create();
    const id = toId<RequestId>("a");
    for (const detail of ["first", "second"]) {
      statuses.start(buildRecord("a"));
      statuses.note(id, { step: "arrived", ageMs: 0, detail });
      statuses.end(id, END);
    }
    expect(statuses.find(id)!.steps.map((step) => step.detail))
      .toEqual(["first", "second"]);
    expect(statuses.size).toBe(1);
  });
});

describe("the answer store", () => {
  it("evicts the oldest answers and keeps the first answer of an id", () => {
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
  // Guards against retries that outlast an outage: every attempt fails for a
  // long time, and retries grow with failures instead of with first attempts.
  it("keeps retries under the share in any window", async () => {
    const clock = VirtualClock.create();
    const budget = WindowRetryBudget.create({ clock, getShare: () => 0.1 });
    let retries = 0;
    for (let second = 0; second < 60; second++) {
      for (let attempts = 0; attempts < 20; attempts++) {
        budget.noteFirstAttempt(POOL);
        while (budget.takeRetry(POOL)) retries++;
      }
      await clock.run(1_000);
    }
    const firstAttempts = 60 * 20;
    expect(retries).toBeGreaterThan(0.09 * firstAttempts);
    // Plus the reserve of 2 retries for each window of 10 s.
    expect(retries).toBeLessThanOrEqual(0.1 * firstAttempts + 2 * 7);
  });

  it("ignores attempts older than its window", async () => {
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
