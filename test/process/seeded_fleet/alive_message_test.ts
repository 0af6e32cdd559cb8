import { expect, it } from "vitest";
import { type DataCentre, toId, type VmId } from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import { ReplicaDirectory } from "../../../src/process/placement/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { FleetPeers } from "../../../src/process/seeded_fleet/fleet_peers.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../../src/process/seeded_fleet/fleet_message.ts";
import {
  PublishedStore,
  StateFollower,
} from "../../../src/process/seeded_fleet/index.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const PEER = toId<VmId>("vm-2");
const OLD_REVISION = 5;

/** Never answers. */
class SilentStore extends PublishedStore {
  override resumeFrom(): void {}

  override replaceBy(): void {}

  override fetchState(): Promise<never> {
    return new Promise(() => {});
  }

  override watch(): Promise<never> {
    return new Promise(() => {});
  }
}

function startFollower() {
  const clock = VirtualClock.create();
  const log = SilentLog.create();
  const peers = FleetPeers.create(clock, log);
  const replicas = ReplicaDirectory.create();
  replicas.apply({ revision: OLD_REVISION, replicas: [] });
  const known: number[] = [];
  const follower = StateFollower.create({
    vm: toId<VmId>("vm-1"),
    incarnation: toId("process-1"),
    clock,
    random: SeededRandom.create(1),
    log,
    store: new SilentStore(),
    createStore: () => new SilentStore(),
    peers,
    replicas,
    entryRenewalMs: 1_200,
    fetchFrom: (_peer, { list }) => {
      known.push(list.revision);
      return Promise.resolve({});
    },
    onSnapshot: () => {},
    onList: () => {},
    buildVersionRecord: () => undefined,
    onReplicas: () => {},
    onStoreLost: () => {},
    findLastSend: () => undefined,
  });
  peers.noteHeartbeat({
    kind: "heartbeat",
    vm: PEER,
    incarnation: toId("life-1"),
    sequence: 1,
    dataCentre: toId<DataCentre>("dc"),
    callers: "10.0.0.2:2",
    state: "10.0.0.2:3",
    isServing: true,
    isDraining: false,
    isPrimed: true,
    configVersion: 0,
    listRevision: OLD_REVISION,
    isStoreLost: false,
    listAgeMs: 0,
    nextMs: 150,
    heard: 1,
    cores: 1,
    sentAt: clock.now(),
    confirmed: [toId("life-1"), clock.now()],
  }, "10.0.0.2:1");
  follower.notePeer(peers.find(PEER)!);
  return { clock, peers, follower, known };
}

// Guards against a view that counts as the newest although it is not: the
// heartbeat that names the newer list was lost, and a message that confirms the
// heartbeat before it arrives.
it("a confirmation of a newer list does not confirm an older one", async () => {
  const { clock, peers, follower, known } = startFollower();
  await clock.run(1_000);
  const message = decodeMessage(encodeMessage({
    kind: "alive",
    vm: PEER,
    incarnation: toId("life-1"),
    sequence: 2,
    listAgeMs: 0,
    listRevision: OLD_REVISION + 1,
  }));
  if (message instanceof Error || message.kind !== "alive") throw message;
  follower.notePeer(peers.noteAlive(message)!);
  expect(follower.getListAgeMs()).toBe(1_000);
  expect(known).toEqual([OLD_REVISION]);
});
