import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
  type BurnCounts,
  countWindow,
  createCounts,
} from "../../../src/process/burn_stats.ts";
import {
  type BurnFold,
  mergeSamples,
} from "../../../src/tool/burn/burn_fold.ts";
import {
  buildSavedReport,
  parseSavedReport,
} from "../../../src/tool/burn/burn_files.ts";
import type { LogRequest } from "../../../src/tool/burn/burn_logs.ts";
import {
  buildSpans,
  type BurnSample,
  computeCoveredMs,
} from "../../../src/tool/burn/burn_sources.ts";
import { EXAMPLE_CLASSES, ExampleVm } from "../../support/burn_examples.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
const EPOCH_MS = Date.UTC(2030, 0, 1);

function collectSample(
  vms: readonly ExampleVm[],
  atMs: number,
): BurnSample {
  return {
    gatheredAtMs: EPOCH_MS + atMs,
    sources: vms.map((vm) => {
      const series = vm.collect();
      return {
        vm: vm.vm,
        incarnation: vm.incarnation,
        gatheredAtMs: EPOCH_MS + atMs,
        series,
        spans: buildSpans(series),
      };
    }),
    missing: [],
    objectives: [],
  };
}

function countAll(fold: BurnFold, windowMs: number): BurnCounts {
  const sum = createCounts();
  for (const entry of fold.series.entries) {
    const counts = countWindow(entry, windowMs);
    for (const result of Object.keys(sum) as (keyof BurnCounts)[]) {
      sum[result] += counts[result];
    }
  }
  return sum;
}

function countServed(vms: readonly ExampleVm[]): BurnCounts {
  const sum = createCounts();
  for (const { result } of vms.flatMap(({ served }) => served)) sum[result]++;
  return sum;
}

/** Samples of two VMs after each step; the second VM is replaced halfway. */
async function collectHistory(
  seed: number,
  steps: readonly number[],
): Promise<{ vms: ExampleVm[]; samples: BurnSample[] }> {
  const lasting = ExampleVm.create({ vm: "a", incarnation: "a1", seed });
  const first = ExampleVm.create({
    vm: "b",
    incarnation: "b1",
    seed: seed + 1,
  });
  const second = ExampleVm.create({
    vm: "b",
    incarnation: "b2",
    seed: seed + 2,
  });
  const samples: BurnSample[] = [];
  let minutes = 0;
  for (const [index, step] of steps.entries()) {
    const running = [lasting, index < steps.length / 2 ? first : second];
    for (const vm of running) {
      await vm.runMinutes(step, { classes: LIGHT_CLASSES });
    }
    minutes += step;
    samples.push(collectSample(running, minutes * MINUTE_MS));
  }
  return { vms: [lasting, first, second], samples };
}

/** Classes with few requests, so that long histories run quickly. */
const LIGHT_CLASSES = EXAMPLE_CLASSES.slice(0, 2)
  .map((example) => ({ ...example, perMinute: 1, badShare: 0.5 }));
const STEPS = fc.array(fc.integer({ min: 1, max: 50 }), {
  minLength: 2,
  maxLength: 4,
});
const RUNS = { seed: 11, numRuns: 15 };

describe("mergeSamples", () => {
  test("counts each request once, even if samples are repeated", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 0, max: 1_000 }),
        STEPS,
        fc.infiniteStream(fc.nat()),
        async (seed, steps, picks) => {
          const { vms, samples } = await collectHistory(seed, steps);
          const repeated = [...samples];
          for (let count = 0; count < 3; count++) {
            const pick: number = picks.next().value!;
            repeated.push(samples[pick % samples.length]!);
          }
          const fold = mergeSamples(repeated);
          expect(countAll(fold, 30 * DAY_MS)).toEqual(countServed(vms));
        },
      ),
      RUNS,
    );
  });

  test("does not depend on the order of samples", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 0, max: 1_000 }),
        STEPS,
        fc.infiniteStream(fc.nat()),
        async (seed, steps, picks) => {
          const { samples } = await collectHistory(seed, steps);
          const shuffled = samples
            .map((sample) => ({ sample, key: picks.next().value! }))
            .sort((left, right) => left.key - right.key)
            .map(({ sample }) => sample);
          expect(mergeSamples(shuffled)).toEqual(
            mergeSamples(samples),
          );
        },
      ),
      RUNS,
    );
  });

  test("returns the same result via a saved intermediate report", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 0, max: 1_000 }),
        STEPS,
        async (seed, steps) => {
          const { samples } = await collectHistory(seed, steps);
          const early = mergeSamples(samples.slice(0, -1));
          const text = JSON.stringify(buildSavedReport(early));
          const onward = mergeSamples([
            parseSavedReport(text, "early"),
            samples.at(-1)!,
          ]);
          const atOnce = mergeSamples(samples);
          expect(onward.series).toEqual(atOnce.series);
          expect(onward.spansByVm).toEqual(atOnce.spansByVm);
        },
      ),
      RUNS,
    );
  });

  // Guards against counting requests twice if two machines whose clocks differ
  // by 7 min save reports of one VM: buckets matched by wall-clock time would
  // not coincide.
  test("counts each request once if the clocks of the machines differ", async () => {
    const vm = ExampleVm.create({ vm: "a", incarnation: "a1", seed: 5 });
    await vm.runMinutes(33);
    const early = collectSample([vm], 40 * MINUTE_MS);
    await vm.runMinutes(31);
    const late = collectSample([vm], 64 * MINUTE_MS);
    const fold = mergeSamples([early, late]);
    expect(countAll(fold, DAY_MS)).toEqual(countServed([vm]));
    expect(countAll(fold, HOUR_MS))
      .toEqual(countAll(mergeSamples([late]), HOUR_MS));
  });

  // Guards against losing requests that an older report still has: a VM keeps
  // figures for three days, so its newest report lacks those of last week.
  test("keeps figures that the VM has dropped since an older sample", async () => {
    const vm = ExampleVm.create({ vm: "a", incarnation: "a1", seed: 6 });
    await vm.runMinutes(60);
    const early = collectSample([vm], HOUR_MS);
    await vm.clock.run(4 * DAY_MS);
    await vm.runMinutes(60);
    const late = collectSample([vm], 2 * HOUR_MS + 4 * DAY_MS);
    const fold = mergeSamples([late, early]);
    expect(countAll(fold, 30 * DAY_MS)).toEqual(countServed([vm]));
    const coveredMs = computeCoveredMs(fold.spansByVm.get("a")!, 30 * DAY_MS);
    expect(coveredMs).toBeLessThanOrEqual(3 * DAY_MS + HOUR_MS);
    expect(coveredMs).toBeGreaterThan(3 * DAY_MS);
  });
});

describe("mergeSamples with logs", () => {
  function toLogged(
    vm: ExampleVm,
    startedMs: number,
  ): LogRequest[] {
    return vm.served.map((request) => ({
      requestId: request.requestId,
      vm: vm.vm,
      incarnation: vm.incarnation,
      atMs: EPOCH_MS + startedMs + request.endedMs,
      workspace: request.workspace,
      className: request.className,
      result: request.result,
      step: request.step,
      pool: request.pool ?? "",
      upstream: request.upstream ?? "",
      totalMs: request.totalMs,
      tokens: request.tokens,
      wastedTokens: request.wastedTokens,
      line: request.requestId,
    }));
  }

  test("adds requests from logs that no report covers, each line once", async () => {
    const removed = ExampleVm.create({ vm: "b", incarnation: "b1", seed: 2 });
    const lasting = ExampleVm.create({ vm: "a", incarnation: "a1", seed: 1 });
    for (const vm of [removed, lasting]) await vm.runMinutes(45);
    const logged = [removed, lasting].flatMap((vm) => toLogged(vm, 0));
    const sample = collectSample([lasting], 45 * MINUTE_MS);
    const fold = mergeSamples([sample], [...logged, ...logged]);
    expect(countAll(fold, DAY_MS)).toEqual(countServed([removed, lasting]));
    expect(fold.logRequests).toBe(removed.served.length);
    expect(fold.coveredLogRequests).toBe(lasting.served.length);
    expect(mergeSamples([sample], logged.toReversed()))
      .toEqual(mergeSamples([sample], logged));
  });

  test("uses the newest of two lines of one request, in any order", () => {
    const vm = ExampleVm.create({ vm: "a", incarnation: "a1", seed: 1 });
    const line = {
      requestId: "r-1",
      vm: vm.vm,
      incarnation: vm.incarnation,
      atMs: EPOCH_MS,
      workspace: "north",
      className: "chat",
      result: "lost" as const,
      step: "sent",
      pool: "",
      upstream: "",
      totalMs: 1,
      tokens: 0,
      wastedTokens: 0,
      line: "early",
    };
    const newer = { ...line, atMs: EPOCH_MS + 1, result: "met" as const };
    for (const logged of [[line, newer], [newer, line]]) {
      expect(countAll(mergeSamples([], logged), DAY_MS))
        .toEqual({ ...createCounts(), met: 1 });
    }
  });

  test("adds requests from logs after the last report", async () => {
    const vm = ExampleVm.create({ vm: "a", incarnation: "a1", seed: 1 });
    await vm.runMinutes(30);
    const sample = collectSample([vm], 30 * MINUTE_MS);
    const before = vm.served.length;
    await vm.runMinutes(15);
    const fold = mergeSamples([sample], toLogged(vm, 0));
    expect(countAll(fold, DAY_MS)).toEqual(countServed([vm]));
    expect(fold.logRequests).toBe(vm.served.length - before);
  });
});
