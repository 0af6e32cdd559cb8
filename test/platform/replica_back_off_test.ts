import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { listPartitionOwners } from "../../src/process/seeded_fleet/index.ts";
import { waitUntil } from "../support/loopback.ts";
import { PlatformFleet } from "./platform_fleet.ts";
import type { ReplicaStandIn } from "./replica_stand_in.ts";
import { sendFor } from "./steady_calls.ts";

const BACK_OFF_S = 3;
const MS_PER_SECOND = 1_000;
/** Requests in flight may still arrive this long after a refusal. */
const IN_FLIGHT_MS = 500;
/** Requests that one VM may still send to a replica during its back-off. */
const MAX_REPEATS = 2;

function setFull(replica: ReplicaStandIn): void {
  replica.mode = "shed";
  replica.extraHeaders = { "retry-after": String(BACK_OFF_S) };
}

function setFree(replica: ReplicaStandIn): void {
  replica.mode = "answer";
  replica.extraHeaders = {};
}

/** Number of requests that reached a replica during its back-off. */
function countRepeats({ seenAt }: ReplicaStandIn): number {
  const from = seenAt[0]! + IN_FLIGHT_MS;
  const to = seenAt[0]! + BACK_OFF_S * MS_PER_SECOND;
  return seenAt.filter((at) => at > from && at < to).length;
}

for (const full of [1, 2]) {
  // Guards against requests to a replica before its retry-after has passed, in
  // particular if most of a pool is full, where no replica is ejected.
  it(`a VM backs off from ${full} of three replicas`, async () => {
    const fleet = await PlatformFleet.create({ replicas: 3 });
    const fullReplicas = fleet.replicas.slice(0, full);
    fullReplicas.forEach(setFull);
    // One request may be refused by both before the VM knows that they are full.
    await sendFor(fleet.vms, IN_FLIGHT_MS);
    const answers = await sendFor(
      fleet.vms,
      BACK_OFF_S * MS_PER_SECOND - 2 * IN_FLIGHT_MS,
    );
    // At the end of the back-off they are full again.
    await sendFor(fleet.vms, IN_FLIGHT_MS);
    for (const replica of fullReplicas) {
      expect(countRepeats(replica)).toBeLessThanOrEqual(MAX_REPEATS);
    }
    expect(answers.map(({ status }) => status))
      .toEqual(answers.map(() => 200));
  }, 15_000);
}

// Guards against an owner that places requests by the refusals that only it has
// received.
it("a VM backs off if other VMs place its requests", async () => {
  const fleet = await PlatformFleet.create({ replicas: 3, vms: 14 });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === 14)
  );
  const fullReplicas = fleet.replicas.slice(0, 2);
  fullReplicas.forEach(setFull);
  const candidates = fleet.vms
    .map(({ settings: { vm } }) => ({ vm, cores: 1, isPrimed: true }));
  const owners = listPartitionOwners("pools-0", candidates);
  const requester = fleet.vms
    .find(({ settings }) => !owners.includes(settings.vm))!;
  await sendFor([requester], BACK_OFF_S * MS_PER_SECOND);
  for (const replica of fullReplicas) {
    expect(countRepeats(replica)).toBeLessThanOrEqual(MAX_REPEATS);
  }
}, 15_000);

// Guards against a VM that forgets a back-off with the entry of the replica,
// which may expire and return while the replica goes on.
it("a VM backs off from a replica whose entry goes and returns", async () => {
  const fleet = await PlatformFleet.create({ replicas: 1 });
  const fullReplica = fleet.replicas[0]!;
  setFull(fullReplica);
  await sendFor(fleet.vms, IN_FLIGHT_MS);
  for (let returns = 0; returns < 4; returns++) {
    fleet.store.remove(`servers/${fullReplica.id}`);
    await sendFor(fleet.vms, IN_FLIGHT_MS / 2);
    fleet.listReplica(fullReplica);
    await sendFor(fleet.vms, IN_FLIGHT_MS / 2);
  }
  expect(countRepeats(fullReplica)).toBeLessThanOrEqual(MAX_REPEATS);
}, 15_000);

it("a replica gets its share again after its back-off", async () => {
  const fleet = await PlatformFleet.create({ replicas: 2 });
  const [fullReplica] = fleet.replicas;
  setFull(fullReplica!);
  await sendFor(fleet.vms, MS_PER_SECOND);
  setFree(fullReplica!);
  await sleep(BACK_OFF_S * MS_PER_SECOND);
  const before = fullReplica!.ran.length;
  await sendFor(fleet.vms, MS_PER_SECOND);
  expect(fullReplica!.ran.length - before).toBeGreaterThan(MAX_REPEATS);
}, 15_000);

it("refusals have retry-after if all replicas are in back-off", async () => {
  const fleet = await PlatformFleet.create({ replicas: 2 });
  fleet.replicas.forEach(setFull);
  const answers = await sendFor(fleet.vms, MS_PER_SECOND);
  expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([503]));
  const last = answers.at(-1)!;
  // At least the remaining back-off of the first replica.
  expect(Number(last.headers["retry-after"])).toBeGreaterThan(1.5);
  expect(fleet.replicas.flatMap(({ ran }) => ran)).toEqual([]);
  for (const { seen } of fleet.replicas) {
    expect(seen.length).toBeLessThanOrEqual(1 + MAX_REPEATS);
  }
});

it("an invalid retry-after fails no request", async () => {
  const fleet = await PlatformFleet.create({ replicas: 2 });
  const [fullReplica] = fleet.replicas;
  for (const value of ["-3", "soon", "9".repeat(400)]) {
    setFull(fullReplica!);
    fullReplica!.extraHeaders = { "retry-after": value };
    const answers = await sendFor(fleet.vms, MS_PER_SECOND / 4);
    expect(answers.every(({ status }) => status === 200)).toBe(true);
    setFree(fullReplica!);
  }
});
