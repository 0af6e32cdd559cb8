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
/** Crashes after which a request is known to cause them. */
const KNOWN_AFTER = 3;
/** What may still reach replicas once that is known. */
const ALLOWED_RETRIES = 3;
const REPEATS = 12;
/** Between a crash and the next repeat; news takes less. */
const REPEAT_EVERY_MS = 100;

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

/** VMs and replicas that crash under the poison request. */
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

/** Each replica that crashed is back, under a new id. */
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

/** Sends the poison again and again, at one VM after the other. */
async function sendRepeatedly(
  fleet: PlatformFleet,
  path = PATH,
  sendBeside: () => Promise<unknown> = () => Promise.resolve(),
): Promise<void> {
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const vm = fleet.vms[repeat % fleet.vms.length]!;
    await Promise.all([send({ vm, body: POISON, path }), sendBeside()]);
    await replaceCrashed(fleet);
    await sleep(REPEAT_EVERY_MS);
  }
}

function countPoisonRuns(fleet: PlatformFleet): number {
  return fleet.replicas
    .flatMap(({ ran, isPoison }) => ran.filter((call) => isPoison(call)))
    .length;
}

// Seen: model replicas ended one after the other, up to three in a second, and
// callers of a class got 502 until the waves of endings were over.
// How it came about: one request ended the replica that began it, its VM sent
// it on to another, and its caller sent it again at other VMs.
// Cause: what a request had done to a replica was forgotten with its attempt:
// the next one had another id, mostly at another VM.
// Proof: each ending struck one request that had just begun, of one workspace;
// with method, path, caller and body remembered the waves stay away.
it("a request that crashes replicas is kept from them soon", async () => {
  const fleet = await createPoisonedFleet(3);
  await sendRepeatedly(fleet);
  expect(countPoisonRuns(fleet))
    .toBeLessThanOrEqual(KNOWN_AFTER + ALLOWED_RETRIES);
});

it("it is kept from them by a fleet whose owners place requests", async () => {
  const fleet = await createPoisonedFleet(14);
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === 14)
  );
  await sendRepeatedly(fleet);
  expect(countPoisonRuns(fleet))
    .toBeLessThanOrEqual(KNOWN_AFTER + ALLOWED_RETRIES);
});

it("it is kept from them by a VM that starts after it was known", async () => {
  const fleet = await createPoisonedFleet(3);
  await sendRepeatedly(fleet);
  const before = countPoisonRuns(fleet);
  const fresh = await fleet.addVm();
  await waitUntil(() => fresh.vm.listEntries().length === 4);
  await sleep(REPEAT_EVERY_MS);
  const answer = await send({ vm: fresh, body: POISON });
  // Nothing of this attempt was sent, and its caller is told so.
  expect(answer.status).toBe(503);
  expect(Number(answer.headers["retry-after"])).toBeGreaterThan(1);
  expect(countPoisonRuns(fleet)).toBe(before);
});

for (const path of ["/safe/x", "/unsafe/x", "/stream/x"]) {
  it(`it is kept from them on ${path}`, async () => {
    const fleet = await createPoisonedFleet(3, path);
    await sendRepeatedly(fleet, path);
    expect(countPoisonRuns(fleet))
      .toBeLessThanOrEqual(KNOWN_AFTER + ALLOWED_RETRIES);
  });
}

it("what shares path, caller or body with it is served", async () => {
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

// Guards against taking all that was in flight at a crash for its cause.
it("what was cut beside it again and again is served", async () => {
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

// Guards against taking a replica that resets connections for one that ends.
it("what replicas reset that live on is sent again", async () => {
  const fleet = await PlatformFleet.create({ replicas: 4 });
  const call = { vm: fleet.vms[0]!, body: "harmless", path: "/safe/x" };
  fleet.replicas.forEach((replica) => replica.mode = "reset");
  for (let repeat = 0; repeat < 4; repeat++) await send(call);
  fleet.replicas.forEach((replica) => replica.mode = "answer");
  expect((await send(call)).status).toBe(200);
});
