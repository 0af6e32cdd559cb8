/**
 * Guards against `GET /v1/requests/ID` reporting "not_run" for a slot hold that
 * was answered. VM a issues the id and refuses the request (its limit was
 * spent), correctly as not run, which releases the claim; the caller resubmits
 * it to VM b, which runs it. VM a must not report its own refusal: a refused
 * execution releases the claim, so only the VM that issued the id knows who has
 * claimed it since.
 */
import { expect, it } from "vitest";
import type { RequestId } from "../../src/ids.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRunningStatus } from "../support/request_status_examples.ts";
import { FakePeers } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";

const clock = VirtualClock.create();

it("reports the execution elsewhere on the VM that issued and refused it", async () => {
  const { a, b, c } = buildVms();
  const id = a.claims.issueId();
  await runAt(a, id, "not_run");
  await runAt(b, id, "answered");
  for (const vm of [a, b, c]) {
    expect(await findOutcome(vm, id)).toBe("answered");
  }
});

it("reports the execution elsewhere on another VM that refused it", async () => {
  const { a, b, c } = buildVms();
  const id = a.claims.issueId();
  await runAt(b, id, "not_run");
  await runAt(c, id, "answered");
  for (const vm of [a, b, c]) {
    expect(await findOutcome(vm, id)).toBe("answered");
  }
});

it("reports not_run where no VM has run it since", async () => {
  const { a, b } = buildVms();
  const id = a.claims.issueId();
  await runAt(b, id, "not_run");
  expect(await findOutcome(b, id)).toBe("not_run");
});

it("does not report not_run once the issuer has lost its state", async () => {
  const { a, b, c, peers } = buildVms();
  const id = a.claims.issueId();
  await runAt(b, id, "not_run");
  await runAt(c, id, "answered");
  new RequestVm(clock, { vm: "vm-a", incarnation: "2", seed: 4, peers });
  await expect(findOutcome(b, id)).rejects.toThrow("no longer knows");
});

function buildVms() {
  const peers = new FakePeers();
  const build = (vm: string, seed: number) =>
    new RequestVm(clock, { vm, incarnation: "1", seed, peers });
  return {
    a: build("vm-a", 1),
    b: build("vm-b", 2),
    c: build("vm-c", 3),
    peers,
  };
}

async function runAt(
  vm: RequestVm,
  id: RequestId,
  outcome: "not_run" | "answered",
): Promise<void> {
  const claim = await vm.claims.claimExecution(id);
  expect(claim.kind).toBe("granted");
  vm.requestStatuses.start(buildRunningStatus(id));
  vm.requestStatuses.end(id, { outcome, code: undefined, tokens: 0 });
  vm.claims.settleExecution(id, outcome);
  await clock.run(1);
}

async function findOutcome(vm: RequestVm, id: RequestId) {
  const { fate } = await vm.finder.findStatus(id);
  return fate?.outcome;
}
