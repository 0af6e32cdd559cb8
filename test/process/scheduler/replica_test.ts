import { describe, expect, test } from "vitest";
import { type ClassName, toId } from "../../../src/ids.ts";
import { CacheIndex } from "../../../src/process/scheduler/cache_index.ts";
import {
  noteProbeFailed,
  updateEjections,
} from "../../../src/process/scheduler/ejection.ts";
import {
  MAX_REPORT_AGE_MS,
  Replica,
} from "../../../src/process/scheduler/replica.ts";
import {
  chooseReplica,
  type ReplicaRequirements,
} from "../../../src/process/scheduler/replica_choice.ts";
import { SlotLimit } from "../../../src/process/scheduler/slot_limit.ts";
import { buildReport } from "./fixtures.ts";

const SLOTS = { initial: 4, min: 2, max: 8 };
const CHAT = toId<ClassName>("chat");
const DOCUMENT = toId<ClassName>("document");

const REQUIREMENTS: ReplicaRequirements = {
  model: "model",
  adapter: undefined,
  prefixes: [],
  avoid: [],
  mayProbe: true,
  prefixAffinity: true,
};

function buildReplica(name: string): Replica {
  return Replica.create(toId(name), {
    slots: SLOTS,
    adaptive: true,
    useReports: true,
    now: 0,
  });
}

function buildReplicas(count: number): Replica[] {
  return Array.from(
    { length: count },
    (_, index) => buildReplica(`upstream-${index}`),
  );
}

function noteLatency(replica: Replica, ratio: number): void {
  for (let sample = 0; sample < 10; sample++) {
    replica.latency.noteFirstToken(ratio);
  }
}

describe("SlotLimit", () => {
  test("adds a slot while all are in use and latency is low", () => {
    const limit = SlotLimit.create(SLOTS, { adaptive: true });
    limit.noteFull();
    limit.noteRatio(CHAT, { ratio: 0.5, now: 1_000 });
    limit.update(1_000);
    expect(limit.slots).toBe(5);
  });

  test("adds no slot while some are free", () => {
    const limit = SlotLimit.create(SLOTS, { adaptive: true });
    limit.noteRatio(CHAT, { ratio: 0.5, now: 1_000 });
    limit.update(1_000);
    expect(limit.slots).toBe(4);
  });

  test.each([CHAT, DOCUMENT])(
    "removes a slot while only %s misses its target",
    (missing) => {
      const limit = SlotLimit.create(SLOTS, { adaptive: true });
      limit.noteFull();
      limit.noteRatio(CHAT, {
        ratio: missing === CHAT ? 1.5 : 0.1,
        now: 1_000,
      });
      limit.noteRatio(DOCUMENT, {
        ratio: missing === DOCUMENT ? 1.5 : 0.1,
        now: 1_000,
      });
      limit.update(1_000);
      expect(limit.slots).toBe(3);
    },
  );

  test("removes slots while cache memory runs out, down to the minimum", () => {
    const limit = SlotLimit.create(SLOTS, { adaptive: true });
    limit.noteReport({ cacheUsed: 0.99, waiting: 0 });
    for (let now = 1_000; now < 20_000; now += 1_000) limit.update(now);
    expect(limit.slots).toBe(SLOTS.min);
  });
});

describe("Replica", () => {
  // Guards against empty slots: requests end, and then an older report arrives.
  // Compared with the current ledger, the ended requests would count as
  // untracked ones.
  test("does not count requests that ended since a lagging report", () => {
    const replica = buildReplica("upstream-0");
    replica.setInUse(3, 1_000);
    replica.setInUse(0, 2_000);
    const report = buildReport({ running: 3 });
    replica.noteReport(report, { ageMs: 1_500, now: 3_000 });
    expect(replica.untracked).toBe(0);
    expect(replica.freeSlots).toBe(4);
  });

  test("reserves slots for requests that the ledger does not track", () => {
    const replica = buildReplica("upstream-0");
    replica.setInUse(1, 1_000);
    const report = buildReport({ running: 3 });
    replica.noteReport(report, { ageMs: 100, now: 2_000 });
    expect(replica.freeSlots).toBe(1);
    replica.update(2_000 + MAX_REPORT_AGE_MS + 1);
    expect(replica.freeSlots).toBe(3);
  });

  test("ignores the figures of a report above the maximum age", () => {
    const replica = buildReplica("upstream-0");
    const report = buildReport({ running: 4 });
    const ageMs = MAX_REPORT_AGE_MS + 1;
    replica.noteReport(report, { ageMs, now: 10_000 });
    expect(replica.freeSlots).toBe(4);
  });

  test("keeps a leaving notice when an older report arrives", () => {
    const replica = buildReplica("upstream-0");
    const leaving = buildReport({ leaving: true });
    replica.noteReport(leaving, { ageMs: 0, now: 1_000 });
    replica.noteReport(buildReport(), { ageMs: 500, now: 1_100 });
    expect(replica.leaving).toBe(true);
    expect(chooseReplica([replica], { requirements: REQUIREMENTS, now: 1_100 }))
      .toBeUndefined();
  });
});

describe("CacheIndex", () => {
  // Guards against slow first tokens on one replica: an eviction event is lost,
  // and requests with that prefix are still sent to the replica.
  test("is rebuilt after a gap", () => {
    const index = CacheIndex.create();
    index.applyEvents([
      { sequence: 1, prefix: "a", change: "stored" },
      { sequence: 2, prefix: "b", change: "stored" },
    ]);
    expect(index.computeOverlap(["a", "b"])).toBe(1);
    index.applyEvents([{ sequence: 4, prefix: "c", change: "stored" }]);
    expect(index.gaps).toBe(1);
    expect(index.computeOverlap(["a", "b"])).toBe(0);
    expect(index.computeOverlap(["c"])).toBe(1);
  });

  test("applies late and repeated events once, in order", () => {
    const index = CacheIndex.create();
    const stored = { sequence: 1, prefix: "a", change: "stored" } as const;
    const evicted = { sequence: 2, prefix: "a", change: "evicted" } as const;
    index.applyEvents([evicted, stored]);
    index.applyEvents([stored]);
    expect(index.computeOverlap(["a"])).toBe(0);
    expect(index.gaps).toBe(0);
  });

  test("is cleared when the engine has restarted", () => {
    const index = CacheIndex.create();
    index.applyEvents([{ sequence: 50, prefix: "a", change: "stored" }]);
    index.noteEngineSequence(40);
    expect(index.computeOverlap(["a"])).toBe(1);
    for (let report = 0; report < 8; report++) index.noteEngineSequence(3);
    expect(index.computeOverlap(["a"])).toBe(0);
  });
});

describe("chooseReplica", () => {
  test("prefers the replica that holds the prefix", () => {
    const replicas = buildReplicas(3);
    replicas[2]!.cache.noteRouted(["a", "b"]);
    const requirements = { ...REQUIREMENTS, prefixes: ["a", "b"] };
    expect(chooseReplica(replicas, { requirements, now: 0 })).toBe(
      replicas[2],
    );
  });

  // Guards against one full replica beside idle ones: prefix affinity without a
  // load bound sends all requests with a popular prefix to one replica.
  test("avoids a replica that is loaded far above the mean", () => {
    const replicas = buildReplicas(3);
    replicas[2]!.cache.noteRouted(["a"]);
    replicas[2]!.setInUse(3, 0);
    const requirements = { ...REQUIREMENTS, prefixes: ["a"] };
    expect(chooseReplica(replicas, { requirements, now: 0 })).not.toBe(
      replicas[2],
    );
  });

  test("requires the model and the adapter and skips replicas to avoid", () => {
    const replicas = buildReplicas(3);
    const other = buildReport({
      models: [{ model: "other", version: "1", adapters: [] }],
    });
    replicas[0]!.noteReport(other, { ageMs: 0, now: 0 });
    const requirements = { ...REQUIREMENTS, avoid: [replicas[1]!.id] };
    expect(chooseReplica(replicas, { requirements, now: 0 })).toBe(
      replicas[2],
    );
    const adapted = { ...requirements, adapter: "adapter" };
    replicas[2]!.noteReport(buildReport(), { ageMs: 0, now: 0 });
    expect(chooseReplica(replicas, { requirements: adapted, now: 0 }))
      .toBeUndefined();
  });
});

describe("updateEjections", () => {
  // Guards against a slow replica that stays in rotation: with four replicas, a
  // quarter of the requests would miss their targets.
  test("ejects a straggler, probes it and returns it to service", () => {
    const replicas = buildReplicas(4);
    for (const replica of replicas) noteLatency(replica, 0.3);
    noteLatency(replicas[0]!, 3);
    updateEjections(replicas, 0);
    expect(replicas[0]!.ejected).toBe(true);
    expect(chooseReplica(replicas, { requirements: REQUIREMENTS, now: 100 }))
      .not.toBe(replicas[0]);
    expect(chooseReplica(replicas, { requirements: REQUIREMENTS, now: 3_000 }))
      .toBe(replicas[0]);
    noteLatency(replicas[0]!, 0.3);
    updateEjections(replicas, 4_000);
    expect(replicas[0]!.ejected).toBe(false);
  });

  test("waits longer after each failed probe", () => {
    const replicas = buildReplicas(4);
    for (const replica of replicas) noteLatency(replica, 0.3);
    replicas[0]!.latency.noteFailure();
    replicas[0]!.latency.noteFailure();
    updateEjections(replicas, 0);
    const first = replicas[0]!.probeAt;
    noteProbeFailed(replicas[0]!, first);
    expect(replicas[0]!.probeAt - first).toBeGreaterThan(first);
  });

  test("keeps a minimum share of the replicas in service", () => {
    const replicas = buildReplicas(4);
    for (const replica of replicas) {
      replica.latency.noteFailure();
      replica.latency.noteFailure();
    }
    updateEjections(replicas, 0);
    expect(replicas.filter((replica) => !replica.ejected).length).toBe(2);
  });

  test("goes below the minimum share if failing replicas are silent", () => {
    const replicas = buildReplicas(3);
    for (const replica of replicas) {
      replica.latency.noteFailure();
      replica.missedPolls = 2;
    }
    updateEjections(replicas, 0);
    expect(replicas.filter((replica) => !replica.ejected).length).toBe(1);
  });
});
