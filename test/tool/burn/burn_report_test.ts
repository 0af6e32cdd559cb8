import { describe, expect, test } from "vitest";
import { toId } from "../../../src/ids.ts";
import type { BurnResult } from "../../../src/process/burn_stats.ts";
import { mergeSamples } from "../../../src/tool/burn/burn_fold.ts";
import { listLimits } from "../../../src/tool/burn/burn_notes.ts";
import {
  type BurnReport,
  computeReport,
} from "../../../src/tool/burn/burn_report.ts";
import {
  buildSpans,
  type ClassObjective,
} from "../../../src/tool/burn/burn_sources.ts";
import { ExampleVm } from "../../support/burn_examples.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

interface Served {
  result: BurnResult;
  count: number;
  workspace?: string;
  className?: string;
  upstream?: string;
}

function recordMany(vm: ExampleVm, served: Served): void {
  for (let index = 0; index < served.count; index++) {
    vm.record({
      requestId: toId(`${vm.vm}-${vm.served.length}`),
      workspace: toId(served.workspace ?? "north"),
      className: toId(served.className ?? "chat"),
      pool: toId("assist"),
      upstream: toId(served.upstream ?? "engine-1"),
      result: served.result,
      step: "queued",
      firstTokenMs: 100,
      betweenTokensMs: 10,
      totalMs: 200,
      tokens: 1,
      wastedTokens: 0,
    });
  }
}

function buildObjective(
  objective: number,
  workspaces: Record<string, number> = {},
): ClassObjective {
  return {
    className: "chat",
    tier: "interactive",
    objective,
    workspaces: new Map(Object.entries(workspaces)),
  };
}

function computeFor(
  vms: readonly ExampleVm[],
  objectives: ClassObjective[],
  missing: { vm: string; why: string }[] = [],
): BurnReport {
  const gatheredAtMs = Date.UTC(2030, 0, 1);
  return computeReport(mergeSamples([{
    gatheredAtMs,
    sources: vms.map((vm) => {
      const series = vm.collect();
      const { vm: name, incarnation } = vm;
      const spans = buildSpans(series);
      return { vm: name, incarnation, gatheredAtMs, series, spans };
    }),
    missing: missing.map((one) => ({ ...one, gatheredAtMs })),
    objectives,
  }]));
}

function createVm(vm = "entry-1"): ExampleVm {
  return ExampleVm.create({ vm, incarnation: `${vm}-i`, seed: 1 });
}

function listStates(report: BurnReport): Record<string, string> {
  return Object.fromEntries(
    report.rows[0]!.rules.map(({ rule, state }) => [rule, state]),
  );
}

describe("computeReport", () => {
  test("computes burn rates and the budget", async () => {
    // At an objective of 99% one request in a hundred may be bad.
    // 2 h ago: 1,000 requests, 10 of them bad: rate 1.
    // 40 min ago: 200 requests, 4 late: rate 2.
    // 10 min ago: 100 requests, 10 refused, 10 lost: rate 20.
    // Now: 50 requests, 10 lost: rate 20; 7 cancelled do not count.
    const vm = createVm();
    await vm.clock.run(3 * DAY_MS);
    recordMany(vm, { result: "met", count: 990 });
    recordMany(vm, { result: "late", count: 10 });
    await vm.clock.run(80 * MINUTE_MS);
    recordMany(vm, { result: "met", count: 196 });
    recordMany(vm, { result: "late", count: 4 });
    await vm.clock.run(30 * MINUTE_MS);
    recordMany(vm, { result: "met", count: 80 });
    recordMany(vm, { result: "refused", count: 10 });
    recordMany(vm, { result: "lost", count: 10 });
    await vm.clock.run(10 * MINUTE_MS);
    recordMany(vm, { result: "met", count: 40 });
    recordMany(vm, { result: "lost", count: 10 });
    recordMany(vm, { result: "cancelled", count: 7 });
    const report = computeFor([vm], [buildObjective(0.99)]);
    const row = report.rows[0]!;
    const rates = row.windows.map(({ burnRate }) => burnRate!.toFixed(4));
    expect(row.windows.map(({ counted, bad }) => [counted, bad])).toEqual([
      [50, 10],
      [150, 30],
      [350, 34],
      [1_350, 44],
      [1_350, 44],
    ]);
    // 10/50, 30/150, 34/350 and 44/1,350, over 0.01.
    expect(rates).toEqual(["20.0000", "20.0000", "9.7143", "3.2593", "3.2593"]);
    // 13.5 may be bad.
    expect(row.budget!.allowed).toBeCloseTo(13.5);
    expect(row.budget!.left).toBeCloseTo(1 - 44 / 13.5);
    // 1 h is not above 14.4, 6 h not above 6, but 3 d and 6 h are above 1.
    expect(listStates(report))
      .toEqual({ fast: "quiet", slow: "quiet", steady: "burning" });
  });

  test.each([
    // Rate 15 over both windows, then 15 over one of them.
    { early: [850, 150], late: [85, 15], fast: "burning" },
    { early: [1_000, 0], late: [85, 15], fast: "quiet" },
    // 150 of 1,020 is a rate of 14.7 over 1 h, but nothing is bad now.
    { early: [850, 150], late: [20, 0], fast: "quiet" },
    // Rate 14 over both: below 14.4, above 6.
    { early: [860, 140], late: [86, 14], fast: "quiet" },
  ])(
    "fires the fast rule only if both windows exceed it: $early, $late",
    async (example) => {
      const vm = createVm();
      await vm.clock.run(3 * DAY_MS);
      recordMany(vm, { result: "met", count: example.early[0]! });
      recordMany(vm, { result: "lost", count: example.early[1]! });
      await vm.clock.run(20 * MINUTE_MS);
      recordMany(vm, { result: "met", count: example.late[0]! });
      recordMany(vm, { result: "lost", count: example.late[1]! });
      const report = computeFor([vm], [buildObjective(0.99)]);
      expect(listStates(report).fast).toBe(example.fast);
    },
  );

  test("reports windows that are longer than the data held", async () => {
    const vm = createVm();
    await vm.clock.run(30 * MINUTE_MS);
    recordMany(vm, { result: "lost", count: 10 });
    const report = computeFor([vm], [buildObjective(0.99)]);
    expect(report.windows.map(({ name, isComplete }) => [name, isComplete]))
      .toEqual([
        ["5min", true],
        ["30min", true],
        ["1h", false],
        ["6h", false],
        ["3d", false],
      ]);
    expect(report.windows.map(({ coveredMs }) => coveredMs / MINUTE_MS))
      .toEqual([5, 30, 30, 30, 30]);
    expect(listStates(report)).toEqual({
      fast: "burning_on_part",
      slow: "burning_on_part",
      steady: "burning_on_part",
    });
    expect(listLimits(report)[0]!.text)
      .toContain("Windows from 1h on are longer than the data held (30.0min)");
  });

  test("marks thresholds that the objective cannot reach", async () => {
    const vm = createVm();
    await vm.clock.run(3 * DAY_MS);
    recordMany(vm, { result: "lost", count: 10 });
    // All failed: 1 over 0.1 is a rate of 10.
    const report = computeFor([vm], [buildObjective(0.9)]);
    expect(listStates(report)).toEqual({
      fast: "out_of_reach",
      slow: "burning",
      steady: "burning",
    });
  });

  test("adds a separate row for a workspace with its own objective", () => {
    const vm = createVm();
    recordMany(vm, { result: "lost", count: 1, workspace: "north" });
    recordMany(vm, { result: "met", count: 9, workspace: "north" });
    recordMany(vm, { result: "lost", count: 2, workspace: "south" });
    recordMany(vm, { result: "met", count: 8, workspace: "south" });
    recordMany(vm, { result: "met", count: 10, workspace: "west" });
    const report = computeFor([vm], [buildObjective(0.9, { south: 0.5 })]);
    const rates = report.rows.map((row) => [
      row.workspace,
      row.windows[0]!.counted,
      row.windows[0]!.burnRate,
    ]);
    // 1 of 20 over 0.1; 2 of 10 over 0.5.
    expect(rates).toEqual([[undefined, 20, 0.5], ["south", 10, 0.4]]);
  });

  test("includes a class without requests and one without an objective", () => {
    const vm = createVm();
    recordMany(vm, { result: "lost", count: 1, className: "old" });
    const report = computeFor([vm], [buildObjective(0.9)]);
    const chat = report.rows.find(({ className }) => className === "chat")!;
    const old = report.rows.find(({ className }) => className === "old")!;
    expect(chat.windows[0]).toMatchObject({ counted: 0, burnRate: undefined });
    expect(chat.budget!.left).toBeUndefined();
    expect(old).toMatchObject({ objective: undefined, tier: undefined });
    expect(old.windows[0]).toMatchObject({ bad: 1, burnRate: undefined });
  });

  test("sums the figures of VMs and aggregates causes by property", () => {
    const [first, second] = [createVm("entry-1"), createVm("entry-2")];
    recordMany(first, { result: "late", count: 3, upstream: "engine-1" });
    recordMany(second, { result: "late", count: 2, upstream: "engine-1" });
    recordMany(second, { result: "refused", count: 4, upstream: "engine-2" });
    const report = computeFor([first, second], [buildObjective(0.9)]);
    expect(report.rows[0]!.windows[0]!.counts)
      .toMatchObject({ late: 5, refused: 4 });
    const list = (dimension: "upstream" | "tier" | "result") =>
      report.breakdown[dimension].map((
        { value, lastHour },
      ) => [value, lastHour]);
    expect(list("upstream")).toEqual([["engine-1", 5], ["engine-2", 4]]);
    expect(list("result")).toEqual([["late", 5], ["refused", 4]]);
    expect(list("tier")).toEqual([["interactive", 9]]);
    expect(report.causes[0]!.examples)
      .toEqual(["entry-1-2", "entry-1-1", "entry-1-0"]);
  });

  test("names missing VMs and VMs with less data than others", async () => {
    const [old, young] = [createVm("entry-1"), createVm("entry-2")];
    await old.clock.run(2 * DAY_MS);
    await young.clock.run(10 * MINUTE_MS);
    const report = computeFor([old, young], [buildObjective(0.9)], [
      { vm: "entry-3", why: "No answer" },
    ]);
    const texts = listLimits(report).map(({ text }) => text);
    expect(texts[0]).toContain("Not reached: entry-3 (No answer).");
    expect(texts).toContainEqual(
      expect.stringContaining(
        "VMs with a shorter history: entry-2 10.0min",
      ),
    );
    expect(texts).toContainEqual(
      expect.stringContaining("what a replaced VM served is lost"),
    );
    expect(report.windows.map(({ partialVms }) => partialVms))
      .toEqual([0, 1, 1, 1, 2]);
  });
});
