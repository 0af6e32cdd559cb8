import { describe, expect, it } from "vitest";
import { toId } from "../../src/ids.ts";
import type { ModelName, RequestId } from "../../src/ids.ts";
import { RefusalError } from "../../src/outcome.ts";
import { parseRequestId } from "../../src/process/request_ids.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRequest } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";
import {
  answerJson,
  answerStream,
  buildEngineEvents,
  createError,
  type EngineFault,
} from "../support/scripted_engine.ts";

const STREAM_BODY = {
  model: "m1",
  stream: true,
  messages: [{ role: "user", content: "Hola" }],
};

function createVm(faults: EngineFault[] = []): RequestVm {
  const vm = new RequestVm(VirtualClock.create());
  vm.upstreams.answer = (call, engine) => {
    const fault = faults[engine] ?? {};
    return Promise.resolve().then(() => answerStream(call, { engine, fault }));
  };
  return vm;
}

function getExpected(requestId: string, body: unknown, engine = 0): string {
  return buildEngineEvents({
    headers: { "x-request-id": requestId },
    body: Buffer.from(JSON.stringify(body)),
  }, { engine }).join("");
}

async function runStream(
  vm: RequestVm,
  body: unknown = STREAM_BODY,
  headers: Record<string, string> = {},
) {
  const request = buildRequest("POST", "/v1/chat/completions", {
    body,
    headers,
  });
  const { sink, done } = vm.send(request);
  await done;
  return sink;
}

function listSteps(vm: RequestVm, requestId: string): string[] {
  const status = vm.requestStatuses.find(toId<RequestId>(requestId));
  return status!.steps.map((step) => step.step);
}

describe("a streamed completion", () => {
  it("forwards the engine's bytes and records every step", async () => {
    const vm = createVm();
    const sink = await runStream(vm);
    const id = sink.headers["x-request-id"]!;
    expect(sink.status).toBe(200);
    expect(sink.isWhole).toBe(true);
    expect(sink.text).toBe(getExpected(id, STREAM_BODY));
    expect(listSteps(vm, id)).toEqual([
      "arrived",
      "admitted",
      "granted",
      "sent",
      "first_token",
      "answered",
    ]);
    const call = vm.upstreams.calls[0]!;
    expect(call.headers["x-priority"]).toBe("7");
    expect(call.freshConnection).toBe(false);
    expect(vm.metrics.finished[0]).toMatchObject({
      result: "met",
      tokens: 7,
      wastedTokens: 0,
    });
    expect(vm.leases.leases[0]!.state).toBe("done");
    expect(vm.limits.settled).toHaveLength(1);
    const actual = vm.limits.settled[0]!.actual;
    expect(actual).toBe(7 + vm.leases.leases[0]!.request.promptTokens);
  });

  // Guards against a burn report without step and replica: a VM is replaced,
  // only its log is left, and the line of a finished request lacks these
  // fields.
  it("logs all fields that the burn report needs", async () => {
    const vm = createVm();
    const sink = await runStream(vm);
    const ran = parseRequestId(toId(sink.headers["x-request-id"]!))!;
    const line = vm.log.lines.find(({ event }) => event === "request_finished");
    expect(line?.fields).toMatchObject({
      vm: ran.vm,
      incarnation: ran.incarnation,
      step: vm.metrics.finished[0]!.step,
      pool: vm.metrics.finished[0]!.pool,
      upstream: vm.leases.leases[0]!.upstream,
    });
  });

  it("reports its progress to the lease", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    vm.upstreams.answer = (call, engine) => {
      const chunkBytes = 1_000;
      return Promise.resolve(
        answerStream(call, { engine, clock, tokenMs: 50, chunkBytes }),
      );
    };
    const { done } = vm.send(
      buildRequest("POST", "/v1/chat/completions", { body: STREAM_BODY }),
    );
    await clock.run(60);
    const progress = vm.leases.leases[0]!.progress!;
    expect(progress.firstTokenMs).toBe(50);
    expect(progress.tokens).toBeGreaterThan(0);
    await clock.run(1_000);
    await done;
  });

  it("logs the request id on every line", async () => {
    const vm = createVm();
    const sink = await runStream(vm);
    const ids = vm.log.lines.map((line) => line.fields["request_id"]);
    expect(new Set(ids)).toEqual(new Set([sink.headers["x-request-id"]]));
    expect(JSON.stringify(vm.log.lines)).not.toContain("key-1");
  });

  it("limits max_tokens to the limit of the class", async () => {
    const vm = createVm();
    await runStream(vm, { ...STREAM_BODY, max_tokens: 100_000 });
    const body = JSON.parse(
      Buffer.from(vm.upstreams.calls[0]!.body).toString(),
    );
    expect(body.max_tokens).toBe(200);
    expect(vm.leases.leases[0]!.request.maxTokens).toBe(200);
  });

  // Guards against missing or repeated words: an engine crashes in mid-stream,
  // and another engine resumes at a token other than the caller's next one.
  it("resumes a broken stream byte for byte at another engine", async () => {
    const vm = createVm([{ breakAt: 700 }]);
    const sink = await runStream(vm);
    const id = sink.headers["x-request-id"]!;
    expect(sink.text).toBe(getExpected(id, STREAM_BODY));
    expect(sink.isWhole).toBe(true);
    const [first, second] = vm.upstreams.calls;
    expect(Number(second!.headers["x-resume-tokens"])).toBeGreaterThan(0);
    expect(second!.upstream).not.toBe(first!.upstream);
    expect(listSteps(vm, id)).toContain("resumed");
    expect(vm.leases.leases.map((lease) => lease.state))
      .toEqual(["failed", "done"]);
  });

  // Guards against two finish_reasons, or the usage of half the answer: the
  // engine breaks between finish_reason and [DONE], after the router has
  // forwarded finish_reason.
  it("sends one finish_reason and the full usage after a late break", async () => {
    const body = { ...STREAM_BODY, stream_options: { include_usage: true } };
    const expected = getExpected("r~x", body);
    const vm = createVm();
    const finishAt = expected.indexOf('"stop"');
    vm.upstreams.answer = (call, engine) => {
      const shift = call.headers["x-request-id"]!.length * 8 + 40;
      const fault = engine === 0 ? { breakAt: finishAt + shift } : {};
      return Promise.resolve(answerStream(call, { engine, fault }));
    };
    const sink = await runStream(vm, body);
    const id = sink.headers["x-request-id"]!;
    expect(sink.text).toBe(getExpected(id, body));
    expect(sink.text.split("[DONE]")).toHaveLength(2);
    expect(vm.upstreams.calls).toHaveLength(2);
  });

  // Guards against another caller's text in the answer: an engine mixes up two
  // answers, or answers an earlier request late.
  it("treats events of another request as a broken stream", async () => {
    const vm = createVm([{ wrongIdFrom: 0 }, { wrongIdFrom: 3 }]);
    const sink = await runStream(vm);
    const id = sink.headers["x-request-id"]!;
    expect(sink.text).toBe(getExpected(id, STREAM_BODY, 1));
    expect(sink.text).not.toContain("r~other");
  });

  // Guards against a partial answer that looks complete: every engine breaks
  // until the limit on attempts is reached, and the stream ends without an
  // error.
  it("ends a stream that cannot be resumed with an error and no [DONE]", async () => {
    const fault = { breakAt: 700 };
    const vm = createVm([fault, { failsAtHead: true }, fault, {
      failsAtHead: true,
    }]);
    const sink = await runStream(vm);
    const last = sink.text.split("\n\n").at(-2)!;
    expect(sink.text).not.toContain("[DONE]");
    expect(last).toMatch(/^event: error\ndata: /);
    const error = JSON.parse(last.slice(last.indexOf("{"))).error;
    expect(error).toMatchObject({ code: "upstream_failed", outcome: "ran" });
    expect(vm.metrics.finished[0]).toMatchObject({ result: "lost" });
    expect(vm.metrics.finished[0]!.wastedTokens).toBeGreaterThan(0);
  });

  it("completes a stream that lacks only [DONE]", async () => {
    const vm = createVm();
    vm.upstreams.answer = (call, engine) => {
      const events = buildEngineEvents(call, { engine });
      const breakAt = Buffer.byteLength(events.slice(0, -1).join("")) + 3;
      return Promise.resolve(
        answerStream(call, { engine, fault: { breakAt } }),
      );
    };
    const sink = await runStream(vm);
    const id = sink.headers["x-request-id"]!;
    expect(sink.text).toBe(getExpected(id, STREAM_BODY));
    expect(vm.upstreams.calls).toHaveLength(1);
  });

  // Guards against engines that keep generating tokens for a caller that has
  // disconnected in mid-stream.
  it("cancels the work at the engine when the caller disconnects", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    vm.upstreams.answer = (call, engine) =>
      Promise.resolve(answerStream(call, { engine, clock, tokenMs: 50 }));
    const { sink, done } = vm.send(
      buildRequest("POST", "/v1/chat/completions", { body: STREAM_BODY }),
    );
    await clock.run(600);
    sink.controller.abort();
    await clock.run(1);
    await done;
    expect(vm.upstreams.calls[0]!.signal.aborted).toBe(true);
    expect(vm.upstreams.calls).toHaveLength(1);
    expect(vm.leases.leases[0]!.state).toBe("cancelled");
    expect(vm.metrics.finished[0]).toMatchObject({ result: "cancelled" });
    expect(sink.text).not.toContain("[DONE]");
  });

  // Guards against memory growth with a fast engine and a slow caller: the
  // router must not read from the engine while a write to the caller is
  // pending.
  it("stops reading from the engine while the caller does not read", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    let bytesRead = 0;
    vm.upstreams.answer = (call, engine) => {
      const answer = answerStream(call, { engine });
      const count = async function* () {
        for await (const bytes of answer.body) {
          bytesRead += bytes.length;
          yield bytes;
        }
      };
      return Promise.resolve({ ...answer, body: count() });
    };
    const { sink, done } = vm.send(
      buildRequest("POST", "/v1/chat/completions", { body: STREAM_BODY }),
    );
    let resumeWrite = () => {};
    sink.onWrite = () => new Promise((resolve) => resumeWrite = resolve);
    await clock.run(100);
    const before = bytesRead;
    await clock.run(1_000);
    expect(bytesRead).toBe(before);
    sink.onWrite = () => Promise.resolve();
    resumeWrite();
    await done;
    expect(sink.isWhole).toBe(true);
  });

  // Guards against preemption that is handled as a failure: the owner preempts
  // the slot in mid-stream, and the answer starts over or the slot is not
  // released.
  it("resumes after a preemption without spending the retry budget", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock, { retryShare: 0 });
    vm.upstreams.answer = (call, engine) =>
      Promise.resolve(answerStream(call, { engine, clock, tokenMs: 100 }));
    const { sink, done } = vm.send(
      buildRequest("POST", "/v1/chat/completions", { body: STREAM_BODY }),
    );
    for (let times = 0; times < 4; times++) {
      await clock.run(500);
      vm.leases.leases.at(-1)!.preemption.abort();
    }
    await clock.run(5_000);
    await done;
    const id = sink.headers["x-request-id"]!;
    expect(sink.text).toBe(getExpected(id, STREAM_BODY));
    expect(listSteps(vm, id).filter((step) => step === "preempted"))
      .toHaveLength(4);
    expect(vm.leases.leases.map((lease) => lease.state).slice(0, 4))
      .toEqual(Array(4).fill("cancelled"));
  });

  // Guards against sending on a slot that belongs to another request: the
  // process is paused between grant and send until the lease has expired.
  it("acquires a new lease if the first expired during a pause", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    vm.leases.delaysMs = [3_000];
    vm.upstreams.answer = (call, engine) =>
      Promise.resolve(answerStream(call, { engine }));
    const { done } = vm.send(
      buildRequest("POST", "/v1/chat/completions", { body: STREAM_BODY }),
    );
    await clock.run(3_001);
    await done;
    expect(vm.upstreams.calls).toHaveLength(1);
    expect(vm.leases.leases.map((lease) => lease.state))
      .toEqual(["unused", "done"]);
  });

  // Guards against retries that double the load in an outage: every first
  // attempt fails, and retries have no shared limit.
  it("stops retrying when the retry budget is spent", async () => {
    const vm = new RequestVm(VirtualClock.create(), { retryShare: 0 });
    vm.upstreams.answer = (call) =>
      Promise.reject(createError(call, { kind: "first_byte_timeout" }));
    const sinks = [];
    for (let index = 0; index < 5; index++) sinks.push(await runStream(vm));
    expect(vm.upstreams.calls).toHaveLength(5 + 2);
    const error = sinks.at(-1)!.json.error;
    expect(sinks.at(-1)!.status).toBe(504);
    expect(error).toMatchObject({
      code: "upstream_timeout",
      outcome: "unknown",
    });
  });

  // Guards against not_run for work that may have run: a send breaks, no slot
  // is free for the retry, and the outcome covers only the retry.
  it("returns an outcome that covers every send", async () => {
    const vm = new RequestVm(VirtualClock.create(), { upstreams: ["u1"] });
    vm.upstreams.answer = (call) => Promise.reject(createError(call, {}));
    const sink = await runStream(vm);
    expect(sink.json.error).toMatchObject({
      code: "no_upstream",
      outcome: "unknown",
    });
  });

  it("returns not_run if no byte was sent or the engine did not start", async () => {
    const vm = createVm();
    vm.upstreams.answer = (call, index) =>
      index === 0
        ? Promise.reject(
          createError(call, { kind: "connect", mayHaveRun: false }),
        )
        : Promise.resolve(answerJson(503, { error: { code: "not_started" } }));
    const sink = await runStream(vm);
    expect(sink.json.error).toMatchObject({ outcome: "not_run" });
    expect(vm.metrics.finished[0]).toMatchObject({ result: "refused" });
    expect(vm.limits.settled[0]!.actual).toBe(0);
  });

  it("returns unknown after a 503 without the documented code", async () => {
    const vm = createVm();
    vm.upstreams.answer = () =>
      Promise.resolve(answerJson(503, { error: { code: "busy" } }));
    const sink = await runStream(vm);
    expect(sink.json.error).toMatchObject({ outcome: "unknown" });
  });

  it("keeps the configuration under which it was admitted", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    vm.leases.delaysMs = [100];
    vm.upstreams.answer = (call, engine) =>
      Promise.resolve(answerStream(call, { engine }));
    const { sink, done } = vm.send(
      buildRequest("POST", "/v1/chat/completions", { body: STREAM_BODY }),
    );
    await clock.run(10);
    vm.snapshot = undefined;
    await clock.run(200);
    await done;
    expect(sink.isWhole).toBe(true);
    const id = toId<RequestId>(sink.headers["x-request-id"]!);
    expect(vm.requestStatuses.find(id)!.configVersion).toBe(3);
  });

  it("forwards a 400 of the engine", async () => {
    const vm = createVm();
    vm.upstreams.answer = () =>
      Promise.resolve(answerJson(400, { error: { message: "bad top_p" } }));
    const sink = await runStream(vm);
    expect(sink.status).toBe(400);
    expect(sink.json.error.message).toBe("bad top_p");
    expect(vm.upstreams.calls).toHaveLength(1);
  });

  it("refuses at once and sends nothing if the rate limit is exceeded", async () => {
    const vm = createVm();
    vm.limits.refusal = new RefusalError({
      code: "rate_limited",
      message: "Too many",
      outcome: "not_run",
      retryAfterMs: 1_500,
    });
    const sink = await runStream(vm);
    expect(sink.status).toBe(429);
    expect(sink.headers["retry-after"]).toBe("2");
    expect(vm.upstreams.calls).toHaveLength(0);
  });
});

describe("a buffered completion", () => {
  const body = { model: "m1", prompt: "Hola" };

  it("retries a broken answer and forwards the complete one", async () => {
    const vm = createVm();
    const buildBody = (call: { headers: Record<string, string> }) => ({
      id: call.headers["x-request-id"],
      choices: [{ text: "Buenos días" }],
      usage: { completion_tokens: 3 },
    });
    vm.upstreams.answer = (call, index) => {
      if (index === 0) {
        return Promise.resolve(
          answerJson(200, { ...buildBody(call), id: "other" }),
        );
      }
      return Promise.resolve(answerJson(200, buildBody(call)));
    };
    const { sink, done } = vm.send(
      buildRequest("POST", "/v1/completions", { body }),
    );
    await done;
    expect(sink.json.choices[0].text).toBe("Buenos días");
    expect(sink.headers["content-length"]).toBe(
      String(Buffer.byteLength(sink.text)),
    );
    expect(vm.metrics.finished[0]).toMatchObject({
      tokens: 3,
      firstTokenMs: undefined,
    });
  });

  it("is refused at the deadline if late answers are of no use", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    vm.upstreams.answer = async (call) => {
      await clock.sleep(call.timeouts.firstByteMs);
      throw createError(call, { kind: "first_byte_timeout" });
    };
    const { sink, done } = vm.send(
      buildRequest("POST", "/v1/completions", { body }),
    );
    await clock.run(10_001);
    await done;
    expect(sink.status).toBe(504);
    expect(sink.json.error.code).toBe("deadline_passed");
    expect(vm.upstreams.calls.map((call) => call.timeouts.firstByteMs))
      .toEqual([5_000, 5_000]);
  });
});

describe("a model with an adapter", () => {
  it("is found as MODEL:ADAPTER", async () => {
    const vm = createVm();
    const pool = vm.snapshot!.poolsByModel.get(toId<ModelName>("m1"))![0]!;
    pool.models.push({
      model: toId<ModelName>("m1"),
      version: "1",
      adapters: ["easy"],
      replicas: 1,
    });
    await runStream(vm, { ...STREAM_BODY, model: "m1:easy" });
    expect(vm.leases.leases[0]!.request).toMatchObject({
      model: "m1",
      adapter: "easy",
    });
  });

  it("is not found if no pool serves it", async () => {
    const sink = await runStream(createVm(), {
      ...STREAM_BODY,
      model: "m1:no",
    });
    expect(sink.status).toBe(404);
    expect(sink.json.error).toMatchObject({ outcome: "not_run" });
  });
});
