/**
 * Guards against requests that hang until their deadline, and VMs that keep an
 * old configuration, when open connections go silent: bytes are accepted but
 * never arrive, and neither end sees an error. It happens when a device between
 * the two ends drops the connection's state. New connections work. Only a
 * deadline detects it, and other idle connections may be silent as well.
 *
 * @module
 */
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterAll, beforeAll, expect, inject, it } from "vitest";
import {
  type CallResult,
  countExecutions,
  fetchRequestId,
  listRuns,
  sendChat,
  sendHold,
} from "../../support/process_calls.ts";
import { ProcessFleet, waitUntil } from "../../support/process_fleet.ts";
import { CALLER_KEY } from "../../support/process_records.ts";

const BODY_TIMEOUT_MS = 2_000;
/** The pool's time-out between bytes (2 s) and the time to resume. */
const UPSTREAM_NOTICED_MS = 8_000;
/** A watch's longest wait (5 s), its answer's time-out (2 s), a new one. */
const WATCH_NOTICED_MS = 12_000;
/** A peer call's longest deadline (hold 1 s and 0.5 s) and a new call. */
const PEER_NOTICED_MS = 8_000;
const EVENT_MS = 20_000;

let fleet: ProcessFleet;

beforeAll(async () => {
  fleet = await ProcessFleet.create({
    program: inject("daemonProgram"),
    vms: 4,
    engine: { baseMs: 10, perRunningMs: 0 },
    limits: { body_timeout_ms: BODY_TIMEOUT_MS },
    relays: ["peers", "upstreams", "platform"],
  });
});

afterAll(() => fleet?.close());

function checkAnswered(ended: CallResult): void {
  const found = JSON.stringify(ended.result);
  expect(ended.outcome, found).toMatchObject({ kind: "answered" });
}

it("answers 408 to a caller that goes silent within its body", async () => {
  const socket = connect(fleet.vms[0]!.port, "127.0.0.1");
  let answer = "";
  socket.on("data", (chunk) => answer += chunk.toString());
  socket.write(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n" +
      `authorization: Bearer ${CALLER_KEY}\r\ncontent-length: 500\r\n\r\n{`,
  );
  await waitUntil("the listener to time out", EVENT_MS, () => answer !== "");
  expect(answer).toMatch(/^HTTP\/1\.1 408 /);
  expect(answer).toContain('"outcome":"not_run"');
  socket.destroy();
});

it("resumes elsewhere where an upstream goes silent within a stream", async () => {
  const vm = fleet.vms[0]!;
  const requestId = await fetchRequestId(vm.port);
  const tokens = 400;
  const streamed = sendChat(vm.port, { tokens, name: "silenced", requestId });
  await waitUntil("the stream's middle", EVENT_MS, () => {
    return (listRuns(fleet.engines, requestId)[0]?.tokens ?? 0) > 40;
  });
  for (const name of ["engine-1", "engine-2"]) {
    fleet.relays.get(name)!.setModeOfOpen("swallow");
  }
  const silentAt = performance.now();
  await waitUntil("work to be resumed", UPSTREAM_NOTICED_MS, () => {
    return listRuns(fleet.engines, requestId).length > 1;
  });
  expect(performance.now() - silentAt).toBeLessThan(UPSTREAM_NOTICED_MS);
  checkAnswered(await streamed);
  const runs = listRuns(fleet.engines, requestId);
  expect(runs[1]!.resumedFrom).toBeGreaterThan(0);
});

it("silent idle connections do not fail a slot hold", async () => {
  const vm = fleet.vms[1]!;
  checkAnswered(await sendHold(vm.port, { name: "before" }));
  fleet.relays.get("service-1")!.setModeOfOpen("swallow");
  const ended = await Promise.all(
    ["one", "two", "three"].map((name) => sendHold(vm.port, { name })),
  );
  for (const one of ended) {
    checkAnswered(one);
    expect(countExecutions(fleet.services, one.requestId!)).toBe(1);
  }
});

it("the next calls replace silent idle connections", async () => {
  const vm = fleet.vms[2]!;
  const names = Array.from({ length: 6 }, (_, index) => `kept-${index}`);
  const send = () =>
    Promise.all(
      names.map((name) => sendChat(vm.port, { tokens: 3, name })),
    );
  for (const one of await send()) checkAnswered(one);
  for (const name of ["engine-1", "engine-2"]) {
    fleet.relays.get(name)!.setModeOfOpen("swallow");
  }
  const silentAt = performance.now();
  for (const one of await send()) checkAnswered(one);
  expect(performance.now() - silentAt).toBeLessThan(UPSTREAM_NOTICED_MS);
});

it("replaces silent connections to a shard's owner", async () => {
  const owner = await fleet.findOwner("engines");
  const others = fleet.vms.filter((vm) => vm !== owner);
  fleet.relays.get(owner.id)!.setModeOfOpen("swallow");
  const silentAt = performance.now();
  const ended = await Promise.all(
    others.flatMap((vm) =>
      ["a", "b", "c"].map((name) => sendChat(vm.port, { tokens: 3, name }))
    ),
  );
  for (const one of ended) checkAnswered(one);
  expect(performance.now() - silentAt).toBeLessThan(PEER_NOTICED_MS);
  for (const vm of others) {
    expect(vm.readLog()).not.toContain(`event=member_dead peer=${owner.id}`);
  }
});

it("replaces a silent watch and receives the update", async () => {
  // Past the first reads, so that the open connection is the watch.
  await sleep(1_000);
  for (const vm of fleet.vms) {
    fleet.relays.get(`platform:${vm.id}`)!.setModeOfOpen("swallow");
  }
  const version = fleet.announceRecords({ requestsPerMinute: 777_777 });
  const inForce = await waitUntil(
    "the version on every VM",
    WATCH_NOTICED_MS,
    async () => {
      const all = await Promise.all(fleet.vms.map((vm) => vm.fetchStatus()));
      return all.every((status) => status.config_version === version);
    },
  );
  expect(inForce).toBeLessThan(WATCH_NOTICED_MS);
});
