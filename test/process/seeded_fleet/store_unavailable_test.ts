import { describe, expect, it } from "vitest";
import { type DataCentre, toId, type VmId } from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import { ReplicaDirectory } from "../../../src/process/placement/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { FleetPeers } from "../../../src/process/seeded_fleet/fleet_peers.ts";
import {
  PublishedStore,
  StateFollower,
  type StoreUpdate,
  type WholeState,
} from "../../../src/process/seeded_fleet/index.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const OUTAGE_MS = 20_000;

/** Rejects every call and counts the calls. */
class UnavailableStore extends PublishedStore {
  override resumeFrom(): void {}

  override replaceBy(): void {}

  calls = 0;

  override fetchState(): Promise<WholeState> {
    return this.#refuse();
  }

  override watch(): Promise<StoreUpdate> {
    return this.#refuse();
  }

  #refuse(): Promise<never> {
    this.calls += 1;
    return Promise.reject(new Error("The store is unavailable"));
  }
}

function startFollower(otherVms: number) {
  const clock = VirtualClock.create();
  const log = SilentLog.create();
  const peers = FleetPeers.create(clock, log);
  for (let index = 0; index < otherVms; index++) {
    peers.noteHeartbeat({
      kind: "heartbeat",
      vm: toId<VmId>(`other-${index}`),
      incarnation: toId("life-1"),
      sequence: 1,
      dataCentre: toId<DataCentre>("dc"),
      callers: "10.0.0.1:2",
      state: "10.0.0.1:3",
      isServing: true,
      isDraining: false,
      isPrimed: true,
      configVersion: 0,
      listRevision: 0,
      isStoreLost: true,
      listAgeMs: -1,
      nextMs: OUTAGE_MS,
      heard: otherVms,
      cores: 1,
    }, `10.0.1.${index}:1`);
  }
  const store = new UnavailableStore();
  let announced = 0;
  const follower = StateFollower.create({
    vm: toId<VmId>("vm"),
    incarnation: toId("process-1"),
    clock,
    random: SeededRandom.create(1),
    log,
    store,
    createStore: () => store,
    peers,
    replicas: ReplicaDirectory.create(),
    entryRenewalMs: 1_200,
    fetchFrom: () => Promise.resolve({}),
    onSnapshot: () => {},
    onList: () => {},
    buildVersionRecord: () => undefined,
    onReplicas: () => {},
    onStoreLost: () => announced += 1,
    findLastSend: () => undefined,
  });
  follower.start();
  return { clock, follower, store, countAnnounced: () => announced };
}

// Guards against a large fleet that uses half of the store's capacity, and much
// of its own network, to find out whether the store is available again. All
// views become stale, so all VMs retry. Without these rules each VM retries
// four times a second and announces each failure to all others at once.
describe("a VM of a large fleet while the store is unavailable", () => {
  it("retries less often the more VMs there are", async () => {
    const counts: number[] = [];
    for (const otherVms of [7, 199]) {
      const { clock, follower, store } = startFollower(otherVms);
      await clock.run(OUTAGE_MS);
      follower.stop();
      counts.push(store.calls);
    }
    const [small, large] = counts;
    expect(small).toBeGreaterThan(60);
    expect(large).toBeGreaterThanOrEqual(2);
    expect(large).toBeLessThan(10);
  });

  it("does not announce the failure once all views are stale", async () => {
    const { clock, follower, countAnnounced } = startFollower(199);
    await clock.run(OUTAGE_MS);
    follower.stop();
    expect(countAnnounced()).toBe(0);
  });
});
