import { setTimeout as sleep } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { sendCall } from "./test_call.ts";
import { PartStorm, type SharedParts } from "./part_storm.ts";

const BAD = "bad";
const STORM_MS = 5_000;
/** Requests with the part that may reach replicas in all. */
const MAX_REACHED = 8;
/** Crashes after which no request with the part is sent any more. */
const KNOWN_CRASHES = 5;
/** Time in which what was under way at that crash ends. */
const UNDER_WAY_MS = 1_000;
const MIN_SERVED = 0.97;

function isBad(parts: SharedParts): boolean {
  return parts.includes(BAD);
}

/** Sound requests of three first parts and some sessions. */
function chooseSound(index: number): SharedParts {
  return [`first-${index % 3}`, `session-${index % 20}`];
}

/** Checks what reached replicas, and what sound callers got after that. */
function checkStorm(storm: PartStorm, since = -Infinity): void {
  const known = storm.crashes[KNOWN_CRASHES - 1] ?? storm.crashes.at(-1)!;
  const calmAt = known.at + UNDER_WAY_MS;
  expect(storm.crashes.length).toBeGreaterThan(2);
  expect(storm.countReached(undefined, since)).toBeLessThanOrEqual(MAX_REACHED);
  expect(storm.countReached(undefined, calmAt)).toBe(0);
  expect(storm.computeServed(calmAt)).toBeGreaterThanOrEqual(MIN_SERVED);
}

// Guards against a prompt part that crashes replica after replica in ever new
// requests, none of which is like one before.
it("requests with a part that crashes replicas are held", async () => {
  const storm = await PartStorm.create({ isBad });
  await storm.run(STORM_MS, {
    bad: (index) => [`first-${index % 3}`, BAD],
    sound: chooseSound,
  });
  checkStorm(storm);
});

// Guards against a crash series that takes the whole pool from sound requests
// with the same caller and first part.
it("sound requests that share its first part are served", async () => {
  const storm = await PartStorm.create({ isBad });
  await storm.run(STORM_MS, {
    bad: () => ["first", BAD],
    sound: (index) => ["first", `session-${index % 20}`],
  });
  checkStorm(storm);
});

describe("such a part is held", () => {
  const situations: Record<
    string,
    {
      bad: (index: number) => SharedParts;
      path?: string;
      eventGapMs?: number;
      eventsBeforeCrash?: number;
    }
  > = {
    "in the first place": { bad: (index) => [BAD, `session-${index % 20}`] },
    "at several places beside several others": {
      bad: (index) =>
        [
          [BAD, "first-1", `session-${index}`],
          [`first-${index % 3}`, BAD, `session-${index % 20}`],
          ["first-0", `session-${index % 20}`, BAD],
        ][index % 3]!,
    },
    "on a route that is not retried": {
      bad: (index) => [`first-${index % 3}`, BAD],
      path: "/stream/x",
    },
    "once its streams have begun": {
      bad: (index) => [`first-${index % 3}`, BAD],
      eventsBeforeCrash: 2,
    },
    "beside slow sound work": {
      bad: (index) => [`first-${index % 3}`, BAD],
      eventGapMs: 70,
    },
    "in requests with many parts": {
      bad: (index) => [
        ...Array.from({ length: 60 }, (_, part) => `part-${part % 7}-${part}`),
        BAD,
        `session-${index}`,
      ],
    },
    "in requests without any other": { bad: () => [BAD] },
  };
  for (const [name, { bad, ...options }] of Object.entries(situations)) {
    it(name, async () => {
      const storm = await PartStorm.create({ isBad, ...options });
      await storm.run(STORM_MS, { bad, sound: chooseSound });
      checkStorm(storm);
    });
  }

  it("after it was answered for a while", async () => {
    let isTurned = false;
    const storm = await PartStorm.create({
      isBad: (parts) => isTurned && isBad(parts),
    });
    const countBad = (since: number) => storm.countReached(isBad, since);
    const choose = (index: number) => [`first-${index % 3}`, BAD];
    await storm.run(2_000, { bad: choose, sound: chooseSound });
    const turnedAt = performance.now();
    expect(countBad(-Infinity)).toBeGreaterThan(MAX_REACHED);
    isTurned = true;
    await storm.run(STORM_MS, { bad: choose, sound: chooseSound });
    checkStorm(storm, turnedAt);
  });
});

// Guards against holding parts that never came without the bad one: no answer
// can have cleared them.
it("parts that came only beside it are served when they come alone", async () => {
  const storm = await PartStorm.create({ isBad });
  await storm.run(STORM_MS, {
    bad: () => ["beside-1", "beside-2", BAD],
    sound: chooseSound,
  });
  checkStorm(storm);
  for (const vm of storm.fleet.vms) {
    const { answer } = await storm.send(["beside-1", "beside-2"], vm);
    expect(answer.status).toBe(200);
  }
  const reached = storm.countReached();
  await storm.send(["other", BAD]);
  expect(storm.countReached()).toBe(reached);
});

// Guards against a VM that learns of the part by crashes of its own.
it("a VM that starts after the fifth crash sends no request with it", async () => {
  const storm = await PartStorm.create({ isBad });
  const bad = (index: number) => [`first-${index % 3}`, BAD];
  await storm.run(3_000, { bad, sound: chooseSound });
  const reached = storm.countReached();
  const fresh = await storm.fleet.addVm();
  const statuses = [];
  for (let index = 0; index < 20; index++) {
    statuses.push((await storm.send(bad(index), fresh)).answer.status);
  }
  expect(new Set(statuses)).toEqual(new Set([503]));
  expect(storm.countReached()).toBe(reached);
});

it("an operator releases a part at all VMs", async () => {
  let isMended = false;
  const storm = await PartStorm.create({
    isBad: (parts) => !isMended && isBad(parts),
  });
  const bad = (index: number) => [`first-${index % 3}`, BAD];
  await storm.run(3_000, { bad, sound: chooseSound });
  isMended = true;
  const [first] = storm.fleet.vms;
  const path = `/v1/quarantined-parts/pool/${BAD}`;
  const release = () =>
    sendCall(first!.settings.listeners.state, { method: "DELETE", path });
  expect((await storm.send(bad(0))).answer.status).toBe(503);
  expect((await release()).status).toBe(200);
  await sleep(200);
  for (const vm of storm.fleet.vms) {
    expect((await storm.send(bad(1), vm)).answer.status).toBe(200);
  }
  expect((await release()).status).toBe(404);
});

it("a second such part is held too, and the first stays held", async () => {
  const isEither = (parts: SharedParts) => isBad(parts) || isNext(parts);
  const isNext = (parts: SharedParts) => parts.includes("next");
  const storm = await PartStorm.create({ isBad: isEither });
  await storm.run(STORM_MS, {
    bad: (index) => [`first-${index % 3}`, BAD],
    sound: chooseSound,
  });
  checkStorm(storm);
  await storm.run(STORM_MS, {
    bad: (index) => [`first-${index % 3}`, index % 2 === 0 ? "next" : BAD],
    sound: chooseSound,
  });
  expect(storm.countReached(isNext)).toBeLessThanOrEqual(MAX_REACHED);
  expect(storm.countReached(isBad)).toBeLessThanOrEqual(MAX_REACHED);
});

it("two such parts at once are both held", async () => {
  const isEither = (parts: SharedParts) => isBad(parts) || isOther(parts);
  const isOther = (parts: SharedParts) => parts.includes("other");
  const storm = await PartStorm.create({ isBad: isEither });
  await storm.run(STORM_MS, {
    bad: (index) => [`first-${index % 3}`, index % 2 === 0 ? "other" : BAD],
    sound: chooseSound,
  });
  expect(storm.countReached(isOther)).toBeLessThanOrEqual(MAX_REACHED);
  expect(storm.countReached(isBad)).toBeLessThanOrEqual(MAX_REACHED);
});

// Guards against holding sound parts because of crashes of other causes.
it("a dozen crashes of other causes hold no part at any VM", async () => {
  const storm = await PartStorm.create({ isBad, eventGapMs: 70 });
  const end = async () => {
    for (let crash = 0; crash < 12; crash++) {
      await sleep(250);
      await storm.endReplica(storm.fleet.replicas[crash]!);
    }
  };
  await Promise.all([
    storm.run(STORM_MS, { bad: chooseSound, sound: chooseSound }),
    end(),
  ]);
  await sleep(1_000);
  for (const { settings } of storm.fleet.vms) {
    const status = await sendCall(settings.listeners.state, {
      method: "GET",
      path: "/v1/status",
    });
    expect(JSON.parse(status.body).quarantined_parts).toEqual([]);
  }
});
