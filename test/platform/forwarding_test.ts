import { setTimeout as sleep } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import type { StandInCall } from "../../standin/http_stand_in.ts";
import { toId } from "../../src/ids.ts";
import { FakeLog } from "../support/request_fakes.ts";
import { waitUntil } from "../support/loopback.ts";
import { HOST, KEY } from "./configurations.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";
import type { ReplicaMode } from "./replica_stand_in.ts";
import { sendCall } from "./test_call.ts";

const TIMEOUT_MS = 2_000;
const RETURN_MS = 2_000;
const GRACE_MS = 1_000;
const OWN_ID = { "x-request-id": "own-id" };
const POLL_MS = 20;
const STREAM_PATH = "/stream/x";

interface CutFleet {
  fleet: PlatformFleet;
  cut: TestVm;
  others: TestVm[];
  logs: FakeLog[];
}

/** Three VMs, of which the first reaches no replica. */
async function createCutFleet(drainGraceMs = 8_000): Promise<CutFleet> {
  const fleet = await PlatformFleet.create({ replicas: 3, vms: 0 });
  const logs = [new FakeLog(), new FakeLog(), new FakeLog()];
  for (const log of logs) await fleet.addVm({ log, drainGraceMs });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === logs.length)
  );
  const [cut, ...others] = fleet.vms as [TestVm, ...TestVm[]];
  cut.links.cut("reset");
  return { fleet, cut, others, logs };
}

function listRuns(fleet: PlatformFleet): StandInCall[] {
  return fleet.replicas.flatMap(({ ran }) => ran);
}

function setMode(fleet: PlatformFleet, mode: ReplicaMode): void {
  for (const replica of fleet.replicas) replica.mode = mode;
}

function countSteps(log: FakeLog | undefined, step: string): number {
  return log!.lines.filter(({ fields }) => fields["step"] === step).length;
}

describe("a request that is passed on", () => {
  it("reaches the replica as the caller sent it", async () => {
    const { fleet, cut } = await createCutFleet();
    const answer = await sendRequest(cut, {
      path: "/unsafe/x?query=1",
      body: "a body",
      headers: { "x-request-id": "own-id", "x-other": "kept" },
    });
    expect(answer.status).toBe(200);
    expect(answer.headers["x-request-id"]).toBe("own-id");
    expect(answer.headers["x-response-seal"]).toBe("seal");
    const [run, ...more] = listRuns(fleet);
    expect(more).toEqual([]);
    expect(run!.method).toBe("POST");
    expect(run!.path).toBe("/unsafe/x?query=1");
    expect(new TextDecoder().decode(run!.body)).toBe("a body");
    expect(run!.headers["x-request-id"]).toBe("own-id");
    expect(run!.headers["x-tenant"]).toBe("tenant-1");
    expect(run!.headers["x-other"]).toBe("kept");
    expect(run!.headers["authorization"]).toBeUndefined();
    expect(Object.keys(run!.headers).join()).not.toContain("persimmonslip");
  });

  it("has what is left of its time", async () => {
    const { fleet, cut } = await createCutFleet();
    await sendRequest(cut, { path: "/safe/x", timeoutMs: 700 });
    const leftMs = Number(listRuns(fleet)[0]!.headers["x-timeout-ms"]);
    expect(leftMs).toBeGreaterThan(0);
    expect(leftMs).toBeLessThanOrEqual(700);
  });

  it("is streamed event by event", async () => {
    const { fleet, cut } = await createCutFleet();
    setMode(fleet, "pause");
    const answer = await sendRequest(cut, { path: STREAM_PATH });
    expect(answer.isWhole).toBe(true);
    expect(answer.body.split("\n\n").filter((event) => event !== ""))
      .toHaveLength(6);
  });

  it("is resumed after its last event, at most as often as allowed", async () => {
    const { fleet, cut } = await createCutFleet();
    setMode(fleet, "break");
    await sendRequest(cut, { path: "/restream/x" });
    expect(listRuns(fleet).map(({ headers }) => headers["last-event-id"]))
      .toEqual([undefined, "2"]);
  });

  it("is sent to no more replicas than its route allows", async () => {
    const { fleet, cut } = await createCutFleet();
    setMode(fleet, "fail");
    const answer = await sendRequest(cut, { path: "/safe/x" });
    expect(answer.status).toBe(500);
    expect(listRuns(fleet)).toHaveLength(2);
  });

  it("keeps the status and the delay of a refusal", async () => {
    const { fleet, cut, others } = await createCutFleet();
    for (const replica of fleet.replicas) {
      replica.extraHeaders = { "retry-after": "1" };
    }
    setMode(fleet, "shed");
    const expected = await sendRequest(others[0]!, { path: "/unsafe/x" });
    const answer = await sendRequest(cut, { path: "/unsafe/x" });
    expect(answer.status).toBe(expected.status);
    expect(answer.status).toBe(503);
    expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
    expect(listRuns(fleet)).toEqual([]);
  });

  // Guards against a replica's rejection that is taken for a VM without links, so
  // that one VM after the other asks the replicas again.
  it("is not tried at more VMs after a replica rejected it", async () => {
    const { fleet, cut, logs } = await createCutFleet();
    setMode(fleet, "shed");
    for (const path of ["/unsafe/x", "/safe/x"]) {
      const before = countSteps(logs[0], "forwarded");
      expect((await sendRequest(cut, { path })).status).toBe(503);
      expect(countSteps(logs[0], "forwarded")).toBe(before + 1);
    }
    const seen = fleet.replicas.reduce(
      (sum, each) => sum + each.seen.length,
      0,
    );
    expect(seen).toBe(3);
  });

  // Guards against a caller that hears nothing, or that its request did not run,
  // because the VM which runs it drains.
  for (const path of ["/unsafe/x", "/safe/x", STREAM_PATH]) {
    it(`may have run on ${path} if the VM that runs it ends`, async () => {
      const { fleet, cut, others } = await createCutFleet(GRACE_MS);
      setMode(fleet, "hang");
      const answer = sendRequest(cut, { path, headers: OWN_ID });
      await waitUntil(() => listRuns(fleet).length > 0);
      const runner = others.find(({ vm }) =>
        vm.requestStatuses.find(toId(OWN_ID["x-request-id"])) !== undefined
      );
      await runner!.vm.drain();
      expect(await answer).toMatchObject({ status: 502, isWhole: true });
      expect(listRuns(fleet)).toHaveLength(1);
    });
  }

  // Guards against a refusal that says "not run" of a request that may have run.
  it("is not reported as not run if its replica was lost", async () => {
    const { fleet, cut } = await createCutFleet();
    setMode(fleet, "reset");
    const answer = await sendRequest(cut, { path: "/unsafe/x" });
    expect(answer.status).toBe(502);
    expect(listRuns(fleet)).toHaveLength(1);
  });

  it("is cancelled at its replica when the caller leaves", async () => {
    const { fleet, cut } = await createCutFleet();
    setMode(fleet, "hang");
    const caller = new AbortController();
    const answer = sendRequest(cut, {
      path: "/safe/x",
      signal: caller.signal,
    });
    await waitUntil(() => listRuns(fleet).length === 1);
    caller.abort();
    await answer;
    await waitUntil(() =>
      fleet.replicas.some(({ cancelled }) => cancelled.length === 1)
    );
  });

  it("is counted once against the retry budget and in the metrics", async () => {
    const { cut, logs } = await createCutFleet();
    await sendRequest(cut, { path: "/safe/x" });
    const [cutLog, ...otherLogs] = logs;
    expect(countSteps(cutLog, "forwarded")).toBe(1);
    const arrivals = otherLogs.map((log) => countSteps(log, "arrived"));
    expect(arrivals.toSorted()).toEqual([0, 1]);
  });
});

describe("the way between VMs", () => {
  it("refuses a request from outside the fleet", async () => {
    const { fleet, others, cut } = await createCutFleet();
    const { address, peerPort } = others[0]!.settings;
    // Callers' connections come from 127.0.0.1, where no VM runs.
    const answer = await sendCall(`${address}:${peerPort}`, {
      path: "/safe/x",
      headers: {
        host: HOST,
        authorization: `Bearer ${KEY}`,
        "x-request-id": "outside",
        "persimmonslip-sends-left": "2",
      },
    });
    expect(answer.status).toBe(403);
    expect(listRuns(fleet)).toEqual([]);
    expect((await sendRequest(cut, { path: "/safe/x" })).status).toBe(200);
  });

  it("checks the caller's key again", async () => {
    const { fleet, cut } = await createCutFleet();
    const headers = { authorization: "Bearer unknown" };
    const answer = await sendRequest(cut, { path: "/safe/x", headers });
    expect(answer.status).toBe(401);
    expect(listRuns(fleet)).toEqual([]);
  });

  // Guards against requests that go round between VMs, and a storm of calls
  // between them, while replicas are down for all.
  it("is not used for a pool that no VM reaches", async () => {
    const { fleet, cut, others, logs } = await createCutFleet();
    others.forEach(({ links }) => links.cut("reset"));
    const vms = [cut, ...others];
    await Promise.all(vms.map((vm) => sendRequest(vm, { path: "/safe/x" })));
    await sleep(RETURN_MS);
    const countForwarded = () =>
      logs.reduce((sum, log) => sum + countSteps(log, "forwarded"), 0);
    const before = countForwarded();
    const answers = await Promise.all(
      vms.map((vm) => sendRequest(vm, { path: "/safe/x" })),
    );
    expect(answers.map(({ status }) => status)).toEqual([503, 503, 503]);
    expect(countForwarded()).toBe(before);
    expect(vms.map(({ vm }) => vm.listEntries().length)).toEqual([3, 3, 3]);
    expect(listRuns(fleet)).toEqual([]);
  });

  it("is left within two seconds of the links' return", async () => {
    const { cut, logs } = await createCutFleet();
    for (let sent = 0; sent < 5; sent++) {
      await sendRequest(cut, { path: "/safe/x" });
    }
    cut.links.heal();
    await sleep(RETURN_MS);
    const before = countSteps(logs[0], "forwarded");
    expect((await sendRequest(cut, { path: "/safe/x" })).status).toBe(200);
    expect(countSteps(logs[0], "forwarded")).toBe(before);
  });
});

// Guards against requests that wait for the time-out of a connection again and
// again where a VM has lost only some replicas.
it("a VM that lost some replicas uses the others itself", async () => {
  const { fleet, cut, logs } = await createCutFleet();
  cut.links.heal();
  cut.links.cut("silent", fleet.replicas.slice(0, 2).map(({ port }) => port));
  const startedAt = performance.now();
  while (performance.now() < startedAt + TIMEOUT_MS) {
    const answer = await sendRequest(cut, { path: "/unsafe/x" });
    expect(answer.status).toBe(200);
    await sleep(POLL_MS);
  }
  const sentAt = performance.now();
  await sendRequest(cut, { path: "/unsafe/x" });
  expect(performance.now() - sentAt).toBeLessThan(200);
  expect(countSteps(logs[0], "forwarded")).toBeLessThan(5);
});

// Guards against an owner that has lost its links and places the requests of all
// others by what it sees itself.
it("an owner that is cut off places for the others", async () => {
  const fleet = await PlatformFleet.create({ replicas: 3, vms: 0 });
  for (let index = 0; index < 14; index++) await fleet.addVm();
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === 14)
  );
  for (const cut of fleet.vms) {
    cut.links.cut("reset");
    const answers = await Promise.all(
      fleet.vms.flatMap((vm) =>
        ["/safe/x", "/unsafe/x"].map((path) => sendRequest(vm, { path }))
      ),
    );
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    cut.links.heal();
  }
}, 60_000);
