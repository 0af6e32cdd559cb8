/**
 * Guards against a false `not_run` in the refusal of a resubmitted request. A
 * caller gets a request id and submits the request, an engine starts it, and
 * the VM's process ends; its successor refuses the resubmission as `not_ready`
 * because it has no configuration yet. The outcome is about the request, not
 * about this submission: as long as the id's issuer has not been queried, an
 * earlier submission of the same id may have run.
 */
import { expect, it } from "vitest";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import {
  buildRequest,
  FakePeers,
  type FakeSink,
} from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";
import { answerJson } from "../support/scripted_engine.ts";

const clock = VirtualClock.create();

it("does not report not_run for an issued id before its issuer is queried", async () => {
  const { vm, id, fresh } = await runAndReplace();
  expect(vm.upstreams.calls).toHaveLength(1);
  const refused = await sendService(fresh, id);
  expect(refused.json.error).toMatchObject({
    code: "not_ready",
    outcome: "unknown",
    retry_after: 1,
  });
  expect(refused.headers["x-should-retry"]).toBe("false");
});

it("does not report not_run for a wrong key either", async () => {
  const { vm, id } = await runAndReplace();
  const refused = await sendService(vm, id, "nobody");
  expect(refused.json.error).toMatchObject({
    code: "unauthorized",
    outcome: "unknown",
  });
});

it("gives no retry time once the issuing process has ended", async () => {
  const { id, fresh } = await runAndReplace({ hasConfiguration: true });
  const refused = await sendService(fresh, id);
  expect(refused.json.error).toMatchObject({
    code: "fate_unknown",
    outcome: "unknown",
  });
  expect(refused.json.error.retry_after ?? null).toBeNull();
  expect(fresh.upstreams.calls).toHaveLength(0);
});

it("reports not_run without an id, and for a malformed id", async () => {
  const { fresh } = await runAndReplace();
  const plain = await sendService(fresh, undefined);
  expect(plain.json.error.outcome).toBe("not_run");
  expect((await sendService(fresh, "mine")).json.error.outcome).toBe("not_run");
});

async function runAndReplace(options = { hasConfiguration: false }) {
  const peers = new FakePeers();
  const vm = new RequestVm(clock, { vm: "vm-a", incarnation: "1", peers });
  vm.upstreams.answer = () => Promise.resolve(answerJson(200, { done: true }));
  const id = vm.claims.issueId();
  await sendService(vm, id);
  const fresh = new RequestVm(clock, { vm: "vm-a", incarnation: "2", peers });
  if (!options.hasConfiguration) fresh.snapshot = undefined;
  return { vm, id, fresh };
}

async function sendService(
  vm: RequestVm,
  id: string | undefined,
  key = "key-1",
): Promise<FakeSink> {
  const { sink, done } = vm.send(buildRequest("POST", "/services/booking/x", {
    headers: {
      authorization: `Bearer ${key}`,
      ...(id === undefined ? {} : { "x-request-id": id }),
    },
    body: {},
  }));
  await clock.run(1_000);
  await done;
  return sink;
}
