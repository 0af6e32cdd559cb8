import { describe, expect, it } from "vitest";
import { type RequestId, toId } from "../../src/ids.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRequest } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";
import { answerJson, createError } from "../support/scripted_engine.ts";

function createVm(): RequestVm {
  return new RequestVm(VirtualClock.create());
}

describe("a call of a plain service", () => {
  it("forwards method, path, query, headers and body", async () => {
    const vm = createVm();
    vm.upstreams.answer = () => Promise.resolve(answerJson(201, { slot: 4 }));
    const { sink, done } = vm.send(buildRequest(
      "POST",
      "/services/booking/slots/hold",
      { query: "day=1%2F2", body: { plate: "X" }, headers: { "x-lane": "3" } },
    ));
    await done;
    expect(sink.status).toBe(201);
    expect(sink.json).toEqual({ slot: 4 });
    const call = vm.upstreams.calls[0]!;
    expect(call.method).toBe("POST");
    expect(call.path).toBe("/slots/hold?day=1%2F2");
    expect(call.headers["x-lane"]).toBe("3");
    expect(call.headers["authorization"]).toBeUndefined();
    expect(Buffer.from(call.body).toString()).toBe('{"plate":"X"}');
  });

  it("is not idempotent if its method, class or header says so", async () => {
    const vm = createVm();
    vm.upstreams.answer = () => Promise.resolve(answerJson(200, {}));
    const chat = { "x-request-class": "chat" };
    const calls: [string, Record<string, string>, boolean][] = [
      ["GET", chat, true],
      ["GET", {}, false],
      ["GET", { ...chat, "x-idempotent": "false" }, false],
      ["POST", chat, false],
      ["POST", { ...chat, "x-idempotent": "true" }, true],
      ["POST", { "x-idempotent": "true" }, false],
    ];
    for (const [method, headers] of calls) {
      await vm.send(buildRequest(method, "/services/booking/x", { headers }))
        .done;
    }
    expect(vm.leases.leases.map((lease) => lease.request.idempotent))
      .toEqual(calls.map(([, , idempotent]) => idempotent));
    expect(vm.upstreams.calls.map((call) => call.freshConnection))
      .toEqual(calls.map(([, , idempotent]) => !idempotent));
  });

  // Guards against duplicate bookings: the service accepts the call, the
  // connection breaks, and the router retries work that may have run.
  it("is not retried if it may have run", async () => {
    const vm = createVm();
    vm.upstreams.answer = (call) => Promise.reject(createError(call, {}));
    const { sink, done } = vm.send(
      buildRequest("POST", "/services/booking/hold"),
    );
    await done;
    expect(vm.upstreams.calls).toHaveLength(1);
    expect(sink.status).toBe(502);
    expect(sink.json.error).toMatchObject({ outcome: "unknown" });
    expect(sink.headers["x-should-retry"]).toBe("false");
  });

  it("is retried at another replica if no byte was sent", async () => {
    const vm = createVm();
    vm.upstreams.answer = (call, index) =>
      index === 0
        ? Promise.reject(
          createError(call, { kind: "connect", mayHaveRun: false }),
        )
        : Promise.resolve(answerJson(200, { ok: true }));
    const { sink, done } = vm.send(
      buildRequest("POST", "/services/booking/hold"),
    );
    await done;
    expect(sink.json).toEqual({ ok: true });
    expect(vm.upstreams.calls).toHaveLength(2);
  });

  it("returns not_run on x-not-started, and can then be resubmitted", async () => {
    const vm = createVm();
    vm.upstreams.answer = () =>
      Promise.resolve({
        ...answerJson(503, {}),
        headers: { "x-not-started": "1" },
      });
    const headers = { "x-request-id": vm.claims.issueId() };
    const request = buildRequest("POST", "/services/booking/hold", { headers });
    const first = vm.send(request);
    await first.done;
    expect(first.sink.json.error).toMatchObject({ outcome: "not_run" });
    expect(vm.upstreams.calls).toHaveLength(1);
    vm.upstreams.answer = () => Promise.resolve(answerJson(200, { slot: 1 }));
    const second = vm.send(request);
    await second.done;
    expect(second.sink.json).toEqual({ slot: 1 });
  });

  // Guards against a partial page that looks complete: the service breaks in
  // the middle of an answer, and the router ends the answer normally.
  it("aborts an answer that breaks midway", async () => {
    const vm = createVm();
    vm.upstreams.answer = (call) => {
      const body = async function* () {
        yield Buffer.from("half");
        await Promise.resolve();
        throw createError(call, {});
      };
      return Promise.resolve({ status: 200, headers: {}, body: body() });
    };
    const { sink, done } = vm.send(buildRequest("GET", "/services/booking/x", {
      headers: { "x-request-class": "chat" },
    }));
    await done;
    expect(sink.isDestroyed).toBe(true);
    expect(sink.isEnded).toBe(false);
    expect(vm.upstreams.calls).toHaveLength(1);
  });

  // Guards against a booking with an unknown outcome: the caller's connection
  // breaks while the service works, and the router cancels the call.
  it("completes a claimed call after its caller disconnects, for a replay", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    vm.upstreams.answer = async (call) => {
      await clock.sleep(100, call.signal);
      if (call.signal.aborted) throw createError(call, { kind: "aborted" });
      return answerJson(200, { slot: 9 });
    };
    const headers = { "x-request-id": vm.claims.issueId() };
    const request = buildRequest("POST", "/services/booking/hold", { headers });
    const first = vm.send(request);
    await clock.run(10);
    first.sink.controller.abort();
    await clock.run(200);
    await first.done;
    const second = vm.send(request);
    await second.done;
    expect(second.sink.json).toEqual({ slot: 9 });
    expect(vm.upstreams.calls).toHaveLength(1);
  });

  it("is cancelled with its caller if it cannot be resubmitted", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    vm.upstreams.answer = async (call) => {
      await clock.sleep(100, call.signal);
      throw createError(call, { kind: "aborted" });
    };
    const { sink, done } = vm.send(
      buildRequest("POST", "/services/booking/hold"),
    );
    await clock.run(10);
    sink.controller.abort();
    await clock.run(1);
    await done;
    expect(vm.upstreams.calls[0]!.signal.aborted).toBe(true);
    expect(vm.metrics.finished[0]).toMatchObject({ result: "cancelled" });
  });

  // Guards against a booking by a VM whose claim has expired: the VM is paused
  // until after the expiry and resumes right before the send.
  it("sends nothing if the claim expired during a pause", async () => {
    const clock = VirtualClock.create();
    const vm = new RequestVm(clock);
    vm.leases.delaysMs = [6 * 60_000];
    const headers = { "x-request-id": vm.claims.issueId() };
    const { sink, done } = vm.send(
      buildRequest("POST", "/services/booking/hold", { headers }),
    );
    await clock.run(6 * 60_000 + 1);
    await done;
    expect(vm.upstreams.calls).toHaveLength(0);
    expect(sink.json.error).toMatchObject({
      code: "paused",
      outcome: "not_run",
    });
    expect(vm.leases.leases[0]!.state).toBe("unused");
    const id = toId<RequestId>(sink.headers["x-request-id"]!);
    expect(vm.requestStatuses.find(id)).toMatchObject({ outcome: "not_run" });
  });
});
