/**
 * Symptom: `GET /v1/requests/ID` said "not_run" of a slot hold that its caller
 * had the whole answer of.
 *
 * Sequence: a caller took an id at VM a and submitted it there; VM a refused it
 * (its limit was spent), truthfully not run, and gave the id back. The caller
 * submitted it again at VM b, which ran it. Asked for its fate, VM a told of
 * its own refusal.
 *
 * Cause: a VM that had any record of a request answered from that record. A
 * refused run gives the id back, so its record is not the last word: only the
 * VM that issued the id knows who holds it since.
 */
import { expect, it } from "vitest";
import type { RequestId } from "../../src/ids.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRunningStatus } from "../support/request_status_examples.ts";
import { FakePeers } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";

const clock = VirtualClock.create();

it("tells of the run elsewhere at the VM that refused and issued it", async () => {
  const { a, b, c } = buildVms();
  const id = a.claims.issueId();
  await runAt(a, id, "not_run");
  await runAt(b, id, "answered");
  for (const vm of [a, b, c]) {
    expect(await findOutcome(vm, id)).toBe("answered");
  }
});

it("tells of the run elsewhere at another VM that refused it", async () => {
  const { a, b, c } = buildVms();
  const id = a.claims.issueId();
  await runAt(b, id, "not_run");
  await runAt(c, id, "answered");
  for (const vm of [a, b, c]) {
    expect(await findOutcome(vm, id)).toBe("answered");
  }
});

it("still tells not_run where nobody ran it since", async () => {
  const { a, b } = buildVms();
  const id = a.claims.issueId();
  await runAt(b, id, "not_run");
  expect(await findOutcome(b, id)).toBe("not_run");
});

it("does not tell not_run once the issuer has forgotten", async () => {
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
  vm.fates.start(buildRunningStatus(id));
  vm.fates.end(id, { outcome, code: undefined, tokens: 0 });
  vm.claims.settleExecution(id, outcome);
  await clock.run(1);
}

async function findOutcome(vm: RequestVm, id: RequestId) {
  const { fate } = await vm.finder.findStatus(id);
  return fate?.outcome;
}
