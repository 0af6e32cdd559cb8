import { describe, expect, test } from "vitest";
import {
  buildNaiveRouter,
  type BuildRouter,
  buildRuntimeRouter,
  runScenario,
} from "../../bench/run_scenario.ts";
import type { RunFigures } from "../../bench/figures.ts";
import { computeLongestStall } from "../../bench/oracle.ts";
import type { RequestTrace } from "../../bench/support/caller_result.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import { CallerSink } from "../../src/request/caller_sink.ts";
import type { BenchRouter } from "../../bench/support/bench_router.ts";

const DURATION_MS = 3_000;

function runShort(
  scenario: string,
  buildRouter: BuildRouter,
): Promise<RunFigures> {
  return runScenario({
    scenario,
    user: "kontrola_sever",
    seed: 5,
    router: "tested",
    buildRouter,
    durationMs: DURATION_MS,
  });
}

/** A sink that changes the answer, to simulate a faulty router. */
class ChangedSink extends CallerSink {
  readonly #sink: CallerSink;
  readonly #change: (text: string) => string;

  constructor(sink: CallerSink, change: (text: string) => string) {
    super();
    this.#sink = sink;
    this.#change = change;
  }

  override get signal(): AbortSignal {
    return this.#sink.signal;
  }

  override get headWritten(): boolean {
    return this.#sink.headWritten;
  }

  override writeHead(status: number, headers: Record<string, string>): void {
    this.#sink.writeHead(status, headers);
  }

  override write(bytes: Uint8Array): Promise<void> {
    const text = this.#change(new TextDecoder().decode(bytes));
    return this.#sink.write(Buffer.from(text));
  }

  override end(): Promise<void> {
    return this.#sink.end();
  }

  override destroy(): void {
    this.#sink.destroy();
  }
}

/** Builds a sink for `sink`'s request that discards the answer. */
function buildSilentSink(sink: CallerSink): CallerSink {
  const silent = new ChangedSink(sink, () => "");
  silent.writeHead = () => {};
  silent.end = () => Promise.resolve();
  return silent;
}

/** Builds the naive router with `wrap` around the handling of each request. */
function buildBroken(
  wrap: (
    router: BenchRouter,
    call: [vm: Parameters<BenchRouter["handle"]>[0], CallerRequest, CallerSink],
  ) => Promise<void>,
): BuildRouter {
  return (parts) => {
    const router = buildNaiveRouter(parts);
    const handle = router.handle.bind(router);
    const inner = { handle } as BenchRouter;
    router.handle = (vm, request, sink) => wrap(inner, [vm, request, sink]);
    return router;
  };
}

describe("runScenario", () => {
  test("the same seed gives the same figures", async () => {
    const first = await runShort("mixed", buildRuntimeRouter());
    const second = await runShort("mixed", buildRuntimeRouter());
    expect(second).toEqual(first);
    expect(first.broken).toEqual({});
    expect(first.classes["chat"]!.offered).toBeGreaterThan(10);
  });
});

describe("the oracle detects", () => {
  test("an answer with a changed byte", async () => {
    const figures = await runShort(
      "unloaded",
      buildBroken((router, [vm, request, sink]) => {
        const change = (text: string) => text.replace("true", "frue");
        return router.handle(vm, request, new ChangedSink(sink, change));
      }),
    );
    expect(figures.broken["wrong_answer"]).toBeGreaterThan(0);
  });

  test("a non-idempotent call that is executed twice", async () => {
    const figures = await runShort(
      "unloaded",
      buildBroken(async (router, [vm, request, sink]) => {
        await router.handle(vm, request, buildSilentSink(sink));
        await router.handle(vm, request, sink);
      }),
    );
    expect(figures.broken["doubled"]).toBeGreaterThan(0);
  });

  test("a request that ran but is reported as not run", async () => {
    const figures = await runShort(
      "unloaded",
      buildBroken(async (router, [vm, request, sink]) => {
        await router.handle(vm, request, buildSilentSink(sink));
        sink.writeHead(503, {});
        const error = { code: "shed", outcome: "not_run" };
        await sink.write(Buffer.from(JSON.stringify({ error })));
        await sink.end();
      }),
    );
    expect(figures.broken["false_not_run"]).toBeGreaterThan(0);
  });
});

describe("computeLongestStall", () => {
  test("measures from the last progress while requests wait", () => {
    const traces = [[0, 1], [10, 2], [20, 3]].map(([at, tag]) => ({
      request: { className: "chat", at, tag },
      view: { endedAt: 1_000 },
    })) as unknown as RequestTrace[];
    const attempts = [[1, 100], [2, 150], [3, 450]].map(([tag, at]) => ({
      tag,
      at,
    })) as never;
    const stall = computeLongestStall({ traces, attempts }, "chat");
    expect(stall).toEqual({ ms: 300, tag: 3 });
  });
});
