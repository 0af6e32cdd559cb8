import { describe, expect, it } from "vitest";
import {
  type Incarnation,
  type PartKey,
  type PoolName,
  type RequestFingerprint,
  toId,
  type VmId,
} from "../../../src/ids.ts";
import type { RequestKeys } from "../../../src/process/crash_quarantine.ts";
import { PartTraffic, type PartTrafficOptions } from "./part_traffic.ts";
import { QuarantineFleet } from "./quarantine_fleet.ts";

const SEEDS = 8;
const POISON = { perSecond: 5, part: "bad", crashMs: 100, fromMs: 8_000 };
const RUN_MS = 30_000;
/** Crashes and time after which few requests with the part are sent. */
const KNOWN_CRASHES = 5;
const STABLE_WINDOW_MS = 3_000;
const MAX_LATE_SENDS = 3;
const SPREAD_MS = 3_000;
const POOL = toId<PoolName>("pool");

/** Sends of poison requests later than is allowed. */
function countLateSends({ poisonCrashes, poisonSends }: PartTraffic): number {
  const knownAt = (poisonCrashes[KNOWN_CRASHES - 1] ?? Infinity) +
    STABLE_WINDOW_MS;
  return poisonSends.filter((at) => at > knownAt).length;
}

/** Runs the traffic and lists parts that were held wrongly at any time. */
async function runWatched(
  traffic: PartTraffic,
  ms = RUN_MS,
): Promise<string[]> {
  const held = new Set<string>();
  const watch = () => {
    traffic.listWronglyHeld().forEach((each) => held.add(each));
    traffic.fleet.clock.startTimer(50, watch);
  };
  watch();
  await traffic.run(ms);
  return [...held];
}

function toPartKeys(index: number, parts: string[]): RequestKeys {
  return {
    fingerprint: toId<RequestFingerprint>(`request-${index}`),
    pool: POOL,
    parts: parts.map((part) => toId<PartKey>(`${POOL}/${part}`)),
  };
}

/** Crashes a replica under requests with these parts, one after the other. */
async function endUnder(
  fleet: QuarantineFleet,
  requests: string[][],
): Promise<void> {
  for (const [index, parts] of requests.entries()) {
    const sentAt = fleet.clock.now();
    await fleet.clock.run(200);
    const id = toId<VmId>(`i-${sentAt}-${index}`);
    void fleet.getQuarantine(index % 4).noteConnectionLoss(
      toPartKeys(sentAt + index, parts),
      { id, incarnation: toId<Incarnation>(id), hadOutput: false, sentAt },
    );
    await fleet.clock.run(30);
  }
  await fleet.clock.run(200);
}

/**
 * Crashes a replica under requests that share the part `first`, each of which is
 * sent again where it is named again.
 */
async function endUnderRepeated(
  fleet: QuarantineFleet,
  names: readonly string[],
): Promise<void> {
  for (const [index, name] of names.entries()) {
    const sentAt = fleet.clock.now();
    await fleet.clock.run(60);
    const id = toId<VmId>(`i-${index}`);
    void fleet.getQuarantine(0).noteConnectionLoss(
      toPartKeys(names.indexOf(name), ["first", name]),
      { id, incarnation: toId<Incarnation>(id), hadOutput: false, sentAt },
    );
    await fleet.clock.run(30);
  }
  await fleet.clock.run(200);
}

function listHeldAt(fleet: QuarantineFleet, vm: number): string[][] {
  return fleet.getQuarantine(vm).parts.listHolds()
    .map(({ part, company }) => [part, ...company].toSorted());
}

// Guards against ever new requests with one part that crash replica after
// replica, beside much sound work that each crash cuts off too.
describe("a part that crashes replicas under full work", () => {
  const situations: Record<string, Partial<PartTrafficOptions>> = {
    "is held in time": {},
    "is held in time with lost messages": { lossRate: 0.2 },
    "is held in time where it comes rarely": {
      poison: [{ ...POISON, perSecond: 0.5 }],
    },
  };
  for (const [name, options] of Object.entries(situations)) {
    for (let seed = 1; seed <= SEEDS; seed++) {
      it(`${name}, and no sound part is, seed ${seed}`, async () => {
        const traffic = PartTraffic.create({
          seed,
          poison: [POISON],
          ...options,
        });
        expect(await runWatched(traffic)).toEqual([]);
        expect(traffic.crashes.length).toBeGreaterThan(2);
        expect(countLateSends(traffic)).toBeLessThanOrEqual(MAX_LATE_SENDS);
      });
    }
  }
});

/** Requests with a part that is answered for a while, then crashes replicas. */
function createTurning(seed: number, replicas: number): PartTraffic {
  const kind = { firsts: 150, sessions: 500, firstMs: 60, streamMs: 740 };
  const traffic = PartTraffic.create({
    seed,
    vms: 4,
    replicas,
    kinds: [{ perSecond: 100 * replicas / 6, ...kind }],
    poison: [{
      perSecond: 1.4,
      part: "bad",
      crashMs: 20,
      fromMs: 1_000,
      turnsAtMs: POISON.fromMs,
    }],
  });
  traffic.fleet.clock.startTimer(
    POISON.fromMs,
    () => traffic.endReplicas(10, 1_900),
  );
  return traffic;
}

// Guards against a part that VMs had answers to: each crash of another cause made
// it look more like a popular part that is there by chance.
describe("a part that was in use turns bad beside other crashes", () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    it(`and is held in time, six replicas, seed ${seed}`, async () => {
      const traffic = createTurning(seed, 6);
      expect(await runWatched(traffic)).toEqual([]);
      expect(traffic.poisonCrashes.length).toBeGreaterThan(2);
      expect(countLateSends(traffic)).toBeLessThanOrEqual(MAX_LATE_SENDS);
    });
  }

  it("and is held in time, three replicas", async () => {
    const late: number[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      const traffic = createTurning(seed, 3);
      await traffic.run(RUN_MS);
      late.push(countLateSends(traffic));
    }
    expect(Math.max(...late)).toBeLessThanOrEqual(MAX_LATE_SENDS);
  });
});

// Guards against holding sound parts since many replicas crash for reasons of
// their own, and what they cut off is retried at the next ones.
describe("no part is held", () => {
  const series: Record<string, [count: number, gapMs: number]> = {
    "by a dozen crashes in series": [12, 300],
    "by a dozen crashes in a second": [12, 100],
    "by the crash of a rack": [6, 0],
  };
  for (const [name, [count, gapMs]] of Object.entries(series)) {
    for (let seed = 1; seed <= SEEDS; seed++) {
      it(`${name}, seed ${seed}`, async () => {
        const traffic = PartTraffic.create({ seed });
        traffic.fleet.clock.startTimer(
          POISON.fromMs,
          () => traffic.endReplicas(count, gapMs),
        );
        expect(await runWatched(traffic)).toEqual([]);
        expect(traffic.crashes).toHaveLength(count);
      });
    }
  }
});

// Guards against holding popular parts in a fleet that has just started: no VM
// had an answer to them yet, so they pass for parts that few requests have.
it("no popular part is held in a fleet that has just started", async () => {
  const kind = { firsts: 3, sessions: 30, firstMs: 20, streamMs: 60 };
  const held: string[] = [];
  for (let seed = 1; seed <= 40; seed++) {
    const traffic = PartTraffic.create({
      seed,
      replicas: 6,
      kinds: [{ perSecond: 100, ...kind }],
      poison: ["bad-1", "bad-2"].map((part) => {
        return { perSecond: 3, part, crashMs: 15, fromMs: 0 };
      }),
    });
    held.push(...await runWatched(traffic, 5_000));
  }
  expect(held).toEqual([]);
});

describe("evidence against parts", () => {
  // Guards against holding a popular part before any VM had an answer to it: two
  // bad requests that share it crash three replicas, and nothing clears it then.
  it("does not hold what two bad requests share in a new fleet", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    // The first request is retried by its VM, and crashes a second replica.
    await endUnderRepeated(fleet, ["bad", "bad", "other"]);
    for (let vm = 0; vm < 4; vm++) expect(listHeldAt(fleet, vm)).toEqual([]);
  });

  // Guards against a bad part that is never held, since few requests have it and
  // each of them is retried.
  it("holds what five crashes of two requests share", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    await endUnderRepeated(fleet, ["bad", "bad", "other", "other", "bad"]);
    const held = listHeldAt(fleet, 0).flat();
    expect(held).toContain(`${POOL}/first`);
  });

  // Guards against a request that crashes replicas beside a part that does: what
  // the part explains must not release the request for good.
  it("leaves a request held that also crashes replicas by itself", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    const poison = toPartKeys(-1, ["shared"]);
    for (let crash = 0; crash < 6; crash++) {
      const sentAt = fleet.clock.now();
      await fleet.clock.run(200);
      const id = toId<VmId>(`i-${crash}`);
      const replica = { id, incarnation: toId<Incarnation>(id), sentAt };
      // Both are at the first replicas, and the request alone at the last one.
      const cutOff = crash < 5
        ? [poison, toPartKeys(crash, [`${crash}`, "bad"])]
        : [poison];
      for (const keys of cutOff) {
        void fleet.getQuarantine(crash % 4)
          .noteConnectionLoss(keys, { ...replica, hadOutput: true });
      }
      await fleet.clock.run(30);
    }
    await fleet.clock.run(200);
    for (let vm = 0; vm < 4; vm++) {
      const { fingerprint } = poison;
      expect(fleet.getQuarantine(vm).getQuarantineMs(fingerprint))
        .toBeGreaterThan(0);
    }
  });

  it("holds those together that always came together", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    await endUnder(fleet, Array.from({ length: 5 }, () => ["a", "bad"]));
    for (let vm = 0; vm < 4; vm++) {
      expect(listHeldAt(fleet, vm)).toEqual([["pool/a", "pool/bad"]]);
    }
    const { parts } = fleet.getQuarantine(0);
    expect(parts.findHold(toPartKeys(0, ["a", "other"]))).toBeUndefined();
    expect(parts.findHold(toPartKeys(0, ["a", "bad"]))).toBeDefined();
  });

  it("is narrowed at all VMs by an answer to one of them", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    await endUnder(fleet, Array.from({ length: 5 }, () => ["a", "bad"]));
    const now = fleet.clock.now();
    fleet.getQuarantine(2).noteAnswered(toPartKeys(0, ["a"]), now);
    await fleet.clock.run(100);
    for (let vm = 0; vm < 4; vm++) {
      expect(listHeldAt(fleet, vm)).toEqual([["pool/bad"]]);
    }
  });

  it("is not cleared by an answer that began before the crashes", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    const beganAt = fleet.clock.now();
    await endUnder(
      fleet,
      Array.from({ length: 9 }, (_, at) => [`${at}`, "bad"]),
    );
    fleet.getQuarantine(1).noteAnswered(toPartKeys(0, ["bad"]), beganAt);
    await fleet.clock.run(100);
    expect(listHeldAt(fleet, 1)).toEqual([["pool/bad"]]);
  });

  // Guards against two parts of which each hides the other.
  it("holds two parts that crash replicas in turn", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    await endUnder(
      fleet,
      Array.from({ length: 16 }, (_, at) => [`${at}`, `bad-${at % 2}`]),
    );
    expect(listHeldAt(fleet, 3).toSorted()).toEqual([
      ["pool/bad-0"],
      ["pool/bad-1"],
    ]);
  });

  it("is known to a VM that starts, and to one that was cut off", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    fleet.isLinkDown = (from, to) => from === 3 || to === 3;
    await endUnder(
      fleet,
      Array.from({ length: 6 }, (_, at) => [`${at}`, "bad"])
        .filter((_, at) => at % 4 !== 3),
    );
    fleet.startVm(2);
    fleet.isLinkDown = () => false;
    await fleet.clock.run(SPREAD_MS);
    for (let vm = 0; vm < 4; vm++) {
      expect(listHeldAt(fleet, vm)).toEqual([["pool/bad"]]);
    }
  });

  // Guards against parts of innocent requests that push out the guilty one.
  it("is kept beside that against thousands of other parts", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    const many = (crash: number, request: number) =>
      Array.from({ length: 8 }, (_, part) => `${crash}-${request}-${part}`);
    for (let crash = 0; crash < 20; crash++) {
      const isBad = crash % 4 === 0;
      await endUnder(fleet, [isBad ? [`${crash}`, "bad"] : many(crash, 0)]);
      const id = toId<VmId>(`other-${crash}`);
      const replica = {
        id,
        incarnation: toId<Incarnation>(id),
        hadOutput: true,
        sentAt: fleet.clock.now(),
      };
      for (let request = 1; request <= 40; request++) {
        void fleet.getQuarantine(request % 4).noteConnectionLoss(
          toPartKeys(1_000 * crash + request, many(crash, request)),
          replica,
        );
      }
      await fleet.clock.run(50);
    }
    for (let crash = 0; crash < 6; crash++) {
      await endUnder(fleet, [[`again-${crash}`, "bad"]]);
    }
    for (let vm = 0; vm < 4; vm++) {
      expect(listHeldAt(fleet, vm)).toEqual([["pool/bad"]]);
    }
  });

  // Guards against a sound part that is kept from replicas for long, since too
  // little was known of it.
  it("is short where answers to others alone speak against it", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    const answer = async (parts: string[]) => {
      const beganAt = fleet.clock.now();
      await fleet.clock.run(300);
      for (let vm = 0; vm < 4; vm++) {
        const keys = toPartKeys(vm, parts);
        fleet.getQuarantine(vm).noteAnswered(keys, beganAt);
      }
    };
    await answer(["used", "other"]);
    for (let crash = 0; crash < 5; crash++) {
      const others = Array.from({ length: 10 }, (_, at) => `${crash}-${at}`);
      await endUnder(fleet, [["used", ...others]]);
      await answer(["other"]);
    }
    const { parts } = fleet.getQuarantine(0);
    const keys = toPartKeys(0, ["used", "next"]);
    expect(parts.findHold(keys)?.leftMs).toBeLessThanOrEqual(10_000);
    await fleet.clock.run(10_000);
    expect(parts.findHold(keys)).toBeUndefined();
  });

  it("costs nothing for requests without shared parts", async () => {
    const fleet = QuarantineFleet.create({ vms: 4 });
    await endUnder(fleet, Array.from({ length: 5 }, () => []));
    expect(fleet.getQuarantine(0).parts.countAccused()).toBe(0);
    expect(fleet.getQuarantine(0).listNews(12).reports).toEqual([]);
  });
});
