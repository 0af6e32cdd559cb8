import { describe, expect, it, onTestFinished } from "vitest";
import { HttpUpstreamTransport } from "../../src/connection/http_transport.ts";
import { parseEvents } from "../../src/connection/sse_frames.ts";
import { type RequestId, toId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import { EngineAnswer, EngineServer } from "../../standin/index.ts";
import { buildRequest, type FakeSink } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";

const PROMPT = "[[tokens=40]] Escriba la carta";
const LOOPBACK = "127.0.0.1";

/** Starts a VM and two engines over HTTP; the first engine is chosen first. */
async function startVm(): Promise<{ vm: RequestVm; engines: EngineServer[] }> {
  const engines = [EngineServer.create(), EngineServer.create()];
  const ports = new Map<string, number>();
  for (const [index, engine] of engines.entries()) {
    ports.set(`u${index + 1}`, await engine.start());
    onTestFinished(() => engine.stop());
  }
  const clock = SystemClock.create();
  const transport = HttpUpstreamTransport.create({
    clock,
    log: SilentLog.create(),
    findAddress: (name) => {
      const port = ports.get(name);
      return port === undefined ? undefined : { address: LOOPBACK, port };
    },
  });
  onTestFinished(() => transport.close());
  const upstreams = [...ports.keys()];
  return { vm: new RequestVm(clock, { transport, upstreams }), engines };
}

async function run(vm: RequestVm, body: unknown): Promise<FakeSink> {
  const arrivedAt = vm.clock.now();
  const { sink, done } = vm.send(
    buildRequest("POST", "/v1/completions", { body, arrivedAt }),
  );
  await done;
  return sink;
}

function readText(sink: FakeSink): string {
  return parseEvents(Buffer.from(sink.text))
    .filter((event) => event.data !== "[DONE]")
    .map((event) => JSON.parse(event.data).choices[0]?.text ?? "")
    .join("");
}

describe("requests to stand-in engines over HTTP", () => {
  const body = { model: "m1", prompt: PROMPT, stream: true };
  const answer = EngineAnswer.create({
    model: "m1",
    prompt: PROMPT,
    maxTokens: 200,
  });

  // Guards against missing, repeated or garbled text: an engine crashes after
  // 12 tokens and another resumes. Either bytes of a partial event are
  // forwarded, or the stream resumes at the wrong token.
  it("streams one complete answer across the crash of an engine", async () => {
    const { vm, engines } = await startVm();
    engines[0]!.core.setCrashAfter(12);
    const options = { stream_options: { include_usage: true } };
    const sink = await run(vm, { ...body, ...options });
    expect(sink.isWhole).toBe(true);
    expect(readText(sink)).toBe(answer.getText());
    expect(sink.text.split("[DONE]")).toHaveLength(2);
    expect(sink.text).toContain('"completion_tokens":40');
    const id = sink.headers["x-request-id"]!;
    const resumed = engines[1]!.core.listRuns(id)[0]!;
    expect(resumed.resumedFrom).toBeGreaterThan(0);
    expect(resumed.tokens).toBe(40 - resumed.resumedFrom);
    expect(vm.requestStatuses.find(toId<RequestId>(id))).toMatchObject({
      outcome: "answered",
      tokens: 40,
    });
  });

  it("answers buffered completions, also after an engine did not start", async () => {
    const { vm, engines } = await startVm();
    engines[0]!.core.refuseNextRequests(1);
    const sink = await run(vm, { ...body, stream: false });
    expect(sink.json.choices[0].text).toBe(answer.getText());
    expect(sink.json.id).toBe(sink.headers["x-request-id"]);
    expect(engines[0]!.core.counts.accepted).toBe(0);
  });

  it("cancels the run at the engine when the caller disconnects", async () => {
    const { vm, engines } = await startVm();
    const { sink, done } = vm.send(
      buildRequest("POST", "/v1/completions", {
        body: { ...body, prompt: "[[tokens=150]] x" },
        arrivedAt: vm.clock.now(),
      }),
    );
    sink.onWrite = () => {
      sink.controller.abort();
      return Promise.resolve();
    };
    await done;
    const { core } = engines[0]!;
    while (core.counts.cancelled === 0) await vm.clock.sleep(2);
    expect(core.running).toBe(0);
    expect(engines[1]!.core.counts.accepted).toBe(0);
  });
});
