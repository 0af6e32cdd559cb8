import { expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import { ReplicaDirectory } from "../../../src/process/placement/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { FleetPeers } from "../../../src/process/seeded_fleet/fleet_peers.ts";
import {
  type PublishedState,
  PublishedStore,
  StateFollower,
  type StoreUpdate,
} from "../../../src/process/seeded_fleet/index.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

/** Answers reads with ever newer states; watches as the test says. */
class ScriptedStore extends PublishedStore {
  readonly calls: { kind: "read" | "watch"; at: number }[] = [];
  watchOnce: (waitMs: number) => Promise<StoreUpdate> = () =>
    Promise.reject(new Error("Answer exceeds the size limit"));
  readonly #clock: VirtualClock;
  #revision = 0;

  constructor(clock: VirtualClock) {
    super();
    this.#clock = clock;
  }

  override resumeFrom(): void {}

  override fetchState(): Promise<PublishedState> {
    this.calls.push({ kind: "read", at: this.#clock.now() });
    this.#revision += 1;
    return Promise.resolve(this.buildState());
  }

  override watch(waitMs: number): Promise<StoreUpdate> {
    this.calls.push({ kind: "watch", at: this.#clock.now() });
    return this.watchOnce(waitMs);
  }

  buildState(): PublishedState {
    const revision = this.#revision;
    return {
      revision,
      configuration: undefined,
      replicas: { revision, replicas: [] },
    };
  }
}

function startFollower() {
  const clock = VirtualClock.create();
  const log = SilentLog.create();
  const store = new ScriptedStore(clock);
  const replicas = ReplicaDirectory.create();
  const follower = StateFollower.create({
    vm: toId("vm-1"),
    incarnation: toId("process-1"),
    clock,
    random: SeededRandom.create(1),
    log,
    store,
    peers: FleetPeers.create(clock, log),
    replicas,
    entryRenewalMs: 1_200,
    fetchFrom: () => Promise.resolve({}),
    onSnapshot: () => {},
    onList: () => {},
    onReplicas: () => {},
    onStoreLost: () => {},
    getMsSinceSent: () => undefined,
  });
  return { clock, store, replicas, follower };
}

// Guards against a VM that repeats a watch whose answer is too large, or too
// slow, for as long as the store keeps its history.
it("a VM whose watches all fail reads the whole state", async () => {
  const { clock, store, replicas, follower } = startFollower();
  follower.start();
  await clock.run(100);
  expect(replicas.revision).toBe(1);
  await clock.run(1_000);
  follower.stop();
  expect(replicas.revision).toBeGreaterThan(1);
});

// Guards against a fleet that knows nothing new for another third of a second
// after the store has cut the watches.
it("a watch that is cut is repeated at once", async () => {
  const { clock, store, follower } = startFollower();
  store.watchOnce = async () => {
    await clock.sleep(700);
    throw new Error("Watch was cut");
  };
  follower.start();
  await clock.run(760);
  follower.stop();
  const times = store.calls.filter(({ kind }) => kind === "watch")
    .map(({ at }) => Math.round(at));
  expect(times).toHaveLength(2);
});
