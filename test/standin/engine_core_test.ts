/**
 * Tests of the stand-in engine in virtual time.
 *
 * @module
 */
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/process/random.ts";
import { EngineAnswer } from "../../standin/engine_answer.ts";
import { EngineCore } from "../../standin/engine_core.ts";
import type { EngineOptions } from "../../standin/engine_options.ts";
import type { EngineRequest, EngineRun } from "../../standin/engine_run.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

const SEED = 7;

interface Received {
  text: string;
  end: string | undefined;
  endedAt: number;
  run: EngineRun;
}

function createEngine(options: Partial<EngineOptions> = {}) {
  const clock = VirtualClock.create();
  const engine = EngineCore.create(clock, SeededRandom.create(SEED), options);
  return { clock, engine };
}

function buildRequest(change: Partial<EngineRequest> = {}): EngineRequest {
  return {
    requestId: "r1",
    model: "m",
    prompt: "Adapt this [[tokens=20]]",
    maxTokens: 1000,
    priority: 1,
    prefixes: [],
    resumeTokens: 0,
    resumeText: "",
    ...change,
  };
}

function startRun(
  { clock, engine }: { clock: VirtualClock; engine: EngineCore },
  change: Partial<EngineRequest> = {},
): Received {
  const received = {
    text: "",
    end: undefined as string | undefined,
    endedAt: 0,
  };
  const answer = engine.startRun(buildRequest(change), {
    onToken: (_index, text) => {
      received.text += text;
    },
    onEnd: (end) => {
      received.end = end;
      received.endedAt = clock.now();
    },
  });
  if (answer.kind !== "accepted") throw new Error(answer.kind);
  return Object.assign(received, { run: answer.run });
}

describe("EngineCore", () => {
  it("generates the same answer for a prompt, of the requested length", async () => {
    const setup = createEngine();
    const received = startRun(setup);
    await setup.clock.run(10_000);
    expect(received.end).toBe("stop");
    expect(received.run.record.tokens).toBe(20);
    expect(received.text).toBe(EngineAnswer.create(buildRequest()).getText());
    const other = EngineAnswer.create(buildRequest({ prompt: "Other" }));
    expect(other.getText()).not.toBe(received.text);
  });

  it("ends an answer at maxTokens", async () => {
    const setup = createEngine();
    const received = startRun(setup, { maxTokens: 5 });
    await setup.clock.run(10_000);
    expect([received.end, received.run.record.tokens]).toEqual(["length", 5]);
  });

  it("is slower with a larger batch or speed factor", async () => {
    const measure = async (count: number, speedFactor: number) => {
      const setup = createEngine({ speedFactor });
      const all = Array.from(
        { length: count },
        (_, index) => startRun(setup, { requestId: `r${index}` }),
      );
      await setup.clock.run(60_000);
      return all[0]!.endedAt;
    };
    const alone = await measure(1, 1);
    expect(await measure(16, 1)).toBeGreaterThan(1.5 * alone);
    expect(await measure(1, 3)).toBeCloseTo(3 * alone);
  });

  it("runs at most maxBatch requests, by priority", async () => {
    const setup = createEngine({ maxBatch: 1 });
    const first = startRun(setup, { requestId: "first" });
    const low = startRun(setup, { requestId: "low", priority: 5 });
    const high = startRun(setup, { requestId: "high", priority: 0 });
    expect([setup.engine.running, setup.engine.waiting]).toEqual([1, 2]);
    await setup.clock.run(60_000);
    expect(first.endedAt).toBeLessThan(high.endedAt);
    expect(high.endedAt).toBeLessThan(low.endedAt);
  });

  it("skips the prefill of cached prefixes and evicts the least recently used", async () => {
    const setup = createEngine({
      cachedPrefixes: 2,
      tokensPerPrefix: 100,
      cacheEventGapShare: 0,
    });
    const prompt = "x".repeat(800) + "[[tokens=1]]";
    const prefixes = ["a", "b"];
    startRun(setup, { prompt, prefixes });
    await setup.clock.run(1_000);
    const again = startRun(setup, { prompt, prefixes });
    await setup.clock.run(1_000);
    expect(again.run.record.cachedTokens).toBe(200);
    startRun(setup, { prompt, prefixes: ["c"] });
    await setup.clock.run(1_000);
    expect(setup.engine.listCached(["a", "b", "c"])).toEqual(["b", "c"]);
    const changes = setup.engine.listCacheEvents(2)
      .map((event) => `${event.sequence} ${event.change} ${event.prefix}`);
    expect(changes).toEqual(["3 stored c", "4 evicted a"]);
  });

  it("publishes cache events with a delay and loses some", async () => {
    const setup = createEngine({
      cacheEventDelayMs: 300,
      cacheEventGapShare: 0.5,
    });
    const prefixes = Array.from({ length: 40 }, (_, index) => `p${index}`);
    setup.engine.addCached(prefixes);
    await setup.clock.run(299);
    expect(setup.engine.listCacheEvents(0)).toEqual([]);
    await setup.clock.run(1);
    const count = setup.engine.listCacheEvents(0).length;
    expect(count).toBeGreaterThan(0);
    expect(count).toBeLessThan(40);
  });

  it("resumes an answer with identical bytes", async () => {
    const setup = createEngine();
    const complete = EngineAnswer.create(buildRequest());
    const resumeText = complete.getText(0, 7);
    const rest = startRun(setup, { resumeTokens: 7, resumeText });
    await setup.clock.run(10_000);
    expect(resumeText + rest.text).toBe(complete.getText());
    expect(rest.run.record.tokens).toBe(13);
    const wrong = setup.engine.startRun(
      buildRequest({ resumeTokens: 7, resumeText: "other" }),
      { onToken: () => {}, onEnd: () => {} },
    );
    expect(wrong.kind).toBe("bad_request");
  });

  it("stops the work of a cancelled run", async () => {
    const setup = createEngine();
    const received = startRun(setup);
    await setup.clock.run(50);
    received.run.cancel();
    const tokens = received.run.record.tokens;
    await setup.clock.run(10_000);
    expect(tokens).toBeGreaterThan(0);
    expect(tokens).toBeLessThan(20);
    expect(received.run.record.tokens).toBe(tokens);
    expect(setup.engine.counts).toMatchObject({ cancelled: 1, answered: 0 });
  });

  it("requeues the last run when memory is exhausted, and completes it later", async () => {
    const setup = createEngine({ memoryTokens: 45 });
    const first = startRun(setup, { requestId: "first" });
    const second = startRun(setup, { requestId: "second" });
    await setup.clock.run(60_000);
    expect(setup.engine.counts.putBack).toBeGreaterThan(0);
    expect([first.end, second.end]).toEqual(["stop", "stop"]);
    expect(second.text).toBe(first.text);
  });

  it("reports its load with a delay", async () => {
    const setup = createEngine({ loadLagMs: 500 });
    await setup.clock.run(1_000);
    startRun(setup, { prompt: "[[tokens=1000]]" });
    await setup.clock.run(499);
    expect(setup.engine.getLoad()).toMatchObject({ running: 0, ageMs: 500 });
    await setup.clock.run(2);
    expect(setup.engine.getLoad()).toMatchObject({ running: 1, ageMs: 500 });
  });

  it("refuses an outdated fencing number only if it checks them", () => {
    const command = {
      action: "role" as const,
      model: "",
      version: "",
      adapter: undefined,
      role: "decode",
      fencing: 5,
    };
    const old = { ...command, role: "prefill", fencing: 4 };
    for (const fencing of ["checked", "ignored"] as const) {
      const { engine } = createEngine({ fencing, loadLagMs: 0 });
      expect(engine.applyCommand(command)).toBe(true);
      expect(engine.applyCommand(command)).toBe(true);
      expect(engine.applyCommand(old)).toBe(fencing === "ignored");
      const role = fencing === "checked" ? "decode" : "prefill";
      expect(engine.getLoad().role).toBe(role);
    }
  });

  it("loads a model after loadModelMs and unloads it at once", async () => {
    const setup = createEngine({ models: [], loadModelMs: 100 });
    const command = {
      action: "load" as const,
      model: "m",
      version: "2",
      adapter: "a",
      role: undefined,
      fencing: 1,
    };
    const listener = { onToken: () => {}, onEnd: () => {} };
    const startOne = () => setup.engine.startRun(buildRequest(), listener).kind;
    setup.engine.applyCommand(command);
    expect(startOne()).toBe("not_started");
    await setup.clock.run(100);
    expect(startOne()).toBe("accepted");
    setup.engine.applyCommand({
      ...command,
      action: "unload",
      adapter: undefined,
    });
    expect(startOne()).toBe("not_started");
  });

  it("crashes after a number of tokens, stalls, and stops answering", async () => {
    const setup = createEngine();
    setup.engine.setCrashAfter(3);
    const crashed = startRun(setup);
    await setup.clock.run(1_000);
    expect(crashed.run.record).toMatchObject({ tokens: 3, end: "crashed" });
    setup.engine.restart();
    const stalled = startRun(setup);
    setup.engine.setStall(2_000);
    await setup.clock.run(1_999);
    expect(stalled.text).toBe("");
    await setup.clock.run(2_000);
    expect(stalled.end).toBe("stop");
    const silent = startRun(setup);
    setup.engine.silenceRunningRequests();
    const later = startRun(setup);
    await setup.clock.run(2_000);
    expect([silent.text, silent.end]).toEqual(["", undefined]);
    expect(later.end).toBe("stop");
    expect(setup.engine.countRuns("r1")).toBe(4);
  });
});
