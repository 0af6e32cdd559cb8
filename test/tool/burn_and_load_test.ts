import type { ServerResponse } from "node:http";
import { afterEach, describe, expect, test } from "vitest";
import { flushTasks, VirtualClock } from "../../standin/virtual_clock.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { toId } from "../../src/ids.ts";
import { BurnRecorder } from "../../src/process/burn_recorder.ts";
import type { FinishedRequest } from "../../src/process/services.ts";
import { FakeVm, sendJson } from "./fake_vm.ts";
import { runWords } from "./recording_terminal.ts";

const started: FakeVm[] = [];

afterEach(async () => {
  for (const vm of started.splice(0)) await vm.stop();
});

function buildFinished(result: FinishedRequest["result"]): FinishedRequest {
  return {
    requestId: toId("r-1"),
    workspace: toId("booking-web"),
    className: toId("chat"),
    pool: toId("assist"),
    upstream: toId("engine-1"),
    result,
    step: "queued",
    firstTokenMs: 10,
    betweenTokensMs: 10,
    totalMs: 100,
    tokens: 5,
    wastedTokens: 0,
  };
}

async function startBurn(extra: object): Promise<string[]> {
  const recorder = BurnRecorder.create(VirtualClock.create());
  for (let index = 0; index < 90; index++) {
    recorder.record(buildFinished("met"));
  }
  for (let index = 0; index < 10; index++) {
    recorder.record(buildFinished("late"));
  }
  recorder.record(buildFinished("cancelled"));
  const vm = await FakeVm.startFixed({
    "/v1/burn": {
      vms: [{ vm: "entry-1", up_ms: 5 }],
      missing: [{ vm: "entry-2", why: "Timed out" }],
      series: recorder.collect(),
      ...extra,
    },
  });
  started.push(vm);
  return ["burn", "--url", vm.url, "--token", "t"];
}

describe("burn", () => {
  test("shows missed shares, burn rates, causes and missing VMs", async () => {
    const words = await startBurn({
      objectives: [
        { class: "chat", objective: 0.5, workspaces: { "booking-web": 0.95 } },
      ],
    });
    const { output, exitCode } = await runWords(words);
    expect(output).toContain("Not reached: entry-2: Timed out");
    expect(output).toMatch(
      /^booking-web +chat +95\.0%( +10\.0%){4}( +2\.0){4}$/m,
    );
    expect(output).toMatch(
      /^booking-web +chat +late +queued +assist +engine-1 +10 +r-1$/m,
    );
    expect(exitCode).toBe(0);
  });

  test("takes objectives from records where the VM sends none", async () => {
    const words = await startBurn({});
    const without = JSON.parse((await runWords([...words, "--json"])).output);
    expect(without.entries[0].objective).toBeNull();
    expect(without.entries[0].windows[0]).toMatchObject({
      counts: { met: 90, late: 10, cancelled: 1 },
      missed_share: 0.1,
      burn_rate: null,
    });
    const records = ["--records", "examples/kontrola_sever"];
    const run = await runWords([...words, ...records, "--json"]);
    expect(JSON.parse(run.output).entries[0].objective).toBe(0.95);
  });

  test("refuses figures of another release", async () => {
    const words = await startBurn({ series: { formatVersion: 99 } });
    const run = await runWords(words);
    expect(run.error).toContain("figures of another form");
    expect(run.exitCode).toBe(4);
  });
});

function writeEvent(response: ServerResponse, data: unknown): void {
  response.write(`data: ${JSON.stringify(data)}\n\n`);
}

function writeTokens(response: ServerResponse, count: number): void {
  response.writeHead(200, { "content-type": "text/event-stream" });
  writeEvent(response, { choices: [{ delta: { role: "assistant" } }] });
  for (let index = 0; index < count; index++) {
    writeEvent(response, { choices: [{ delta: { content: "a" } }] });
  }
}

describe("load", () => {
  async function startCallers(): Promise<FakeVm> {
    const vm: FakeVm = await FakeVm.start((request, response) => {
      if (request.url === "/v1/entries") {
        const entry = { vm: "entry-1", data_centre: "dc-1" };
        const address = { address: "127.0.0.1", port: vm.port };
        const entries = [{ ...entry, ...address }];
        sendJson(response, 200, { entries, ttl_ms: 60_000 });
        return;
      }
      switch (request.headers["x-request-class"]) {
        case "good":
          writeTokens(response, 3);
          response.end("data: [DONE]\n\n");
          return;
        case "cut":
          writeTokens(response, 2);
          response.end();
          return;
        default:
          sendJson(response, 503, { error: { code: "queue_full" } });
      }
    });
    started.push(vm);
    return vm;
  }

  test("reports what became of each class's requests", async () => {
    const vm = await startCallers();
    const run = await runWords([
      "load",
      ...["--callers-url", vm.url, "--key", "k", "--model", "m", "--json"],
      ...["--class", "good", "cut", "refused"],
      ...["--rate", "300", "--seconds", "0.2"],
    ], { clock: SystemClock.create() });
    const [good, cut, refused] = JSON.parse(run.output).classes;
    const completions = vm.calls.filter((call) => call.includes("/v1/chat"));
    expect(completions.length).toBeGreaterThan(10);
    expect(completions[0]).toBe("POST /v1/chat/completions Bearer k");
    expect(good.sent + cut.sent + refused.sent).toBe(completions.length);
    expect(good).toMatchObject({ answered: good.sent, wasted_tokens: 0 });
    expect(good.total_ms.p99).toBeGreaterThan(0);
    expect(cut).toMatchObject({
      broken: cut.sent,
      wasted_tokens: 2 * cut.sent,
      causes: { "stream cut": cut.sent },
    });
    expect(refused).toMatchObject({
      refused: refused.sent,
      causes: { queue_full: refused.sent },
    });
    expect(run.exitCode).toBe(1);
  });

  /** Each arrival takes a turn of the event loop, and there are about 40. */
  async function destroyLater(response: ServerResponse): Promise<void> {
    for (let turn = 0; turn < 1_000; turn++) await flushTasks();
    response.destroy();
  }

  test("sends no more at once than it may", async () => {
    const held: ServerResponse[] = [];
    const vm: FakeVm = await FakeVm.start((request, response) => {
      if (request.url !== "/v1/entries") {
        held.push(response);
        void destroyLater(response);
        return;
      }
      const entry = { vm: "e", data_centre: "d", address: "127.0.0.1" };
      const entries = [{ ...entry, port: vm.port }];
      sendJson(response, 200, { entries, ttl_ms: 60_000 });
    });
    started.push(vm);
    const run = await runWords([
      "load",
      ...["--callers-url", vm.url, "--key", "k", "--model", "m", "--json"],
      ...["--class", "chat", "--rate", "200", "--seconds", "0.2"],
      ...["--concurrency", "4"],
    ]);
    const [chat] = JSON.parse(run.output).classes;
    expect(held).toHaveLength(4);
    expect(chat.sent).toBe(4);
    expect(chat.not_sent).toBeGreaterThan(5);
  });

  test.each([
    ["rate", "5000"],
    ["seconds", "0"],
    ["concurrency", "-1"],
  ])("refuses --%s %s", async (option, value) => {
    const run = await runWords([
      "load",
      ...["--callers-url", "http://127.0.0.1", "--key", "k", "--model", "m"],
      ...["--class", "chat", `--${option}=${value}`],
    ]);
    expect(run.error).toContain(`--${option} must be a number`);
    expect(run.exitCode).toBe(2);
  });
});
