/**
 * Guards against an engine that runs more requests than it has slots, a slot
 * hold that runs twice, and lost requests, after a VM was paused for some
 * seconds. A VM's process is stopped (SIGSTOP) during a request and continued
 * after its leases have expired and other VMs have taken over. It resumes with
 * leases, claims and shards that it no longer holds.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { afterAll, afterEach, beforeAll, expect, inject, it } from "vitest";
import {
  type CallResult,
  countExecutions,
  fetchRequestId,
  listRuns,
  PeakMonitor,
  sendChat,
  sendHold,
} from "../../support/process_calls.ts";
import {
  ProcessFleet,
  waitUntil,
  waitUntilReady,
} from "../../support/process_fleet.ts";
import type { ProcessVm } from "../../support/process_vm.ts";

/** Longer than a lease that was never renewed is valid (3 s). */
const PAST_FIRST_LEASE_MS = 4_000;
/** Longer than any lease (6 s) and any time-out between bytes of the pools. */
const PAST_LEASES_MS = 8_000;
const EVENT_MS = 20_000;

let fleet: ProcessFleet;

beforeAll(async () => {
  // One slot in all, so that any request sent without a slot shows.
  fleet = await ProcessFleet.create({
    program: inject("daemonProgram"),
    vms: 4,
    engines: 1,
    engine: { baseMs: 20, perRunningMs: 0 },
    serviceDelayMs: 3_000,
    records: { engineSlots: 1, engines: 1 },
  });
});

afterEach(async () => {
  for (const vm of fleet.vms) vm.resume();
  await waitUntilReady(fleet.vms);
  await waitUntil("an idle engine", EVENT_MS, () => getRunning() === 0);
});

afterAll(() => fleet?.close());

function getRunning(): number {
  const { core } = fleet.engines[0]!;
  return core.running + core.waiting;
}

function countTokens(name: string): number {
  const { core } = fleet.engines[0]!;
  const runs = core.listRequestIds().flatMap((id) => [...core.listRuns(id)]);
  return runs.filter((run) => run.requestId === name)
    .reduce((sum, run) => sum + run.tokens, 0);
}

/** The owner of the engines' shard, and two VMs that are not. */
async function findRoles() {
  const owner = await fleet.findOwner("engines");
  const others = fleet.vms.filter((vm) => vm !== owner);
  return { owner, paused: others[0]!, other: others[1]! };
}

async function waitForWaiter(owner: ProcessVm): Promise<void> {
  await waitUntil("a request in the queue", EVENT_MS, async () => {
    const { shards } = await owner.fetchStatus();
    const shard = shards.find(({ shard }) => shard.startsWith("engines"))!;
    return Object.values(shard.waiting_by_rank).some((count) => count > 0);
  });
}

function checkRanOnce(ended: CallResult): void {
  const found = JSON.stringify(ended.outcome);
  expect(ended.outcome, found).toMatchObject({ kind: "answered" });
  expect(listRuns(fleet.engines, ended.requestId!)).toHaveLength(1);
}

it("a VM paused with a queued request sends it in its turn", async () => {
  const { owner, paused, other } = await findRoles();
  const peak = PeakMonitor.create(fleet.engines);
  const first = sendChat(other.port, { tokens: 100, name: "first" });
  await waitUntil("the first to run", EVENT_MS, () => getRunning() === 1);
  const queued = sendChat(paused.port, { tokens: 20, name: "queued" });
  await waitForWaiter(owner);
  paused.stop();
  await first;
  const second = sendChat(other.port, { tokens: 300, name: "second" });
  await sleep(PAST_FIRST_LEASE_MS);
  expect(getRunning()).toBe(1);
  paused.resume();
  checkRanOnce(await queued);
  checkRanOnce(await second);
  checkRanOnce(await first);
  peak.stop();
  expect(peak.peak).toBe(1);
});

it("a VM paused after the grant does not send under the expired lease", async () => {
  const { owner, paused, other } = await findRoles();
  const peak = PeakMonitor.create(fleet.engines);
  const leave = new AbortController();
  const first = sendChat(other.port, {
    tokens: 1_500,
    name: "leaver",
    signal: leave.signal,
  });
  await waitUntil("the first to run", EVENT_MS, () => getRunning() === 1);
  const granted = sendChat(paused.port, { tokens: 20, name: "granted" });
  await waitForWaiter(owner);
  // The owner holds the paused VM's call and answers it with the grant, which
  // stays in the socket's buffer until the VM resumes.
  paused.stop();
  leave.abort();
  await first;
  const second = sendChat(other.port, { tokens: 300, name: "after-lapse" });
  await sleep(PAST_FIRST_LEASE_MS);
  await waitUntil("the second to run", EVENT_MS, () => getRunning() === 1);
  paused.resume();
  checkRanOnce(await granted);
  checkRanOnce(await second);
  peak.stop();
  expect(peak.peak).toBe(1);
});

it("a VM paused while it streams delivers the complete answer", async () => {
  const { paused } = await findRoles();
  const requestId = await fetchRequestId(paused.port);
  const streamed = sendChat(paused.port, {
    tokens: 300,
    name: "streamed",
    requestId,
  });
  await waitUntil(
    "the stream's middle",
    EVENT_MS,
    () => countTokens(requestId) > 50,
  );
  paused.stop();
  await sleep(PAST_LEASES_MS);
  paused.resume();
  const ended = await streamed;
  // The tokens generated meanwhile are in the buffers: a second run would be
  // wasted work.
  checkRanOnce(ended);
});

it("a VM paused while a hold runs reports its true status", async () => {
  const { paused, other } = await findRoles();
  const requestId = await fetchRequestId(other.port);
  const held = sendHold(paused.port, { name: "vehicle-1", requestId });
  await waitUntil("the hold to be sent", EVENT_MS, () => {
    return paused.readLog().includes(`request_id=${requestId} step=sent`);
  });
  await sleep(500);
  paused.stop();
  const meanwhile = await sendHold(other.port, {
    name: "vehicle-1",
    requestId,
  });
  await sleep(PAST_LEASES_MS);
  paused.resume();
  const ended = await held;
  const again = await sendHold(other.port, { name: "vehicle-1", requestId });
  expect(countExecutions(fleet.services, requestId)).toBe(1);
  for (const { outcome } of [meanwhile, ended, again]) {
    expect(outcome.kind).toMatch(/answered|refused/);
    expect(outcome).not.toMatchObject({ outcome: "not_run" });
  }
  expect(ended.outcome).toMatchObject({ kind: "answered" });
});

it("a resumed shard owner grants no slot that is in use", async () => {
  const { owner, other } = await findRoles();
  owner.stop();
  const others = fleet.vms.filter((vm) => vm !== owner);
  const next = await fleet.findOwner(
    "engines",
    others,
    (found) => found !== owner,
  );
  const peak = PeakMonitor.create(fleet.engines);
  const long = sendChat(other.port, { tokens: 300, name: "long" });
  await waitUntil("the next owner's grant", EVENT_MS, () => getRunning() === 1);
  expect(next).not.toBe(owner);
  owner.resume();
  const ended = await Promise.all(
    ["woken-1", "woken-2"].map((name) =>
      sendChat(owner.port, { tokens: 10, name })
    ),
  );
  for (const one of [...ended, await long]) checkRanOnce(one);
  peak.stop();
  expect(peak.peak).toBe(1);
});

it("a resumed issuer of ids lets each id run once", async () => {
  const { owner: issuer, paused: left, other: right } = await findRoles();
  const requestId = await fetchRequestId(issuer.port);
  issuer.stop();
  const first = await sendHold(left.port, { name: "vehicle-2", requestId });
  expect(first.outcome).toMatchObject({ kind: "refused", outcome: "unknown" });
  expect(countExecutions(fleet.services, requestId)).toBe(0);
  await sleep(PAST_FIRST_LEASE_MS);
  issuer.resume();
  const kinds = new Set<string>();
  await waitUntil("an answer", 60_000, async () => {
    const both = await Promise.all(
      [left, right].map((vm) =>
        sendHold(vm.port, { name: "vehicle-2", requestId })
      ),
    );
    for (const { outcome } of both) kinds.add(outcome.kind);
    return both.some(({ outcome }) => outcome.kind === "answered");
  });
  expect(countExecutions(fleet.services, requestId)).toBe(1);
  expect(kinds).not.toContain("unaccounted");
});

it("a resumed VM brings back no older configuration on any VM", async () => {
  const { paused } = await findRoles();
  paused.stop();
  const version = fleet.announceRecords({ requestsPerMinute: 999_999 });
  await sleep(PAST_LEASES_MS);
  paused.resume();
  await waitUntil("the version on every VM", EVENT_MS, async () => {
    const all = await Promise.all(fleet.vms.map((vm) => vm.fetchStatus()));
    return all.every((status) => status.config_version === version);
  });
  for (const vm of fleet.vms) {
    const { history } = await vm.fetchVersions();
    const versions = history.map((one) => one.version);
    expect(versions).toEqual([...versions].sort((a, b) => a - b));
  }
});
