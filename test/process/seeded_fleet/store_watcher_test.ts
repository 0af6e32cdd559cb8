import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import {
  type ListedReplica,
  ReplicaDirectory,
} from "../../../src/process/placement/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { FleetPeers } from "../../../src/process/seeded_fleet/fleet_peers.ts";
import {
  PublishedStore,
  StateFollower,
  type StoreUpdate,
  type WholeState,
} from "../../../src/process/seeded_fleet/index.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { StallingClock } from "../../support/stalling_clock.ts";

const READ_TIMEOUT_MS = 1_500;
const CALL_MS = 4;
/** Three VMs that watch call the store 40 times a second at most. */
const MAX_CALLS_PER_SECOND = 13;

/** Answers reads with ever newer states; watches as the test says. */
class ScriptedStore extends PublishedStore {
  readonly calls: { kind: "read" | "watch"; at: number }[] = [];
  watchOnce: (waitMs: number) => Promise<StoreUpdate> = () =>
    Promise.reject(new Error("Answer exceeds the size limit"));
  readonly #clock: VirtualClock;
  #revision = 0;
  /** Reads of the whole state that are going to fail. */
  failingReads = 0;
  replicas: ListedReplica[] = [];

  constructor(clock: VirtualClock) {
    super();
    this.#clock = clock;
  }

  override resumeFrom(): void {}

  override replaceBy(): void {}

  override async fetchState(): Promise<WholeState> {
    this.calls.push({ kind: "read", at: this.#clock.now() });
    if (this.failingReads > 0) {
      this.failingReads -= 1;
      await this.#clock.sleep(READ_TIMEOUT_MS);
      throw new Error("Call timed out");
    }
    this.#revision += 1;
    return this.buildState();
  }

  override watch(waitMs: number): Promise<StoreUpdate> {
    this.calls.push({ kind: "watch", at: this.#clock.now() });
    return this.watchOnce(waitMs);
  }

  buildState(): WholeState {
    const revision = this.#revision;
    return {
      listed: undefined,
      sizeBytes: this.replicas.length,
      revision,
      configuration: undefined,
      replicas: { revision, replicas: this.replicas },
    };
  }
}

function startFollower(stall = { from: Infinity, to: Infinity }) {
  const clock = VirtualClock.create();
  const log = SilentLog.create();
  const store = new ScriptedStore(clock);
  const replicas = ReplicaDirectory.create();
  const follower = StateFollower.create({
    vm: toId("vm-1"),
    incarnation: toId("process-1"),
    clock: StallingClock.create(clock, stall),
    random: SeededRandom.create(1),
    log,
    store,
    createStore: () => store,
    peers: FleetPeers.create(clock, log),
    replicas,
    entryRenewalMs: 1_200,
    fetchFrom: () => Promise.resolve({}),
    onSnapshot: () => {},
    onList: () => {},
    buildVersionRecord: () => undefined,
    onReplicas: () => {},
    onStoreLost: () => {},
    findLastSend: () => undefined,
  });
  return { clock, store, replicas, follower };
}

// Guards against a VM that repeats a watch whose answer is too large, or too
// slow, for as long as the store keeps its history.
it("a VM whose watches all fail reads the whole state", async () => {
  const { clock, replicas, follower } = startFollower();
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

// Guards against a replica that is used on after it has left, because the store
// cut a watch and reads of its whole state timed out: no entry expires in that
// time, since the store answers.
it("reads that time out after the history was lost are no outage", async () => {
  const { clock, store, replicas, follower } = startFollower();
  const left = toId<VmId>("i-1");
  store.replicas = [{
    id: left,
    pool: toId("pool"),
    address: "10.0.0.1",
    port: 1,
    dataCentre: toId("dc"),
    slots: 1,
    state: "ready",
  }];
  let watches = 0;
  store.watchOnce = async () => {
    watches += 1;
    if (watches > 1) {
      await clock.sleep(10);
      return { kind: "history_lost" };
    }
    await clock.sleep(700);
    throw new Error("Watch was cut");
  };
  follower.start();
  await clock.run(100);
  expect(replicas.isReady(left)).toBe(true);
  store.replicas = [];
  store.failingReads = 2;
  await clock.run(700 + 3 * READ_TIMEOUT_MS);
  follower.stop();
  expect(watches).toBeGreaterThan(1);
  expect(replicas.isReady(left)).toBe(false);
});

// Guards against a list that looks new by the time for which its answer lay in the
// socket of a process that got no processor time.
it("an answer that was read late does not make a list look new", async () => {
  const stall = { from: 500, to: 2_000 };
  const { clock, store, follower } = startFollower(stall);
  const answeredAt = 700;
  store.watchOnce = async () => {
    // The change came at `answeredAt`, and is read after the stall.
    if (clock.now() >= stall.to) return await new Promise(() => {});
    await clock.sleep(stall.to - clock.now());
    // Nothing else tells what is the newest.
    store.fetchState = () => new Promise(() => {});
    const state = store.buildState();
    const revision = state.revision + 1;
    const replicas = { ...state.replicas, revision };
    return {
      kind: "state",
      state: { ...state, revision, replicas },
      isComplete: true,
      listed: [],
    };
  };
  follower.start();
  await clock.run(stall.to);
  const ageMs = follower.getListAgeMs();
  follower.stop();
  expect(ageMs).toBeGreaterThanOrEqual(stall.to - answeredAt);
});

// Guards against a list that looks new by the time that the read of the whole
// state took: what changed meanwhile is not in it.
it("a read of the whole state counts from its call", async () => {
  const { clock, store, follower } = startFollower();
  const readMs = 900;
  store.fetchState = async () => {
    const state = { ...store.buildState(), revision: 7 };
    await clock.sleep(readMs);
    return { ...state, replicas: { ...state.replicas, revision: 7 } };
  };
  store.watchOnce = () => new Promise(() => {});
  follower.start();
  await clock.run(readMs);
  const ageMs = follower.getListAgeMs();
  follower.stop();
  expect(ageMs).toBe(readMs);
});

// Guards against a replica that is used on after it has left: a change was lost,
// and a read of the whole state at the revision of the list was ignored.
it("a read of the whole state corrects a list of its revision", async () => {
  const { clock, store, replicas, follower } = startFollower();
  const left = toId<VmId>("i-1");
  const revision = 7;
  store.fetchState = () => {
    const state = store.buildState();
    const list = { ...state.replicas, revision };
    return Promise.resolve({ ...state, revision, replicas: list });
  };
  store.replicas = [{
    id: left,
    pool: toId("pool"),
    address: "10.0.0.1",
    port: 1,
    dataCentre: toId("dc"),
    slots: 1,
    state: "ready",
  }];
  store.watchOnce = async (waitMs) => {
    await clock.sleep(waitMs);
    return { kind: "history_lost" };
  };
  follower.start();
  await clock.run(100);
  expect(replicas.isReady(left)).toBe(true);
  store.replicas = [];
  await clock.run(1_000);
  follower.stop();
  expect(replicas.isReady(left)).toBe(false);
  expect(follower.getListAgeMs()).toBeLessThan(1_000);
});

/** Calls of this VM in ten seconds. */
async function countCalls(
  watchOnce: (store: ScriptedStore) => StoreUpdate,
): Promise<number> {
  const { clock, store, follower } = startFollower();
  store.watchOnce = async () => {
    await clock.sleep(CALL_MS);
    return watchOnce(store);
  };
  follower.start();
  await clock.run(10_000);
  follower.stop();
  return store.calls.length;
}

// Guards against calls to the store as fast as it answers, since each of its
// watches ends with the news that its history is lost.
it("a store whose watches all lose their history is called rarely", async () => {
  const calls = await countCalls(() => ({ kind: "history_lost" }));
  expect(calls).toBeLessThan(10 * MAX_CALLS_PER_SECOND);
});

// Guards against the same where each watch ends at once without a change.
it("a store whose watches all end early is called rarely", async () => {
  const calls = await countCalls((store) => ({
    kind: "state",
    state: store.buildState(),
    isComplete: true,
    listed: [],
  }));
  expect(calls).toBeLessThan(10 * MAX_CALLS_PER_SECOND);
});

// Guards against a pause that outlasts its cause.
it("a watch that tells a change is followed by the next at once", async () => {
  const { clock, store, follower } = startFollower();
  let lost = 20;
  store.watchOnce = async (waitMs) => {
    lost -= 1;
    if (lost > 0) return { kind: "history_lost" };
    await clock.sleep(waitMs);
    const state = store.buildState();
    return { kind: "state", state, isComplete: true, listed: [] };
  };
  follower.start();
  while (lost > 0) await clock.run(100);
  await clock.run(2_000);
  const before = store.calls.length;
  await clock.run(3_000);
  follower.stop();
  expect(store.calls.length - before).toBeGreaterThanOrEqual(3);
});
