import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import {
  computeListDigest,
} from "../../../src/process/placement/list_digest.ts";
import type { ReplicaList } from "../../../src/process/placement/index.ts";
import type { FleetHeartbeat } from "../../../src/process/seeded_fleet/fleet_message.ts";
import { FleetPeers } from "../../../src/process/seeded_fleet/fleet_peers.ts";
import { ListAgreement } from "../../../src/process/seeded_fleet/list_agreement.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildListedReplicas } from "../../support/listed_replicas.ts";
import { FakeLog } from "../../support/request_fakes.ts";

/** Longer than the six heartbeats that a live VM may miss. */
const SILENCE_MS = 60_001;
const PEER = toId<VmId>("vm-2");

function buildList(revision: number, replicas: number): ReplicaList {
  return { era: 1, revision, replicas: buildListedReplicas(replicas) };
}

function createAgreement() {
  const clock = VirtualClock.create();
  const log = new FakeLog();
  const peers = FleetPeers.create(clock, log);
  const agreement = ListAgreement.create({ clock, log, peers });
  let sequence = 0;
  /** A heartbeat of a VM that has `list`, or older software. */
  const noteHeartbeat = (
    list: ReplicaList,
    { vm = PEER, isOlder = false } = {},
  ) => {
    sequence += 1;
    const heartbeat = {
      kind: "heartbeat",
      vm,
      incarnation: toId("life"),
      sequence,
      nextMs: 10_000,
      listEra: list.era,
      listRevision: list.revision,
      ...(isOlder ? {} : { listDigest: computeListDigest(list) }),
    } as FleetHeartbeat;
    peers.noteHeartbeat(heartbeat, "10.0.0.2:1");
    agreement.noteHeartbeat(heartbeat);
  };
  return { clock, log, peers, agreement, noteHeartbeat };
}

// Guards against a difference that nobody notices, since both lists have one
// position.
it("a VM with another list of one position differs", async () => {
  const { clock, agreement, noteHeartbeat } = createAgreement();
  agreement.noteOwn(buildList(7, 3));
  noteHeartbeat(buildList(7, 3));
  expect(agreement.listDiffering()).toEqual([]);
  expect(agreement.listAgreeing()).toEqual([PEER]);
  noteHeartbeat(buildList(7, 2));
  await clock.run(200);
  noteHeartbeat(buildList(7, 2));
  expect(agreement.listDiffering()).toEqual([{ vm: PEER, forMs: 200 }]);
  expect(agreement.listAgreeing()).toEqual([]);
  noteHeartbeat(buildList(7, 3));
  expect(agreement.listDiffering()).toEqual([]);
});

// Guards against a difference that is never seen while entries change, since the
// two VMs never have the same position when one hears of the other.
it("a VM that is some lists behind is compared", () => {
  const { agreement, noteHeartbeat } = createAgreement();
  for (const revision of [7, 8, 9]) agreement.noteOwn(buildList(revision, 3));
  noteHeartbeat(buildList(7, 2));
  expect(agreement.listDiffering()).toHaveLength(1);
  noteHeartbeat(buildList(8, 3));
  expect(agreement.listDiffering()).toEqual([]);
});

it("lists of other positions, and VMs that tell none, are not compared", () => {
  const { agreement, noteHeartbeat } = createAgreement();
  agreement.noteOwn(buildList(7, 3));
  noteHeartbeat(buildList(8, 2));
  noteHeartbeat({ ...buildList(7, 2), era: 2 });
  noteHeartbeat(buildList(7, 2), { isOlder: true });
  expect(agreement.listDiffering()).toEqual([]);
  expect(agreement.listAgreeing()).toEqual([]);
});

it("a silent VM does not differ any more", async () => {
  const { clock, peers, agreement, noteHeartbeat } = createAgreement();
  agreement.noteOwn(buildList(7, 3));
  noteHeartbeat(buildList(7, 2));
  await clock.run(SILENCE_MS);
  expect(agreement.getDifferingMs()).toBe(SILENCE_MS);
  peers.checkSilence();
  expect(agreement.getDifferingMs()).toBe(0);
});

// Guards against VMs that count as differing by what this VM held before it was
// corrected.
it("comparisons with a list that was corrected don't count", () => {
  const { agreement, noteHeartbeat } = createAgreement();
  agreement.noteOwn(buildList(7, 2));
  noteHeartbeat(buildList(7, 3));
  agreement.noteOwn(buildList(7 + 2 ** -20, 3));
  expect(agreement.listDiffering()).toEqual([]);
  noteHeartbeat(buildList(7, 3));
  expect(agreement.listDiffering()).toEqual([]);
});

it("a difference that lasts is logged once, and its end", async () => {
  const { clock, log, agreement, noteHeartbeat } = createAgreement();
  agreement.noteOwn(buildList(7, 3));
  for (let index = 0; index < 10; index++) {
    noteHeartbeat(buildList(7, 2));
    noteHeartbeat(buildList(7, 3), { vm: toId("vm-3") });
    await clock.run(100);
  }
  noteHeartbeat(buildList(7, 3));
  expect(log.lines).toMatchObject([
    { event: "peer_heard" },
    { event: "peer_heard" },
    {
      event: "lists_differ",
      fields: { vms: "vm-2", count: 1, agreeing: 1, list_revision: 7 },
    },
    { event: "lists_agree", fields: { after_ms: 1_000 } },
  ]);
});
