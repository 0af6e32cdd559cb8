import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { toId } from "../../src/ids.ts";
import { BurnRecorder } from "../../src/process/burn_recorder.ts";
import {
  type BurnCounts,
  type BurnResult,
  type BurnSeries,
  COARSE_BUCKET_MS,
  countWindow,
  createCounts,
  createSeries,
  FINE_BUCKET_MS,
  mergeSeries,
  parseSeries,
  RESULTS,
} from "../../src/process/burn_stats.ts";
import { LatencyHistogram } from "../../src/process/latency_histogram.ts";
import { ProcessMetrics } from "../../src/process/request_metrics.ts";
import type { FinishedRequest } from "../../src/process/services.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

function buildFinished(
  change: Partial<FinishedRequest> = {},
): FinishedRequest {
  return {
    requestId: toId("r-1"),
    workspace: toId("clinic"),
    className: toId("chat"),
    pool: toId("small"),
    upstream: toId("engine-1"),
    result: "met",
    step: "answered",
    firstTokenMs: 100,
    betweenTokensMs: 20,
    totalMs: 1_000,
    tokens: 50,
    wastedTokens: 0,
    ...change,
  };
}

function findEntry(series: BurnSeries, workspace = "clinic") {
  return series.entries.find((entry) => entry.workspace === workspace)!;
}

describe("BurnRecorder", () => {
  test("counts each window as a list of all requests does", async () => {
    const arrival = fc.record({
      gapMs: fc.constantFrom(0, 400, 9_999, 10_000, 60_000, 3_600_000),
      result: fc.constantFrom(...RESULTS),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(arrival, { maxLength: 60 }),
        async (arrivals) => {
          const clock = VirtualClock.create();
          const recorder = BurnRecorder.create(clock);
          const naive: { at: number; result: BurnResult }[] = [];
          for (const { gapMs, result } of arrivals) {
            await clock.run(gapMs);
            recorder.record(buildFinished({ result }));
            naive.push({ at: clock.now(), result });
          }
          const entry = findEntry(recorder.collect());
          if (entry === undefined) return;
          for (
            const windowMs of [MINUTE_MS, HOUR_MS, 6 * HOUR_MS, 2 * DAY_MS]
          ) {
            const width = windowMs <= HOUR_MS
              ? FINE_BUCKET_MS
              : COARSE_BUCKET_MS;
            const now = Math.floor(clock.now() / width) * width;
            const expected: BurnCounts = createCounts();
            for (const { at, result } of naive) {
              const bucketAge = now - Math.floor(at / width) * width;
              if (bucketAge < windowMs) expected[result]++;
            }
            expect(countWindow(entry, windowMs)).toEqual(expected);
          }
        },
      ),
      { seed: 3, numRuns: 200 },
    );
  });

  test("drops counts older than three days", async () => {
    const clock = VirtualClock.create();
    const recorder = BurnRecorder.create(clock);
    recorder.record(buildFinished({ result: "lost" }));
    await clock.run(3 * DAY_MS + COARSE_BUCKET_MS);
    recorder.record(buildFinished());
    const series = recorder.collect();
    expect(countWindow(findEntry(series), 4 * DAY_MS))
      .toEqual({ ...createCounts(), met: 1 });
    expect(series.reachMs).toBeLessThanOrEqual(3 * DAY_MS);
  });

  test("lists causes by recent frequency, with the newest examples", async () => {
    const clock = VirtualClock.create();
    const recorder = BurnRecorder.create(clock);
    for (let index = 0; index < 5; index++) {
      recorder.record(buildFinished({
        requestId: toId(`late-${index}`),
        result: "late",
        step: "queued",
      }));
    }
    await clock.run(2 * HOUR_MS);
    recorder.record(buildFinished({
      requestId: toId("refused-1"),
      result: "refused",
      step: "acquire",
    }));
    const [worst, older] = findEntry(recorder.collect()).causes;
    expect(worst).toMatchObject({
      result: "refused",
      step: "acquire",
      lastHour: 1,
      total: 1,
      examples: ["refused-1"],
    });
    expect(older).toMatchObject({
      step: "queued",
      upstream: "engine-1",
      lastHour: 0,
      total: 5,
      examples: ["late-4", "late-3", "late-2"],
    });
  });

  test("combines causes beyond the limit under one name", () => {
    const recorder = BurnRecorder.create(VirtualClock.create());
    for (let index = 0; index < 100; index++) {
      recorder.record(
        buildFinished({ result: "lost", step: `step-${index}` }),
      );
    }
    const { causes } = findEntry(recorder.collect());
    expect(causes.length).toBeLessThan(40);
    expect(causes.reduce((sum, cause) => sum + cause.total, 0)).toBe(100);
  });

  // Each class of each workspace adds a count to every time slot in which it is
  // used. Without a limit, a VM that serves many workspaces for days runs out
  // of memory.
  test("drops its oldest buckets when it stores too many counts", async () => {
    const clock = VirtualClock.create();
    const recorder = BurnRecorder.create(clock);
    const workspaces = 900;
    const slots = 130;
    for (let slot = 0; slot < slots; slot++) {
      await clock.run(COARSE_BUCKET_MS);
      for (let index = 0; index < workspaces; index++) {
        recorder.record(buildFinished({ workspace: toId(`w-${index}`) }));
      }
    }
    const series = recorder.collect();
    const storedCount = series.entries.reduce(
      (sum, { fine, coarse }) => sum + fine.ago.length + coarse.ago.length,
      0,
    );
    expect(storedCount).toBeLessThanOrEqual(100_000);
    expect(storedCount).toBeGreaterThan(90_000);
    expect(series.reachMs).toBeLessThan(series.gatheredMs);
    expect(countWindow(findEntry(series, "w-0"), HOUR_MS).met).toBe(12);
  });
});

describe("mergeSeries", () => {
  test("merges two VMs to the statistics of one that served all requests", async () => {
    const clock = VirtualClock.create();
    const parts = [BurnRecorder.create(clock), BurnRecorder.create(clock)];
    const combined = BurnRecorder.create(clock);
    for (let index = 0; index < 200; index++) {
      await clock.run(7_000);
      const request = buildFinished({
        workspace: toId(index % 3 === 0 ? "clinic" : "office"),
        result: RESULTS[index % RESULTS.length]!,
        step: `step-${index % 4}`,
        firstTokenMs: index * 3,
      });
      parts[index % 2]!.record(request);
      combined.record(request);
    }
    const merged = mergeSeries(parts.map((part) => part.collect()));
    const single = mergeSeries([combined.collect()]);
    const sums = (series: BurnSeries) =>
      series.entries.map((entry) => ({
        fine: entry.fine,
        coarse: entry.coarse,
        tokens: entry.tokens,
        p90: LatencyHistogram.decode(entry.firstToken).getPercentile(90),
        causes: entry.causes.map(({ examples: _, ...cause }) =>
          JSON.stringify(cause)
        ).sort(),
      }));
    expect(sums(merged)).toEqual(sums(single));
    expect(merged.entries).toHaveLength(2);
  });

  test("returns empty statistics for no VMs", () => {
    expect(mergeSeries([])).toEqual(createSeries());
  });
});

describe("parseSeries", () => {
  test("parses a recorder's statistics after a JSON round trip", () => {
    const recorder = BurnRecorder.create(VirtualClock.create());
    recorder.record(buildFinished());
    const series = recorder.collect();
    expect(parseSeries(JSON.parse(JSON.stringify(series)))).toEqual(series);
  });

  test("rejects any other format", () => {
    const recorder = BurnRecorder.create(VirtualClock.create());
    recorder.record(buildFinished());
    const series = recorder.collect();
    expect(parseSeries(undefined)).toBeUndefined();
    expect(parseSeries({ ...series, formatVersion: 2 })).toBeUndefined();
    series.entries[0]!.fine.met.push(1);
    expect(parseSeries(series)).toBeUndefined();
  });
});

describe("ProcessMetrics", () => {
  test("renders counters and quantiles in the Prometheus format", async () => {
    const metrics = ProcessMetrics.create(VirtualClock.create());
    metrics.noteFinished(buildFinished());
    metrics.noteFinished(
      buildFinished({
        result: "late",
        step: "queued",
        wastedTokens: 7,
        totalMs: 3_000,
      }),
    );
    metrics.noteRefused(toId("chat"), "version_gone");
    metrics.noteTruncated(toId("chat"));
    metrics.noteStep(toId("chat"), "queued", 250);
    metrics.addGauge("in_flight", { help: "Requests now", read: () => 4 });
    const lines = (await metrics.renderPrometheus()).split("\n");
    for (
      const line of [
        'persimmonslip_requests_total{class="chat",result="met",step=""} 1',
        'persimmonslip_requests_total{class="chat",result="late",step="queued"} 1',
        'persimmonslip_tokens_total{class="chat"} 100',
        'persimmonslip_wasted_tokens_total{class="chat"} 7',
        'persimmonslip_step_seconds_sum{class="chat",step="total"} 4',
        'persimmonslip_step_seconds_count{class="chat",step="total"} 2',
        'persimmonslip_refusals_total{class="chat",code="version_gone"} 1',
        'persimmonslip_truncated_answers_total{class="chat"} 1',
        "persimmonslip_in_flight 4",
      ]
    ) expect(lines).toContain(line);
    const quantile = lines.find((line) =>
      line.startsWith(
        'persimmonslip_step_seconds{class="chat",step="queued",quantile="0.5"}',
      )
    );
    expect(Number(quantile?.split(" ")[1])).toBeCloseTo(0.25, 2);
  });

  test("renders the same counts on each read", async () => {
    const metrics = ProcessMetrics.create(VirtualClock.create());
    metrics.noteFinished(buildFinished());
    const first = await metrics.renderPrometheus();
    expect(await metrics.renderPrometheus()).toBe(first);
  });

  test("computes quantiles over recent durations only", async () => {
    const clock = VirtualClock.create();
    const metrics = ProcessMetrics.create(clock);
    metrics.noteStep(toId("chat"), "queued", 9_000);
    await clock.run(11 * MINUTE_MS);
    metrics.noteStep(toId("chat"), "queued", 10);
    const text = await metrics.renderPrometheus();
    const worst = /step="queued",quantile="0.999"} (\S+)/.exec(text);
    expect(Number(worst?.[1])).toBeLessThan(0.011);
    expect(text).toContain(
      'persimmonslip_step_seconds_count{class="chat",step="queued"} 2',
    );
  });
});

test("a histogram stores durations with an error of at most one per cent", () => {
  fc.assert(
    fc.property(fc.double({ min: 0.1, max: 1e7, noNaN: true }), (ms) => {
      const histogram = LatencyHistogram.create();
      histogram.record(ms);
      const read = LatencyHistogram.decode(histogram.encode());
      expect(read.count).toBe(1);
      expect(Math.abs(read.getPercentile(50) - ms) / ms).toBeLessThan(0.011);
    }),
    { seed: 5, numRuns: 500 },
  );
});
