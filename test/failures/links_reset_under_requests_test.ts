import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import {
  PlatformFleet,
  sendRequest,
  type TestVm,
} from "../platform/platform_fleet.ts";

const VMS = 8;
const CUT_VMS = 3;
const REPLICAS = 6;
const REQUESTS = 30;
const ROUNDS = 3;
/** The calls of a round are running by then. */
const RUNNING_AFTER_MS = 250;
const CUT_MS = 500;

async function sendAll(vm: TestVm): Promise<number[]> {
  const answers = await Promise.all(
    Array.from(
      { length: REQUESTS },
      (_, index) =>
        sendRequest(vm, { path: "/safe/x", body: `innocent-${index}` }),
    ),
  );
  return answers.map(({ status }) => status);
}

// Guards against innocent requests that the whole fleet quarantines, because a VM
// that has lost its paths to the replicas takes these for crashed.
it("requests that ran while a VM's links were reset are served", async () => {
  const fleet = await PlatformFleet.create({ replicas: REPLICAS, vms: VMS });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === VMS)
  );
  const cut = fleet.vms.slice(0, CUT_VMS);
  for (const replica of fleet.replicas) replica.mode = "slow";
  for (let round = 0; round < ROUNDS; round++) {
    const sent = sendAll(cut[round]!);
    await sleep(RUNNING_AFTER_MS);
    cut.forEach(({ links }) => links.cut("reset"));
    await sleep(CUT_MS);
    cut.forEach(({ links }) => links.heal());
    await sent;
  }
  for (const replica of fleet.replicas) replica.mode = "answer";
  for (const vm of fleet.vms.slice(CUT_VMS)) {
    expect(await sendAll(vm)).toEqual(Array(REQUESTS).fill(200));
  }
}, 60_000);
