import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { PlatformFleet, type TestVm } from "../platform/platform_fleet.ts";
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import { type CalledStream, sendStream } from "../platform/stream_caller.ts";

const VMS = 4;
const STREAMS = 60;
const EVENTS = 12;
const EVENT_GAP_MS = 20;
const REPLICAS_OF_A_VERSION = 3;
const START_GAP_MS = 10;
/** Share of the new streams' success that streams which go on must have. */
const MIN_SHARE = 0.97;

interface VersionedFleet {
  fleet: PlatformFleet;
  /** Version of each replica. */
  versions: Map<string, string>;
  /** Streams, by their caller's number, whose first try breaks. */
  isBroken: (stream: number) => boolean;
}

interface Played {
  streams: number;
  mixed: number;
  /** Streams of which the caller has events and which broke. */
  broken: number;
  /** Those of them that went on to their end. */
  wentOn: number;
}

async function createFleet(versions: string[]): Promise<VersionedFleet> {
  const fleet = await PlatformFleet.create({ replicas: 0, vms: 0 });
  const created: VersionedFleet = {
    fleet,
    versions: new Map(),
    isBroken: () => true,
  };
  for (const version of versions) await addReplicas(created, version);
  for (let count = 0; count < VMS; count++) await fleet.addVm();
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === VMS)
  );
  return created;
}

async function addReplicas(
  created: VersionedFleet,
  version: string,
): Promise<ReplicaStandIn[]> {
  const { fleet, versions } = created;
  const added: ReplicaStandIn[] = [];
  for (let index = 0; index < REPLICAS_OF_A_VERSION; index++) {
    const id = `${version}-${index}`;
    const replica = await fleet.addReplica(id, "pool", version);
    versions.set(id, version);
    replica.events = EVENTS;
    replica.eventGapMs = EVENT_GAP_MS;
    replica.isBroken = ({ headers, body }) =>
      headers["last-event-id"] === undefined &&
      created.isBroken(Number(Buffer.from(body).toString()));
    added.push(replica);
  }
  return added;
}

/** Calls streams one after the other; `vms` says where each try goes. */
async function runStreams(
  created: VersionedFleet,
  options: {
    path: string;
    vms: (stream: number) => (() => TestVm)[];
    pauseMs?: number;
    onBroken?: () => Promise<void> | void;
  },
): Promise<Played> {
  const calls: Promise<CalledStream>[] = [];
  for (let stream = 0; stream < STREAMS; stream++) {
    const vms = options.vms(stream);
    calls.push(sendStream({ ...options, id: String(stream), vms }));
    await sleep(START_GAP_MS);
  }
  return countStreams(created, await Promise.all(calls));
}

function countStreams(
  { versions }: VersionedFleet,
  streams: readonly CalledStream[],
): Played {
  const listVersions = ({ replicas }: CalledStream) =>
    new Set(replicas.map((each) => versions.get(each)));
  const broken = streams.filter(({ statuses, replicas }) =>
    replicas.length > 0 && (statuses.length > 1 || new Set(replicas).size > 1)
  );
  return {
    streams: streams.length,
    mixed: streams.filter((each) => listVersions(each).size > 1).length,
    broken: broken.length,
    wentOn: broken.filter(({ isWhole }) => isWhole).length,
  };
}

/** Every stream's first try at one VM in turn, the second at the next one. */
function chooseNext({ fleet }: VersionedFleet) {
  return (stream: number) => [
    () => fleet.vms[stream % VMS]!,
    () => fleet.vms[(stream + 1) % VMS]!,
  ];
}

const SITUATIONS: [string, () => Promise<Played>][] = [
  ["replicas break streams off and the VM goes on", async () => {
    const created = await createFleet(["v1", "v1.1"]);
    created.isBroken = (stream) => stream % 5 < 2;
    return runStreams(created, {
      path: "/restream/x",
      vms: (stream) => [() => created.fleet.vms[stream % VMS]!],
    });
  }],
  ["the caller takes its stream up at another VM", async () => {
    const created = await createFleet(["v1", "v1.1"]);
    const vms = chooseNext(created);
    return runStreams(created, { path: "/retake/stream", vms, pauseMs: 100 });
  }],
  ["the caller takes its stream up at once", async () => {
    const created = await createFleet(["v1", "v1.1"]);
    const vms = chooseNext(created);
    return runStreams(created, { path: "/retake/stream", vms });
  }],
  ["the VM that began the stream is stopped", async () => {
    const created = await createFleet(["v1", "v1.1"]);
    const [first, ...others] = created.fleet.vms;
    created.isBroken = () => false;
    const stopped = sleep(START_GAP_MS * STREAMS / 2).then(() =>
      first!.vm.stop()
    );
    const played = await runStreams(created, {
      path: "/retake/stream",
      vms: (stream) => [
        () => first!,
        () => others[stream % others.length]!,
      ],
    });
    await stopped;
    return played;
  }],
  ["it is taken up at a VM that has just started", async () => {
    const created = await createFleet(["v1", "v1.1"]);
    const { fleet } = created;
    let started: Promise<TestVm> | undefined;
    return runStreams(created, {
      path: "/retake/stream",
      vms: (stream) => [
        () => fleet.vms[stream % VMS]!,
        () => fleet.vms[VMS]!,
      ],
      onBroken: async () => void await (started ??= fleet.addVm()),
    });
  }],
  ["the other version appears only after streams began", async () => {
    const created = await createFleet(["v1"]);
    let added: Promise<unknown> | undefined;
    return runStreams(created, {
      path: "/retake/stream",
      vms: chooseNext(created),
      onBroken: async () => {
        added ??= addReplicas(created, "v1.1");
        await added;
        await waitUntil(() =>
          created.fleet.vms.every(({ vm }) =>
            vm.replicas.getList().replicas.length === 2 * REPLICAS_OF_A_VERSION
          )
        );
      },
    });
  }],
  ["it is taken up at a VM that reaches no replica", async () => {
    const created = await createFleet(["v1", "v1.1"]);
    const { fleet } = created;
    fleet.vms[0]!.links.cut("reset");
    return runStreams(created, {
      path: "/retake/stream",
      vms: (stream) => [
        () => fleet.vms[1 + stream % (VMS - 1)]!,
        () => fleet.vms[0]!,
      ],
    });
  }],
  ["it begins at a VM that reaches no replica", async () => {
    const created = await createFleet(["v1", "v1.1"]);
    const { fleet } = created;
    fleet.vms[0]!.links.cut("reset");
    return runStreams(created, {
      path: "/retake/stream",
      vms: (stream) => [
        () => fleet.vms[0]!,
        () => fleet.vms[1 + stream % (VMS - 1)]!,
      ],
    });
  }],
];

// Guards against streams that hold events of two software versions of a back end,
// which do not fit together, and against streams that are refused although
// replicas of their version serve.
it("a stream goes on only at the version that began it", async () => {
  const seen: object[] = [];
  const wanted: object[] = [];
  for (const [situation, play] of SITUATIONS) {
    const { mixed, broken, wentOn } = await play();
    seen.push({
      situation,
      mixed,
      areManyBroken: broken >= STREAMS / 4,
      doMostGoOn: wentOn >= MIN_SHARE * broken,
    });
    wanted.push({
      situation,
      mixed: 0,
      areManyBroken: true,
      doMostGoOn: true,
    });
  }
  expect(seen).toEqual(wanted);
}, 120_000);

// Guards against a guess where a stream's version is gone: it is refused as not
// run, and no replica of another version gets it.
it("a stream whose version is gone is refused as not run", async () => {
  const created = await createFleet(["v1", "v1.1"]);
  const { fleet, versions } = created;
  let listed: Promise<unknown> | undefined;
  const streams = await Promise.all(
    Array.from({ length: 20 }, (_, stream) =>
      sendStream({
        path: "/retake/stream",
        id: String(stream),
        vms: chooseNext(created)(stream),
        onBroken: async () => {
          listed ??= dropVersion(created, "v1");
          await listed;
        },
      })),
  );
  expect(countStreams(created, streams).mixed).toBe(0);
  for (const { replicas, statuses, isWhole } of streams) {
    const version = versions.get(replicas[0]!);
    expect(statuses).toEqual([200, version === "v1" ? 503 : 200]);
    expect(isWhole).toBe(version !== "v1");
  }
  expect(fleet.vms).toHaveLength(VMS);
});

/** Removes the entries of a version's replicas, which go on running. */
async function dropVersion(
  { fleet, versions }: VersionedFleet,
  version: string,
): Promise<void> {
  for (const [id, each] of versions) {
    if (each === version) fleet.store.remove(`servers/${id}`);
  }
  await waitUntil(() =>
    fleet.vms.every(({ vm }) =>
      vm.replicas.getList().replicas.length === REPLICAS_OF_A_VERSION
    )
  );
}

// Guards against a fleet that serves streams worse because it looks at versions
// although there is but one.
it("all streams go on where there is one version", async () => {
  const created = await createFleet(["v1"]);
  const vms = chooseNext(created);
  const played = await runStreams(created, { path: "/retake/stream", vms });
  expect(played)
    .toEqual({ streams: STREAMS, mixed: 0, broken: STREAMS, wentOn: STREAMS });
});
