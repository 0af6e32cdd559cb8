/**
 * Guards against callers that find no serving VM, or get a wrong request
 * status, after one, half or all of the entry VMs were killed (SIGKILL) and
 * restarted, with the configuration service up or down. VMs persist nothing: a
 * new process has no configuration, no record of its former incarnation's
 * requests, and owns shards again at once.
 *
 * @module
 */
import { afterAll, afterEach, beforeAll, expect, inject, it } from "vitest";
import { sendCall } from "../../../demo/http_call.ts";
import {
  countExecutions,
  fetchRequestId,
  fetchRequestStatus,
  sendChat,
  sendHold,
} from "../../support/process_calls.ts";
import {
  ProcessFleet,
  waitUntil,
  waitUntilReady,
} from "../../support/process_fleet.ts";
import type { ProcessVm } from "../../support/process_vm.ts";

/** "Within seconds", including the start of several processes at once. */
const SERVING_TIMEOUT_MS = 15_000;
const EVENT_MS = 20_000;

let fleet: ProcessFleet;

beforeAll(async () => {
  fleet = await ProcessFleet.create({
    program: inject("daemonProgram"),
    vms: 4,
    engine: { baseMs: 10, perRunningMs: 0 },
    serviceDelayMs: 300,
  });
});

afterEach(async () => {
  fleet.platform.core.setFault("none");
  for (const vm of fleet.vms) if (vm.hasEnded) vm.start();
  await waitUntilReady(fleet.vms);
});

afterAll(() => fleet?.close());

async function destroyAll(vms: readonly ProcessVm[]): Promise<void> {
  await Promise.all(vms.map((vm) => vm.destroy()));
}

/** Resolves once every VM in `vms` has answered a chat. */
async function checkServing(vms: readonly ProcessVm[]): Promise<void> {
  await Promise.all(
    vms.map((vm) =>
      waitUntil(`${vm.id} to serve`, SERVING_TIMEOUT_MS, async () => {
        const ended = await sendChat(vm.port, { tokens: 3, name: vm.id });
        return ended.outcome.kind === "answered";
      })
    ),
  );
}

for (const service of ["up", "down"] as const) {
  for (const count of [1, 2]) {
    it(`${count} of 4 killed serve again with the service ${service}`, async () => {
      const killed = fleet.vms.slice(0, count);
      const left = fleet.vms.slice(count);
      if (service === "down") fleet.platform.core.setFault("down");
      await destroyAll(killed);
      await checkServing(left);
      for (const vm of killed) vm.start();
      await waitUntilReady(killed);
      await checkServing(fleet.vms);
    });
  }
}

it("all killed serve again with the service up", async () => {
  await destroyAll(fleet.vms);
  for (const vm of fleet.vms) vm.start();
  await waitUntilReady(fleet.vms);
  await checkServing(fleet.vms);
});

it("all killed with the service down refuse as not run until it is up", async () => {
  fleet.platform.core.setFault("down");
  await destroyAll(fleet.vms);
  for (const vm of fleet.vms) vm.start();
  const vm = fleet.vms[0]!;
  await waitUntil("the VM to answer", EVENT_MS, async () => {
    const call = { port: vm.ports.operators, method: "GET", path: "/healthz" };
    return (await sendCall(call)).kind === "whole";
  });
  const refused = await sendHold(vm.port, { name: "too-early" });
  expect(refused.outcome).toMatchObject({
    kind: "refused",
    outcome: "not_run",
    code: "not_ready",
  });
  expect(await vm.isReady()).toBe(false);
  fleet.platform.core.setFault("none");
  await waitUntilReady(fleet.vms);
  await checkServing(fleet.vms);
});

it("an id issued by an ended incarnation is unknown and never runs", async () => {
  const [issuer, other] = [fleet.vms[0]!, fleet.vms[1]!];
  const requestId = await fetchRequestId(issuer.port);
  const ran = await fetchRequestId(issuer.port);
  const first = await sendHold(other.port, { name: "once", requestId: ran });
  expect(first.outcome.kind).toBe("answered");
  await issuer.destroy();
  const whileGone = await sendHold(other.port, { name: "gone", requestId });
  issuer.start();
  await waitUntilReady([issuer]);
  const refused = [whileGone];
  for (const vm of [issuer, other]) {
    refused.push(await sendHold(vm.port, { name: "gone", requestId }));
    refused.push(await sendHold(vm.port, { name: "once", requestId: ran }));
  }
  for (const { outcome } of refused) {
    expect(outcome).toMatchObject({ kind: "refused", outcome: "unknown" });
  }
  expect(countExecutions(fleet.services, requestId)).toBe(0);
  expect(countExecutions(fleet.services, ran)).toBe(1);
});

it("requests in flight on a killed VM are reported as unknown, not as not run", async () => {
  const [issuer, runner, third] = fleet.vms;
  const requestId = await fetchRequestId(issuer!.port);
  const held = sendHold(runner!.port, { name: "in-hand", requestId });
  await waitUntil("the hold to be sent", EVENT_MS, () => {
    return runner!.readLog().includes(`request_id=${requestId} step=sent`);
  });
  await runner!.destroy();
  expect((await held).outcome.kind).toBe("unaccounted");
  const reporters = [issuer!, third!];
  for (const vm of reporters) {
    expect((await fetchRequestStatus(vm.port, requestId)).outcome).toBe(
      "unknown",
    );
  }
  runner!.start();
  await waitUntilReady([runner!]);
  for (const vm of [...reporters, runner!]) {
    expect((await fetchRequestStatus(vm.port, requestId)).outcome).toBe(
      "unknown",
    );
    const again = await sendHold(vm.port, { name: "in-hand", requestId });
    expect(again.outcome.kind).toBe("refused");
    expect(again.outcome).not.toMatchObject({ outcome: "not_run" });
  }
  expect(countExecutions(fleet.services, requestId)).toBe(1);
});

it("entries leave out a killed VM until it is back", async () => {
  const gone = fleet.vms[3]!;
  const left = fleet.vms.slice(0, 3);
  await gone.destroy();
  await waitUntil(
    "entries without the killed VM",
    SERVING_TIMEOUT_MS,
    async () => {
      const answers = await Promise.all(left.map((vm) => vm.fetchEntries()));
      return answers.every((entries) =>
        entries.length === 3 && entries.every(({ vm }) => vm !== gone.id)
      );
    },
  );
  gone.start();
  await waitUntilReady([gone]);
  await waitUntil("entries with it again", SERVING_TIMEOUT_MS, async () => {
    const answers = await Promise.all(left.map((vm) => vm.fetchEntries()));
    return answers.every((entries) => entries.some(({ vm }) => vm === gone.id));
  });
});
