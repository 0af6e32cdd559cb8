import { describe, expect, it } from "vitest";
import {
  type PoolName,
  type RequestId,
  type SoftwareVersion,
  toId,
  type WorkspaceName,
} from "../../../src/ids.ts";
import type {
  ListedReplica,
  ReplicaList,
} from "../../../src/process/placement/index.ts";
import type {
  FleetPeer,
  ListSource,
} from "../../../src/process/seeded_fleet/index.ts";
import type { StreamContent } from "../../../src/process/stream_origin_source.ts";
import { StreamOrigins } from "../../../src/process/stream_origins/index.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const POOL = toId<PoolName>("pool");
const V1 = toId<SoftwareVersion>("v1");
const V2 = toId<SoftwareVersion>("v2");
const RETENTION_MS = 30_000;
const DELAY_MS = 2;

interface TestFleet {
  clock: VirtualClock;
  vms: StreamOrigins[];
  /** Whether a message between two VMs, by index, gets lost. */
  isLost: (from: number, to: number) => boolean;
  /** Age of each VM's list. */
  ageMs: number[];
}

/** VMs that send each other messages, with a delay. */
function createFleet(count: number): TestFleet {
  const clock = VirtualClock.create();
  const fleet: TestFleet = {
    clock,
    vms: [],
    isLost: () => false,
    ageMs: new Array(count).fill(0),
  };
  const peers = fleet.ageMs.map((_, index) =>
    ({ heartbeat: { vm: `vm-${index}`, dataCentre: "dc-1" } }) as FleetPeer
  );
  const deliver = (from: number, to: number, handle: () => void) => {
    if (fleet.isLost(from, to)) return;
    clock.startTimer(DELAY_MS, handle);
  };
  for (let index = 0; index < count; index++) {
    fleet.vms.push(StreamOrigins.create({
      vm: peers[index]!.heartbeat.vm,
      clock,
      listPeers: () => peers.filter((_, each) => each !== index),
      send: (peer, message) => {
        const to = peers.indexOf(peer);
        deliver(index, to, () => {
          const receiver = fleet.vms[to]!;
          if (message.kind === "origin") {
            receiver.noteAnnounced(message);
            return;
          }
          const answer = receiver.answerQuery(message);
          deliver(to, index, () => fleet.vms[index]!.noteAnswer(answer));
        });
      },
      getListAgeMs: () => fleet.ageMs[index]!,
      getRetentionMs: () => RETENTION_MS,
    }));
  }
  return fleet;
}

const NO_CONTENT: StreamContent = {
  fingerprint: toId("fingerprint"),
  parts: [],
  promptTokens: 0,
  maxTokens: 0,
};

function buildContent(part: string): StreamContent {
  return { ...NO_CONTENT, parts: ["shared", part] };
}

function buildStream(id: string) {
  const workspace = toId<WorkspaceName>("workspace");
  return { workspace, requestId: toId<RequestId>(id) };
}

let lastVersions = "";
let lastRevision = 0;

/** A list with these versions; the same ones in a row are one list. */
function listVersions(...versions: string[]): [ReplicaList, ListSource] {
  if (versions.join() !== lastVersions) lastRevision += 1;
  lastVersions = versions.join();
  const list = { revision: lastRevision, replicas: listReplicas(versions) };
  return [list, { kind: "unknown" }];
}

function listReplicas(versions: readonly string[]): ListedReplica[] {
  return versions.map((version) => ({
    id: toId(version),
    pool: POOL,
    address: "127.0.0.1",
    port: 1,
    dataCentre: toId("dc-1"),
    slots: 1,
    state: "ready",
    version: toId(version),
  }));
}

/** Searches at VM `index` for a stream that was taken up now. */
async function findAt(
  fleet: TestFleet,
  index: number,
  stream: string | StreamContent,
) {
  const now = fleet.clock.now();
  const found = fleet.vms[index]!.find(
    typeof stream === "string" ? buildStream(stream) : stream,
    {
      pool: POOL,
      arrivedAt: now,
      deadlineAt: now + 10_000,
      signal: new AbortController().signal,
    },
  );
  await fleet.clock.run(2_000);
  return await found;
}

describe("the origin of a stream", () => {
  it("is known to all VMs that were told", async () => {
    const fleet = createFleet(4);
    fleet.vms[0]!.announce(buildStream("a"), NO_CONTENT, {
      pool: POOL,
      version: V1,
    });
    await fleet.clock.run(DELAY_MS);
    fleet.isLost = () => true;
    for (const index of [0, 1, 2, 3]) {
      expect(await findAt(fleet, index, "a"))
        .toMatchObject({ origin: { pool: POOL, version: V1 } });
    }
  });

  // Guards against streams that are refused because one message got lost.
  it("is found by asking where the message got lost", async () => {
    const fleet = createFleet(4);
    fleet.isLost = (_from, to) => to === 3;
    fleet.vms[0]!.announce(buildStream("a"), NO_CONTENT, {
      pool: POOL,
      version: V1,
    });
    await fleet.clock.run(DELAY_MS);
    let sent = 0;
    // The first query to each VM gets lost as well, and the first VM is gone.
    fleet.isLost = (from, to) =>
      from === 0 || to === 0 || from === 3 && (sent += 1) <= 3;
    const found = await findAt(fleet, 3, "a");
    expect(found).toMatchObject({ origin: { version: V1 } });
    expect(["vm-1", "vm-2"]).toContain(found!.knownBy);
  });

  // Guards against a guess: what nobody was told is refused while, or shortly
  // after, another version served.
  it("is unknown if nobody was told and there were two versions", async () => {
    const fleet = createFleet(3);
    fleet.vms.forEach((vm) => vm.noteList(...listVersions("v1", "v2")));
    await fleet.clock.run(RETENTION_MS);
    expect(await findAt(fleet, 0, "a")).toBeUndefined();
    expect(await findAt(fleet, 0, NO_CONTENT)).toBeUndefined();
    fleet.vms.forEach((vm) => vm.noteList(...listVersions("v1")));
    expect(await findAt(fleet, 0, "a")).toBeUndefined();
    await fleet.clock.run(RETENTION_MS);
    expect(await findAt(fleet, 0, "a"))
      .toEqual({
        origin: { pool: POOL, version: V1 },
        knownBy: "only_version",
      });
  });

  // Guards against a VM whose list lags: the stream's own VM may have had a newer
  // one, with another version, before it was lost.
  it("is unknown unless the list was confirmed since the request", async () => {
    const fleet = createFleet(2);
    fleet.vms.forEach((vm) => vm.noteList(...listVersions("v1")));
    await fleet.clock.run(RETENTION_MS);
    fleet.ageMs = [2_500, 2_500];
    expect(await findAt(fleet, 0, "a")).toBeUndefined();
    fleet.ageMs = [0, 0];
    expect(await findAt(fleet, 0, "a")).toMatchObject({
      knownBy: "only_version",
    });
  });

  // Guards against a VM that has just started and takes what is listed now for
  // all there was: the version that began the stream may have left.
  it("is unknown to a VM that has just started, however it is searched", async () => {
    const fleet = createFleet(1);
    const [vm] = fleet.vms;
    vm!.noteList(...listVersions("v1"));
    expect(await findAt(fleet, 0, NO_CONTENT)).toBeUndefined();
    expect(await findAt(fleet, 0, buildContent("a"))).toBeUndefined();
    expect(await findAt(fleet, 0, "a")).toBeUndefined();
    await fleet.clock.run(RETENTION_MS);
    const only = {
      origin: { pool: POOL, version: V1 },
      knownBy: "only_version",
    };
    expect(await findAt(fleet, 0, NO_CONTENT)).toEqual(only);
    expect(await findAt(fleet, 0, buildContent("a"))).toEqual(only);
    vm!.noteList(...listVersions("v1", "v2"));
    expect(await findAt(fleet, 0, NO_CONTENT)).toBeUndefined();
  });

  it("is told by others to a VM that has just started if nobody names it", async () => {
    const fleet = createFleet(2);
    fleet.vms[1]!.noteList(...listVersions("v1"));
    await fleet.clock.run(RETENTION_MS);
    fleet.vms[0]!.noteList(...listVersions("v1"));
    expect(await findAt(fleet, 0, NO_CONTENT)).toMatchObject({
      origin: { pool: POOL, version: V1 },
    });
  });

  // Guards against streams that are refused although a VM knows where they began,
  // because their callers know nothing of versions and name no request.
  it("is found by what the stream's request asks for", async () => {
    const fleet = createFleet(3);
    const origin = { pool: POOL, version: V1 };
    fleet.vms.forEach((vm) => vm.noteList(...listVersions("v1", "v2")));
    fleet.isLost = (_from, to) => to === 2;
    fleet.vms[0]!.announce(buildStream("a"), buildContent("a"), origin);
    await fleet.clock.run(DELAY_MS);
    fleet.isLost = () => false;
    for (const index of [0, 1, 2]) {
      expect(await findAt(fleet, index, buildContent("a")))
        .toMatchObject({ origin });
      expect(await findAt(fleet, index, buildContent("b"))).toBeUndefined();
    }
  });

  // Guards against a guess between two streams that ask for the same.
  it("is unknown if such streams began at different versions", async () => {
    const fleet = createFleet(2);
    fleet.vms.forEach((vm) => vm.noteList(...listVersions("v1", "v2")));
    for (const [index, version] of [V1, V2, V1].entries()) {
      const stream = buildStream(String(index));
      const origin = { pool: POOL, version };
      fleet.vms[0]!.announce(stream, buildContent("a"), origin);
      await fleet.clock.run(DELAY_MS);
    }
    for (const index of [0, 1]) {
      expect(await findAt(fleet, index, buildContent("a"))).toBeUndefined();
      expect(await findAt(fleet, index, "0"))
        .toMatchObject({ origin: { version: V1 } });
    }
  });

  // Guards against a stream that its caller does not name, and that goes on at
  // the version which is left a moment after another one was gone.
  it("is unknown while another version was listed lately", async () => {
    const fleet = createFleet(1);
    const [vm] = fleet.vms;
    vm!.noteList(...listVersions("v1", "v2"));
    await fleet.clock.run(1_000);
    vm!.noteList(...listVersions("v2"));
    await fleet.clock.run(1_000);
    expect(await findAt(fleet, 0, NO_CONTENT)).toBeUndefined();
    for (let each = 0; each < RETENTION_MS / 1_000; each++) {
      await fleet.clock.run(1_000);
      vm!.noteList(...listVersions("v2"));
    }
    expect(await findAt(fleet, 0, NO_CONTENT)).toBeDefined();
  });

  it("is told by others to a VM that has just started", async () => {
    const fleet = createFleet(3);
    fleet.vms.slice(1).forEach((vm) => vm.noteList(...listVersions("v1")));
    await fleet.clock.run(RETENTION_MS);
    fleet.ageMs[0] = -1;
    fleet.vms[0]!.noteList(...listVersions("v1"));
    fleet.ageMs[0] = 0;
    expect(await findAt(fleet, 0, "a")).toMatchObject({
      knownBy: "only_version",
    });
    // One that saw another version is enough.
    fleet.vms[2]!.noteList(...listVersions("v1", "v2"));
    expect(await findAt(fleet, 0, "a")).toBeUndefined();
  });

  // Guards against a VM that was out of step and tells of the one version that it
  // knows, while another one came and went.
  it("is not what a VM with an older list takes for the only version", async () => {
    const fleet = createFleet(2);
    const [starting, outOfStep] = fleet.vms;
    outOfStep!.noteList(...listVersions("v1"));
    await fleet.clock.run(RETENTION_MS);
    listVersions("v1", "v2");
    starting!.noteList(...listVersions("v1"));
    expect(await findAt(fleet, 0, "a")).toBeUndefined();
    outOfStep!.noteList(...listVersions("v1"));
    expect(await findAt(fleet, 0, "a")).toBeDefined();
  });

  // Guards against streams that are refused because a VM that was cut off for a
  // moment asked while nobody heard it.
  it("is found by asking again where nobody answered", async () => {
    const fleet = createFleet(3);
    fleet.vms.slice(1).forEach((vm) => vm.noteList(...listVersions("v1")));
    await fleet.clock.run(RETENTION_MS);
    fleet.vms[0]!.noteList(...listVersions("v1"));
    fleet.isLost = () => true;
    fleet.clock.startTimer(500, () => fleet.isLost = () => false);
    expect(await findAt(fleet, 0, "a")).toMatchObject({
      knownBy: "only_version",
    });
  });

  it("is that of the caller's own workspace", async () => {
    const fleet = createFleet(2);
    fleet.vms[0]!.announce(buildStream("a"), NO_CONTENT, {
      pool: POOL,
      version: V1,
    });
    const workspace = toId<WorkspaceName>("other");
    const other = { ...buildStream("a"), workspace };
    fleet.vms[1]!.announce(other, NO_CONTENT, { pool: POOL, version: V2 });
    await fleet.clock.run(DELAY_MS);
    expect(await findAt(fleet, 1, "a"))
      .toMatchObject({ origin: { version: V1 } });
  });

  it("is forgotten when the stream cannot be taken up any more", async () => {
    const fleet = createFleet(1);
    const origin = { pool: POOL, version: V1 };
    fleet.vms[0]!.announce(buildStream("a"), NO_CONTENT, origin);
    await fleet.clock.run(RETENTION_MS + 1);
    fleet.vms[0]!.announce(buildStream("b"), NO_CONTENT, origin);
    expect(fleet.vms[0]!.size).toBe(1);
  });
});
