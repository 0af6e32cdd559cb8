import type { ServerResponse } from "node:http";
import { afterEach, describe, expect, test } from "vitest";
import { flushTasks } from "../../standin/virtual_clock.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { FakeVm, sendJson } from "./fake_vm.ts";
import { runCommand } from "./recording_terminal.ts";

const started: FakeVm[] = [];

afterEach(async () => {
  for (const vm of started.splice(0)) await vm.stop();
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

  test("reports the results of each class", async () => {
    const vm = await startCallers();
    const run = await runCommand([
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

  /** Destroys the response after all arrivals: about 40, one per loop turn. */
  async function destroyLater(response: ServerResponse): Promise<void> {
    for (let turn = 0; turn < 1_000; turn++) await flushTasks();
    response.destroy();
  }

  test("limits the number of concurrent requests", async () => {
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
    const run = await runCommand([
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
    const run = await runCommand([
      "load",
      ...["--callers-url", "http://127.0.0.1", "--key", "k", "--model", "m"],
      ...["--class", "chat", `--${option}=${value}`],
    ]);
    expect(run.error).toContain(`--${option} must be a number`);
    expect(run.exitCode).toBe(2);
  });
});
