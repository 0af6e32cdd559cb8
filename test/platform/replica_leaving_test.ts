import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import type { TestAnswer } from "./caller_call.ts";
import { PlatformFleet, sendRequest } from "./platform_fleet.ts";

/** What a replica that leaves may still get after it has said so. */
const DRAIN_MS = 2_000;
const SEND_EVERY_MS = 20;
const LEAVING = { "server-leaving": "1" };

/** Sends at one VM after the other for `ms`; gives the answers. */
async function sendFor(
  fleet: PlatformFleet,
  ms: number,
  path = "/safe/x",
): Promise<TestAnswer[]> {
  const answers: Promise<TestAnswer>[] = [];
  const until = performance.now() + ms;
  for (let sent = 0; performance.now() < until; sent++) {
    const vm = fleet.vms[sent % fleet.vms.length]!;
    answers.push(sendRequest(vm, { path }));
    await sleep(SEND_EVERY_MS);
  }
  return await Promise.all(answers);
}

/** VMs that the store does not answer, before three replicas. */
async function createFleet(vms: number): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: 3, vms });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === vms)
  );
  fleet.store.mode = "silent";
  fleet.store.destroyConnections();
  return fleet;
}

for (const vms of [4, 14]) {
  // Guards against going by the list alone while the store is away.
  it(`${vms} VMs send nothing to a replica that said it leaves`, async () => {
    const fleet = await createFleet(vms);
    const [leaving] = fleet.replicas;
    leaving!.extraHeaders = LEAVING;
    await sendFor(fleet, DRAIN_MS / 2);
    await sleep(DRAIN_MS);
    const before = leaving!.seen.length;
    expect(before).toBeGreaterThan(0);
    const answers = await sendFor(fleet, DRAIN_MS);
    expect(leaving!.seen.length - before).toBe(0);
    expect(answers.map(({ status }) => status))
      .toEqual(answers.map(() => 200));
  }, 15_000);
}
