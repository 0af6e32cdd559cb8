import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import type { StandInCall } from "../../standin/http_stand_in.ts";
import { waitUntil } from "../support/loopback.ts";
import { buildConfiguration, KEY } from "./configurations.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";
import type { TestAnswer } from "./test_call.ts";

const PATH = "/restream/x";
const POISON = "poison";
const OTHER_KEY = "key-2";
/** Crashes after which a request is quarantined. */
const QUARANTINE_AFTER_CRASHES = 3;
/** Requests that may still reach replicas after that. */
const ALLOWED_RETRIES = 3;
const REPEATS = 12;
/** Interval between requests; updates reach all VMs within it. */
const REPEAT_INTERVAL_MS = 100;

interface Sending {
  vm: TestVm;
  body: string;
  path?: string;
  key?: string;
}

function isPoison(
  { path, headers, body }: StandInCall,
  poisonPath: string,
): boolean {
  return path === poisonPath && headers["x-tenant"] === "tenant-1" &&
    new TextDecoder().decode(body) === POISON;
}

/** Creates VMs and eight replicas that crash on the poison request. */
async function createPoisonedFleet(
  vms: number,
  path = PATH,
): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: 8, vms });
  for (const replica of fleet.replicas) {
    replica.isPoison = (call) => isPoison(call, path);
  }
  const configuration = buildConfiguration(2, { otherKeys: [OTHER_KEY] });
  fleet.store.put("op/config", configuration);
  return fleet;
}

function send({ vm, body, path, key }: Sending): Promise<TestAnswer> {
  return sendRequest(vm, {
    path: path ?? PATH,
    body,
    headers: { authorization: `Bearer ${key ?? KEY}` },
  });
}

/** Replaces each crashed replica by one with a new id. */
async function replaceCrashed(fleet: PlatformFleet): Promise<void> {
  const known = new Set(fleet.replicas.map(({ id }) => id));
  for (const { hasCrashed, id } of [...fleet.replicas]) {
    const nextId = `${id}-next`;
    if (!hasCrashed || known.has(nextId)) continue;
    fleet.store.remove(`servers/${id}`);
    const replica = await fleet.addReplica(nextId);
    replica.isPoison = fleet.replicas[0]!.isPoison;
  }
}

/** Sends the poison request repeatedly, to the VMs in turn. */
async function sendRepeatedly(
  fleet: PlatformFleet,
  path = PATH,
  sendOther: () => Promise<unknown> = () => Promise.resolve(),
): Promise<void> {
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const vm = fleet.vms[repeat % fleet.vms.length]!;
    await Promise.all([send({ vm, body: POISON, path }), sendOther()]);
    await replaceCrashed(fleet);
    await sleep(REPEAT_INTERVAL_MS);
  }
}

function countPoisonRuns(fleet: PlatformFleet): number {
  return fleet.replicas
    .flatMap(({ ran, isPoison }) => ran.filter((call) => isPoison(call)))
    .length;
}

// Guards against one request that crashes replica after replica, up to three per
// second, while other callers get 502. Its VM retries it at another replica, and
// its caller sends it again to other VMs under a new request id. It must be
// recognized by method, path, caller and body, across attempts and VMs.
it("a request that crashes replicas is quarantined", async () => {
  const fleet = await createPoisonedFleet(3);
  await sendRepeatedly(fleet);
  expect(countPoisonRuns(fleet))
    .toBeLessThanOrEqual(QUARANTINE_AFTER_CRASHES + ALLOWED_RETRIES);
});

it("it is quarantined in a fleet where owners place requests", async () => {
  const fleet = await createPoisonedFleet(14);
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === 14)
  );
  await sendRepeatedly(fleet);
  expect(countPoisonRuns(fleet))
    .toBeLessThanOrEqual(QUARANTINE_AFTER_CRASHES + ALLOWED_RETRIES);
});

it("it is quarantined by a VM that starts later", async () => {
  const fleet = await createPoisonedFleet(3);
  await sendRepeatedly(fleet);
  const before = countPoisonRuns(fleet);
  const fresh = await fleet.addVm();
  await waitUntil(() => fresh.vm.listEntries().length === 4);
  await sleep(REPEAT_INTERVAL_MS);
  const answer = await send({ vm: fresh, body: POISON });
  // Nothing was sent, and the refusal says so.
  expect(answer.status).toBe(503);
  expect(Number(answer.headers["retry-after"])).toBeGreaterThan(1);
  expect(countPoisonRuns(fleet)).toBe(before);
});

for (const path of ["/safe/x", "/unsafe/x", "/stream/x"]) {
  it(`it is quarantined on ${path}`, async () => {
    const fleet = await createPoisonedFleet(3, path);
    await sendRepeatedly(fleet, path);
    expect(countPoisonRuns(fleet))
      .toBeLessThanOrEqual(QUARANTINE_AFTER_CRASHES + ALLOWED_RETRIES);
  });
}

it("requests that share path, caller or body with it are served", async () => {
  const fleet = await createPoisonedFleet(2);
  await sendRepeatedly(fleet);
  for (const vm of fleet.vms) {
    const answers = await Promise.all([
      send({ vm, body: "harmless" }),
      send({ vm, body: POISON, key: OTHER_KEY }),
      send({ vm, body: POISON, path: `${PATH}y` }),
    ]);
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200]);
  }
});

// Guards against quarantining all requests in flight at a crash.
it("requests that were in flight at several crashes are served", async () => {
  const fleet = await createPoisonedFleet(3);
  const bodies = Array.from({ length: 10 }, (_, index) => `harmless-${index}`);
  const sendAll = (vm: TestVm) =>
    Promise.all(bodies.map((body) => send({ vm, body })));
  let next = 0;
  await sendRepeatedly(
    fleet,
    PATH,
    () => sendAll(fleet.vms[next++ % fleet.vms.length]!),
  );
  for (const vm of fleet.vms) {
    const answers = await sendAll(vm);
    expect(answers.map(({ isWhole }) => isWhole)).toEqual(
      bodies.map(() => true),
    );
  }
});

// Guards against taking a reset connection for a crash.
it("a request is served after connection resets without crashes", async () => {
  const fleet = await PlatformFleet.create({ replicas: 4 });
  const call = { vm: fleet.vms[0]!, body: "harmless", path: "/safe/x" };
  fleet.replicas.forEach((replica) => replica.mode = "reset");
  for (let repeat = 0; repeat < 4; repeat++) await send(call);
  fleet.replicas.forEach((replica) => replica.mode = "answer");
  expect((await send(call)).status).toBe(200);
});
