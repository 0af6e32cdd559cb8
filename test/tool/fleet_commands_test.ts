import { afterEach, describe, expect, test } from "vitest";
import { FakeVm, sendJson } from "./fake_vm.ts";
import { runCommand } from "./recording_terminal.ts";

const STATUS = {
  vm: "entry-1",
  incarnation: "i1",
  data_centre: "dc-1",
  uptime_ms: 90_000,
  config_version: 7,
  list_revision: 3,
  draining: false,
  members: [
    { vm: "entry-1", state: "alive", data_centre: "dc-1", config_version: 7 },
    { vm: "entry-2", state: "dead", data_centre: "dc-2" },
  ],
  shards: [{
    shard: "small/0",
    owner: "entry-1",
    room: 3,
    slots: 8,
    waiting_by_rank: { 0: 0, 1: 2, 3: 5 },
    expected_wait_ms: 1_500,
  }],
  in_flight: 4,
};

const started: FakeVm[] = [];

async function startFixed(answers: Record<string, unknown>): Promise<FakeVm> {
  const vm = await FakeVm.startFixed(answers);
  started.push(vm);
  return vm;
}

async function startFake(
  answer: Parameters<typeof FakeVm.start>[0],
): Promise<FakeVm> {
  const vm = await FakeVm.start(answer);
  started.push(vm);
  return vm;
}

function getOptions(vm: FakeVm): string[] {
  return ["--url", vm.url, "--token", "the-token"];
}

afterEach(async () => {
  for (const vm of started.splice(0)) await vm.stop();
});

describe("status", () => {
  test("shows the members and shards, and sends the token", async () => {
    const vm = await startFixed({ "/v1/status": STATUS });
    const run = await runCommand(["status", ...getOptions(vm)]);
    expect(run.output).toMatch(/^VM entry-1 in dc-1 serves, up 1\.5min, 4 req/);
    expect(run.output).toMatch(/^entry-2 +dead +dc-2 +-$/m);
    expect(run.output).toMatch(/^small\/0 +entry-1 +3 +8 +1: 2, 3: 5 +1\.5s$/m);
    expect(run.exitCode).toBe(0);
    expect(vm.calls).toEqual(["GET /v1/status Bearer the-token"]);
  });

  test("prints the complete answer as JSON", async () => {
    const vm = await startFixed({ "/v1/status": STATUS });
    const run = await runCommand(["status", "--json", ...getOptions(vm)]);
    expect(JSON.parse(run.output)).toEqual(STATUS);
  });

  test("reads address and token from the environment", async () => {
    const vm = await startFixed({ "/v1/status": STATUS });
    const run = await runCommand(["status"], {
      variables: {
        PERSIMMONSLIP_URL: vm.url,
        PERSIMMONSLIP_TOKEN: "other",
      },
    });
    expect(run.exitCode).toBe(0);
    expect(vm.calls).toEqual(["GET /v1/status Bearer other"]);
  });

  test("prints a hint if the VM refuses the token", async () => {
    const vm = await startFake((_, response) => {
      sendJson(response, 401, { error: { message: "Operator token needed" } });
    });
    const run = await runCommand(["status", ...getOptions(vm)]);
    expect(run.error).toContain("401: Operator token needed");
    expect(run.error).toContain("listeners.operators.token");
    expect(run.error).not.toContain("the-token");
    expect(run.exitCode).toBe(4);
  });

  test("exits with 4 if nothing listens at the address", async () => {
    const vm = await startFixed({});
    const options = getOptions(vm);
    await vm.stop();
    const run = await runCommand(["status", ...options]);
    expect(run.error).toContain("cannot be reached");
    expect(run.exitCode).toBe(4);
  });

  test("exits with 4 if the answer has an unexpected format", async () => {
    const vm = await startFixed({ "/v1/status": { hello: 1 } });
    const run = await runCommand(["status", ...getOptions(vm)]);
    expect(run.error).toContain(
      "sent an answer in an unexpected format for /v1/status",
    );
    expect(run.exitCode).toBe(4);
  });

  test("exits with 2 if the address or token is missing", async () => {
    const noUrl = await runCommand(["status", "--token", "t"]);
    expect(noUrl.error).toContain("PERSIMMONSLIP_URL");
    const noToken = await runCommand(["status", "--url", "http://127.0.0.1"]);
    expect(noToken.error).toContain("PERSIMMONSLIP_TOKEN");
    expect([noUrl.exitCode, noToken.exitCode]).toEqual([2, 2]);
  });
});

test("versions shows the version of each VM, its age and source", async () => {
  const vm = await startFixed({
    "/v1/versions": {
      vms: [
        { vm: "entry-1", version: 7, since_ms: 4_200, from: "entry-2" },
        { vm: "entry-3", version: null, since_ms: null, from: null },
      ],
    },
  });
  const run = await runCommand(["versions", ...getOptions(vm)]);
  expect(run.output).toMatch(/^entry-1 +7 +4\.2s +entry-2$/m);
  expect(run.output).toMatch(/^entry-3 +- +- +-$/m);
});

test("versions lists versions that were not accepted, with the reasons", async () => {
  const decision = { digest: "d1", from: "service", age_ms: 2_000 };
  const vm = await startFixed({
    "/v1/versions": {
      vms: [{ vm: "entry-1", version: 7, since_ms: 4_200, from: "service" }],
      history: [
        { ...decision, version: 7, result: "accepted", problems: [] },
        {
          ...decision,
          version: 8,
          result: "rejected",
          problems: ["tier fast: $.rank: Expected a number"],
        },
        { ...decision, version: 7, result: "outranked", problems: [] },
      ],
    },
  });
  const run = await runCommand(["versions", ...getOptions(vm)]);
  expect(run.output).not.toContain("accepted");
  expect(run.output).toContain(
    "Version 8 from service was rejected 2.0s ago (content d1)\n" +
      "  tier fast: $.rank: Expected a number\n",
  );
  expect(run.output).toContain("Version 7 from service was outranked");
});

test("entries calls the callers' listener without a credential", async () => {
  const vm = await startFixed({
    "/v1/entries": {
      entries: [
        { vm: "entry-1", data_centre: "dc-1", address: "127.0.0.1", port: 9 },
      ],
      ttl_ms: 10_000,
    },
  });
  const run = await runCommand([
    "entries",
    "--callers-url",
    vm.url,
    "--data-centre",
    "dc 1",
  ]);
  expect(run.output).toMatch(/^entry-1 +dc-1 +127\.0\.0\.1:9$/m);
  expect(vm.calls).toEqual(["GET /v1/entries?data_centre=dc%201 none"]);
});

describe("drain", () => {
  test("starts the drain and prints the requests in flight", async () => {
    const vm = await startFixed({ "/v1/drain": { in_flight: 2 } });
    const run = await runCommand(["drain", ...getOptions(vm)]);
    expect(run.output).toBe("The VM is draining, 2 requests in flight\n");
    expect(vm.calls).toEqual(["POST /v1/drain Bearer the-token"]);
  });

  test("waits until the listener has closed", async () => {
    const vm: FakeVm = await startFake((request, response) => {
      const isOrder = request.method === "POST";
      response.setHeader("connection", "close");
      sendJson(response, 200, isOrder ? { in_flight: 1 } : STATUS);
      if (!isOrder) response.on("finish", () => void vm.stop());
    });
    const run = await runCommand(["drain", "--wait", ...getOptions(vm)]);
    expect(run.output).toBe("The VM has drained and exited\n");
    expect(run.exitCode).toBe(0);
  });

  // Guards against `drain --wait` reporting that a VM has exited while requests
  // are in flight, so that the operator removes it: after the drain call, the
  // VM resets connections but its listener stays open. Not every failed call
  // means that the VM has exited.
  test("does not treat a broken connection as the exit of the VM", async () => {
    const vm = await startFake((request, response) => {
      if (request.method === "POST") sendJson(response, 200, {});
      else request.socket.destroy();
    });
    const run = await runCommand(["drain", "--wait", ...getOptions(vm)]);
    expect(run.output).toBe("");
    expect(run.error).toContain("cannot be reached");
    expect(run.exitCode).toBe(4);
  });
});
