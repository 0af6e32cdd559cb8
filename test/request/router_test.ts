import { describe, expect, it } from "vitest";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRequest, FakePeers } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";
import { answerJson, answerStream } from "../support/scripted_engine.ts";

const BODY = { model: "m1", stream: true, prompt: "Hola" };

function createVms(): [RequestVm, RequestVm, RequestVm] {
  const clock = VirtualClock.create();
  const peers = new FakePeers();
  const create = (vm: string, seed: number) => {
    const made = new RequestVm(clock, { vm, seed, peers });
    made.upstreams.answer = (call, engine) =>
      Promise.resolve(answerStream(call, { engine }));
    return made;
  };
  return [create("vm-a", 1), create("vm-b", 2), create("vm-c", 3)];
}

async function run(
  vm: RequestVm,
  request: ReturnType<typeof buildRequest>,
) {
  const { sink, done } = vm.send(request);
  await done;
  return sink;
}

async function issueId(vm: RequestVm): Promise<string> {
  const sink = await run(vm, buildRequest("POST", "/v1/requests"));
  expect(sink.status).toBe(201);
  return sink.json.request_id;
}

function buildCompletion(requestId: string, key = "key-1") {
  const headers = {
    authorization: `Bearer ${key}`,
    "x-request-id": requestId,
  };
  return buildRequest("POST", "/v1/completions", { body: BODY, headers });
}

describe("the router", () => {
  it("refuses unknown endpoints with a typed body", async () => {
    const [vm] = createVms();
    const calls: [string, string, number, string][] = [
      ["GET", "/v1/nothing", 404, "not_found"],
      ["DELETE", "/v1/completions", 404, "not_found"],
      ["GET", "/services/%ZZ/x", 404, "not_found"],
      ["GET", "/services/engines/x", 404, "not_found"],
      ["POST", "/v1/completions", 400, "bad_request"],
    ];
    for (const [method, path, status, code] of calls) {
      const sink = await run(vm, buildRequest(method, path));
      expect(sink.status, path).toBe(status);
      expect(sink.json.error).toMatchObject({ code, outcome: "not_run" });
      expect(sink.headers["x-request-id"]).toMatch(/^s~vm-a~/);
    }
    expect(vm.metrics.finished).toEqual([]);
  });

  it("checks the API key and the request class", async () => {
    const [vm] = createVms();
    const cases: [Record<string, string>, number][] = [
      [{ authorization: "" }, 401],
      [{ authorization: "Bearer nobody" }, 401],
      [{ "x-request-class": "vip" }, 403],
    ];
    for (const [headers, status] of cases) {
      const request = buildRequest("POST", "/v1/completions", {
        body: BODY,
        headers,
      });
      expect((await run(vm, request)).status).toBe(status);
    }
    expect(vm.upstreams.calls).toEqual([]);
  });

  it("refuses invalid bodies before it requests a lease", async () => {
    const [vm] = createVms();
    const bodies: unknown[] = [
      {},
      { model: 3, prompt: "x" },
      { model: "m1", prompt: "x", n: 2 },
      { model: "m1", prompt: "x", max_tokens: -1 },
      { model: "m1", prompt: "x", max_tokens: 1.5 },
      { model: "m1", messages: [] },
      [],
    ];
    for (const body of bodies) {
      const request = buildRequest("POST", "/v1/completions", { body });
      expect((await run(vm, request)).status).toBe(400);
    }
    expect(vm.leases.leases).toEqual([]);
  });

  it("returns not_ready without a configuration", async () => {
    const [vm] = createVms();
    vm.snapshot = undefined;
    const sink = await run(vm, buildRequest("GET", "/v1/models"));
    expect(sink.status).toBe(503);
    expect(sink.json.error.code).toBe("not_ready");
    const entries = await run(vm, buildRequest("GET", "/v1/entries"));
    expect(entries.json).toEqual({ entries: [] });
  });

  it("lists the models", async () => {
    const [vm] = createVms();
    const sink = await run(vm, buildRequest("GET", "/v1/models"));
    expect(sink.json).toMatchObject({
      object: "list",
      data: [{ id: "m1", object: "model", owned_by: "engines" }],
    });
  });

  it("closes keep-alive connections while it drains, and continues to serve", async () => {
    const [vm] = createVms();
    vm.isDraining = true;
    const request = buildRequest("POST", "/v1/completions", { body: BODY });
    const sink = await run(vm, request);
    expect(sink.isWhole).toBe(true);
    expect(sink.headers["connection"]).toBe("close");
  });
});

describe("a resubmission", () => {
  it("receives the first answer byte for byte from any VM", async () => {
    const [a, b, c] = createVms();
    const id = await issueId(a);
    const first = await run(b, buildCompletion(id));
    const again = await run(c, buildCompletion(id));
    expect(first.isWhole).toBe(true);
    expect(again.text).toBe(first.text);
    expect(again.headers).toEqual(first.headers);
    expect(c.upstreams.calls).toEqual([]);
  });

  it("does not receive another workspace's answer", async () => {
    const [a, b] = createVms();
    const id = await issueId(a);
    const first = await run(b, buildCompletion(id));
    const other = await run(b, buildCompletion(id, "key-2"));
    expect(other.status).toBe(409);
    expect(other.json.error.outcome).toBe("ran");
    expect(other.text).not.toContain(first.text.slice(0, 20));
  });

  it("returns already_submitted while the first execution is running", async () => {
    const [a, b] = createVms();
    const clock = a.clock as VirtualClock;
    a.upstreams.answer = (call, engine) =>
      Promise.resolve(answerStream(call, { engine, clock, tokenMs: 100 }));
    const id = await issueId(a);
    const first = a.send(buildCompletion(id));
    await clock.run(300);
    const second = await run(b, buildCompletion(id));
    expect(second.status).toBe(409);
    expect(second.json.error).toMatchObject({
      code: "already_submitted",
      outcome: "unknown",
    });
    expect(second.headers["x-should-retry"]).toBe("false");
    await clock.run(20_000);
    await first.done;
    expect(first.sink.isWhole).toBe(true);
  });

  // Guards against a duplicate execution: an id is issued and executed at
  // another VM, the issuer is replaced and loses its claims, and the id is
  // resubmitted. Lost claims must not count as "never executed".
  it("executes nothing if the issuer was replaced", async () => {
    const [a, b, c] = createVms();
    const id = await issueId(a);
    await run(b, buildCompletion(id));
    a.peers.peers.delete("vm-a");
    const { sink, done } = c.send(buildCompletion(id));
    await (c.clock as VirtualClock).run(1_000);
    await done;
    expect(sink.status).toBe(409);
    expect(sink.json.error).toMatchObject({
      code: "fate_unknown",
      outcome: "unknown",
    });
    const restarted = new RequestVm(a.clock, {
      vm: "vm-a",
      incarnation: "i2",
      peers: a.peers,
    });
    for (const vm of [c, restarted]) {
      const after = await run(vm, buildCompletion(id));
      expect(after.json.error.code).toBe("fate_unknown");
      expect(vm.upstreams.calls).toEqual([]);
    }
  });

  // Guards against callers that put their own trace ids into x-request-id: such
  // an id names no VM that records the claim, so the request could run twice.
  it("is refused for ids that no VM issued", async () => {
    const [a] = createVms();
    for (const id of ["3f0c-uuid", "r~vm-a~i1~1", "r~vm-a~i1~1~1~ffff"]) {
      const sink = await run(a, buildCompletion(id));
      expect(sink.status).toBeGreaterThanOrEqual(400);
    }
    expect(a.upstreams.calls).toEqual([]);
  });

  // Guards against a duplicate execution: a caller submits the id of an answer
  // to a request that it sent without one. No claim is recorded for such a
  // single-use id, so it would look unused.
  it("executes nothing for a single-use id", async () => {
    const [a] = createVms();
    const request = buildRequest("POST", "/v1/completions", { body: BODY });
    const first = await run(a, request);
    const again = await run(
      a,
      buildCompletion(first.headers["x-request-id"]!),
    );
    expect(again.json.error).toMatchObject({
      code: "fate_unknown",
      outcome: "unknown",
    });
    expect(a.upstreams.calls).toHaveLength(1);
  });

  it("returns the outcome if the answer was too large to retain", async () => {
    const [a] = createVms();
    a.upstreams.answer = (call) =>
      Promise.resolve(answerJson(200, {
        id: call.headers["x-request-id"],
        text: "x".repeat(300_000),
      }));
    const id = await issueId(a);
    const headers = { "x-request-id": id };
    const body = { model: "m1", prompt: "x" };
    const request = buildRequest("POST", "/v1/completions", { body, headers });
    expect((await run(a, request)).isWhole).toBe(true);
    const again = await run(a, request);
    expect(again.json.error).toMatchObject({
      code: "already_submitted",
      outcome: "ran",
    });
  });
});

describe("GET /v1/requests/ID", () => {
  function buildStatusRequest(id: string, key = "key-1") {
    const headers = { authorization: `Bearer ${key}` };
    const path = `/v1/requests/${encodeURIComponent(id)}`;
    return buildRequest("GET", path, { headers });
  }

  it("returns the steps from any VM, through the issuer", async () => {
    const [a, b, c] = createVms();
    const id = await issueId(a);
    await run(b, buildCompletion(id));
    for (const vm of [a, b, c]) {
      const sink = await run(vm, buildStatusRequest(id));
      expect(sink.status).toBe(200);
      expect(sink.json).toMatchObject({ outcome: "answered", vm: "vm-b" });
      expect(sink.json.steps.at(-1).step).toBe("answered");
    }
  });

  it("returns only requests of the caller's workspace", async () => {
    const [a] = createVms();
    const id = await issueId(a);
    await run(a, buildCompletion(id));
    expect((await run(a, buildStatusRequest(id, "key-2"))).status).toBe(404);
    expect((await run(a, buildStatusRequest(id, "nobody"))).status).toBe(401);
  });

  it("returns unknown and the reason", async () => {
    const [a, b] = createVms();
    const id = await issueId(a);
    const unused = await run(b, buildStatusRequest(id));
    expect(unused.json).toMatchObject({ outcome: "unknown" });
    expect(unused.json.why).toContain("No VM has a record of the request");
    a.peers.peers.delete("vm-a");
    const gone = await run(b, buildStatusRequest(id));
    expect(gone.json.why).toContain("vm-a");
  });
});
