import { expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import {
  Locality,
  type OwnerDecision,
  PlacementSource,
  PlacementState,
  ReplicaDirectory,
} from "../../../src/process/placement/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import type { LeaseRequest } from "../../../src/process/services.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildListedReplica } from "../../support/listed_replicas.ts";
import { SilentLog } from "../../../src/process/log.ts";

const OLD = buildListedReplica(1, { version: toId("v1") });
const NEW = buildListedReplica(2, { version: toId("v2") });
const BACK_OFF_MS = 1_000;

function createSource(decision?: OwnerDecision) {
  const clock = VirtualClock.create();
  const state = PlacementState.create({
    clock,
    onUpdate: () => {},
    onEjected: () => {},
  });
  const directory = ReplicaDirectory.create();
  directory.apply({ revision: 1, replicas: [OLD, NEW] });
  const source = PlacementSource.create({
    clock,
    random: SeededRandom.create(1),
    dataCentre: toId("dc"),
    directory,
    log: SilentLog.create(),
    getListAgeMs: () => 0,
    isViewStale: () => false,
    canUseState: () => true,
    waitForFreshState: () => Promise.resolve(),
    waitForSocketReads: () => Promise.resolve(),
    locality: Locality.create(new Map()),
    state,
    forward: () => undefined,
    fetchPlacement: () => Promise.resolve(decision),
  });
  const acquire = (changes: Partial<LeaseRequest> = {}) =>
    source.acquire({ ...buildRequest(clock), ...changes }, {
      signal: new AbortController().signal,
      onStep: () => {},
    });
  return { clock, state, directory, acquire };
}

function buildRequest(clock: VirtualClock): LeaseRequest {
  return {
    requestId: toId("request"),
    attempt: 1,
    workspace: toId("w"),
    className: toId("c"),
    pool: OLD.pool,
    model: undefined,
    adapter: undefined,
    arrivedAt: clock.now(),
    deadlineAt: clock.now() + 10_000,
    promptTokens: 0,
    maxTokens: 0,
    doneTokens: 0,
    idempotent: true,
    prefixes: [],
    avoid: [],
  };
}

function startBackOff({ state }: ReturnType<typeof createSource>): void {
  state.backOffs.noteSignals(OLD.id, {
    requestsPerS: undefined,
    isLeaving: false,
    backOffMs: BACK_OFF_MS,
    isRejected: true,
    maxRejectionsPerS: undefined,
    unreadable: [],
  });
}

// Guards against a stream that is refused because the few replicas of its version
// have no room at the moment, and against new streams that take that room.
it("a stream that goes on waits, and new ones leave it the room", async () => {
  for (const decision of [undefined, "full"] as const) {
    const created = createSource(decision);
    const { clock, acquire } = created;
    startBackOff(created);
    let upstream: string | undefined;
    void acquire({ version: toId("v1") }).then((lease) => {
      upstream = lease.upstream;
    });
    await clock.run(BACK_OFF_MS / 2);
    expect(upstream).toBeUndefined();
    await clock.run(BACK_OFF_MS / 2 + 50);
    expect(upstream).toBe(OLD.id);
  }
  const created = createSource();
  startBackOff(created);
  void acquireAndForget(created);
  await created.clock.run(BACK_OFF_MS - 1);
  created.state.loads.addOwn(NEW.id, {
    pendingTokens: 0,
    isDeferred: false,
    isInteractive: false,
  });
  await created.clock.run(1);
  // The other replica is free now, and the better choice but for the wait.
  expect((await created.acquire()).upstream).toBe(NEW.id);
});

it("a version that nobody waits for gets new streams", async () => {
  const { acquire } = createSource();
  const upstreams = [await acquire(), await acquire()]
    .map((lease) => lease.upstream);
  expect(upstreams.toSorted()).toEqual([OLD.id, NEW.id]);
});

it("a stream is refused at once if its version takes no work", async () => {
  const { directory, acquire } = createSource();
  directory.apply({
    revision: 2,
    replicas: [{ ...OLD, state: "draining" }, NEW],
  });
  await expect(acquire({ version: toId("v1") })).rejects.toMatchObject({
    refusal: { code: "version_gone", outcome: "not_run" },
  });
});

async function acquireAndForget(
  { acquire }: ReturnType<typeof createSource>,
): Promise<void> {
  await acquire({ version: toId("v1") });
}
