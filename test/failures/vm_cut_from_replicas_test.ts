import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { FakeLog } from "../support/request_fakes.ts";
import type { LinkCut } from "../support/cuttable_links.ts";
import { PlatformFleet, sendRequest } from "../platform/platform_fleet.ts";

const VMS = 8;
const REPLICAS = 6;
/** Requests from this long after the cut count. */
const SETTLE_MS = 2_500;
const CUT_MS = 4_500;
const SEND_GAP_MS = 8;
/** Share of the others' success that callers of cut VMs must have. */
const MIN_SHARE = 0.97;
const PATHS = ["/safe/x", "/unsafe/x", "/stream/x", "/restream/x"];

interface Sent {
  isCut: boolean;
  isCounted: boolean;
  isServed: boolean;
}

/** Sends requests to all VMs in turn while `cut` of them are cut off. */
async function runCut(
  fleet: PlatformFleet,
  { count, how }: { count: number; how: LinkCut },
): Promise<Sent[]> {
  const cut = fleet.vms.slice(0, count);
  const startedAt = performance.now();
  cut.forEach(({ links }) => links.cut(how));
  const answers: Promise<Sent>[] = [];
  for (let sent = 0; performance.now() < startedAt + CUT_MS; sent++) {
    const vm = fleet.vms[sent % VMS]!;
    const isCounted = performance.now() > startedAt + SETTLE_MS;
    const path = PATHS[Math.floor(sent / VMS) % PATHS.length]!;
    answers.push(
      sendRequest(vm, { path, body: `body-${sent}` }).then((answer) => ({
        isCut: cut.includes(vm),
        isCounted,
        isServed: answer.status === 200 && answer.isWhole,
      })),
    );
    await sleep(SEND_GAP_MS);
  }
  return await Promise.all(answers);
}

function computeServedShare(sent: readonly Sent[], isCut: boolean): number {
  const counted = sent.filter((each) => each.isCounted && each.isCut === isCut);
  return counted.filter(({ isServed }) => isServed).length / counted.length;
}

function countMostRuns(fleet: PlatformFleet, path: string): number {
  const counts = new Map<string, number>();
  for (const { ran } of fleet.replicas) {
    for (const call of ran.filter((each) => each.path === path)) {
      const id = call.headers["x-request-id"]!;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  return Math.max(0, ...counts.values());
}

async function createFleet(logs: readonly FakeLog[]): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: REPLICAS, vms: 0 });
  for (const log of logs) await fleet.addVm({ log });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === VMS)
  );
  return fleet;
}

/** What callers and replicas saw of one cut. */
async function runAndCount(how: LinkCut, count: number): Promise<object> {
  const logs = Array.from({ length: VMS }, () => new FakeLog());
  const fleet = await createFleet(logs);
  const sent = await runCut(fleet, { count, how });
  const others = computeServedShare(sent, false);
  const ejections = logs.slice(count).flatMap(({ lines }) => lines)
    .filter(({ event }) => event === "replica_ejected");
  await Promise.all(fleet.vms.map(({ vm }) => vm.stop()));
  return {
    how,
    count,
    areOthersServed: others >= MIN_SHARE,
    areCutServed: computeServedShare(sent, true) >= MIN_SHARE * others,
    ejectionsAtOthers: ejections.length,
    mostRunsOfCalls: countMostRuns(fleet, "/unsafe/x"),
    mostRunsOfStreams: countMostRuns(fleet, "/stream/x"),
  };
}

// Guards against requests that are refused by the VM that they reached, which has
// lost its paths to the replicas, while other VMs are answered by them, and
// against sound replicas that no VM uses because some have lost their paths.
it("VMs cut off from all replicas serve like the others", async () => {
  const seen: object[] = [];
  const wanted: object[] = [];
  for (const how of ["reset", "silent", "refuse_new"] as const) {
    for (const count of [1, 5, 7]) {
      seen.push(await runAndCount(how, count));
      wanted.push({
        how,
        count,
        areOthersServed: true,
        areCutServed: true,
        ejectionsAtOthers: 0,
        mostRunsOfCalls: 1,
        mostRunsOfStreams: 1,
      });
    }
  }
  expect(seen).toEqual(wanted);
}, 120_000);
