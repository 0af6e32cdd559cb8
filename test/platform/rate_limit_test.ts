import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import type { TestAnswer } from "./caller_call.ts";
import { PlatformFleet, sendRequest } from "./platform_fleet.ts";

const LIMIT_PER_S = 2;
const WINDOW_MS = 4_000;
/** What a replica may get in a window: half as much again, and five. */
const MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;
/** VMs have told each other of a limit by then. */
const KNOWN_AFTER_MS = 500;
const SENT_PER_S = 40;
const MS_PER_SECOND = 1_000;

/** Sends at one VM after the other for `ms`; gives the answers. */
async function sendFor(
  fleet: PlatformFleet,
  ms: number,
): Promise<TestAnswer[]> {
  const answers: Promise<TestAnswer>[] = [];
  const until = performance.now() + ms;
  for (let sent = 0; performance.now() < until; sent++) {
    const vm = fleet.vms[sent % fleet.vms.length]!;
    answers.push(sendRequest(vm, { path: "/safe/x" }));
    await sleep(MS_PER_SECOND / SENT_PER_S);
  }
  return await Promise.all(answers);
}

/** The most of `times` that lie in one window. */
function countMost(times: readonly number[]): number {
  const counts = times.map((from) =>
    times.filter((at) => at >= from && at < from + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

/** VMs, and three replicas of which the first names a limit. */
async function createLimitedFleet(vms: number): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: 3, vms });
  fleet.replicas[0]!.extraHeaders = { "server-limit": String(LIMIT_PER_S) };
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === vms)
  );
  return fleet;
}

for (const vms of [4, 14]) {
  // Guards against placing requests as ever at a replica that names a limit,
  // and against each VM using the whole of it.
  it(`a replica gets what it takes from ${vms} VMs together`, async () => {
    const fleet = await createLimitedFleet(vms);
    await sendFor(fleet, KNOWN_AFTER_MS);
    const knownAt = performance.now();
    await sendFor(fleet, WINDOW_MS + MS_PER_SECOND);
    const times = fleet.replicas[0]!.seenAt.filter((at) => at > knownAt);
    expect(countMost(times)).toBeLessThanOrEqual(MOST_IN_WINDOW);
  }, 15_000);
}
