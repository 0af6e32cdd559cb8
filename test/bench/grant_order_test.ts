import { expect, test } from "vitest";
import { runAges } from "../../bench/experiments/ages.ts";
import {
  countPairs,
  type WatchedTicket,
} from "../../bench/experiments/grant_order.ts";
import { toId } from "../../src/ids.ts";

const NEAR = { fromMs: 0.5, toMs: 0.5 };
const SHORT_MS = 4_000;

function buildTicket(
  arrivedAt: number,
  granted: { at: number; order: number },
  workspace = "north",
): WatchedTicket {
  return {
    ticket: toId(`${arrivedAt}`),
    className: toId("chat"),
    workspace: toId(workspace),
    arrivedAt,
    enteredAt: arrivedAt + 1,
    errorMs: 0,
    granted,
  };
}

test("counts pairs that waited together, and those granted out of order", () => {
  const tickets = [
    buildTicket(0, { at: 30, order: 1 }),
    buildTicket(10, { at: 20, order: 0 }),
    buildTicket(25, { at: 40, order: 2 }),
  ];
  expect(countPairs(tickets, "class")).toEqual({ pairs: 2, outOfOrder: 1 });
});

test("ignores pairs of different workspaces when counting within a workspace", () => {
  const tickets = [
    buildTicket(0, { at: 30, order: 1 }),
    buildTicket(10, { at: 20, order: 0 }, "south"),
  ];
  expect(countPairs(tickets, "workspace")).toEqual({ pairs: 0, outOfOrder: 0 });
});

test("a run is deterministic for a seed, and only clock errors change the order", async () => {
  const options = {
    user: "kontrola_sever" as const,
    seed: 1,
    mode: "first_come" as const,
    delay: NEAR,
    durationMs: SHORT_MS,
  };
  const exact = await runAges({ ...options, form: 0 });
  const again = await runAges({ ...options, form: 0 });
  const wrong = await runAges({ ...options, form: 1_000 });
  expect(again).toEqual(exact);
  expect(exact.byClass.pairs).toBeGreaterThan(0);
  expect(exact.byClass.outOfOrder).toBe(0);
  expect(wrong.byClass.outOfOrder).toBeGreaterThan(0);
});
