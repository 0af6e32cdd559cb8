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

const REPLICA = buildListedReplica(1);
const PLACEMENT = {
  replica: REPLICA,
  ownTokens: 0,
  tokensAhead: 0,
  fetchedTokens: 0,
  running: 0,
  predictedMs: 0,
};

/** A VM with an owner, and the VM's load when each request was settled. */
function createSource(decision: OwnerDecision) {
  const clock = VirtualClock.create();
  const state = PlacementState.create({
    clock,
    onUpdate: () => {},
    onEjected: () => {},
    brittle: {
      vm: toId("vm-1"),
      listReady: () => [REPLICA],
      getRole: () => ({ role: "equal", others: [] }),
      onChange: () => {},
    },
  });
  const directory = ReplicaDirectory.create();
  directory.apply({ revision: 1, replicas: [REPLICA] });
  const loadsWhenSettled: number[] = [];
  const source = PlacementSource.create({
    clock,
    random: SeededRandom.create(1),
    dataCentre: toId("dc"),
    directory,
    log: SilentLog.create(),
    getListAgeMs: () => 0,
    isViewStale: () => false,
    canUseState: () => true,
    waitForFreshState: () => clock.sleep(100),
    waitForSocketReads: () => Promise.resolve(),
    locality: Locality.create(new Map()),
    state,
    forward: () => undefined,
    fetchPlacement: (_request, { settled }) => {
      void settled.then(() =>
        loadsWhenSettled.push(state.loads.countOwn(REPLICA.id))
      );
      return Promise.resolve(decision);
    },
  });
  return { clock, state, source, loadsWhenSettled };
}

function buildRequest(): LeaseRequest {
  return {
    requestId: toId("request"),
    attempt: 1,
    workspace: toId("w"),
    className: toId("c"),
    pool: REPLICA.pool,
    model: undefined,
    adapter: undefined,
    arrivedAt: 0,
    deadlineAt: 6_000,
    promptTokens: 0,
    maxTokens: 0,
    doneTokens: 0,
    idempotent: false,
    prefixes: [],
    avoid: [],
    isSuspect: false,
    isForwarded: false,
  };
}

// Guards against an owner that believes a slot to be free which a call is about
// to take: no VM counted the call until its lease was there.
it("the owner counts a placement until its lease does", async () => {
  const { clock, source, loadsWhenSettled } = createSource(PLACEMENT);
  const { signal } = new AbortController();
  const lease = source.acquire(buildRequest(), { signal, onStep: () => {} });
  await clock.run(50);
  expect(loadsWhenSettled).toEqual([]);
  await clock.run(100);
  await lease;
  expect(loadsWhenSettled).toEqual([1]);
});

// Guards against a slot that stays taken for a caller who has left.
it("the owner counts no placement that is not used", async () => {
  const { clock, source, loadsWhenSettled } = createSource(PLACEMENT);
  const caller = new AbortController();
  const lease = source.acquire(buildRequest(), {
    signal: caller.signal,
    onStep: () => {},
  });
  const refused = expect(lease).rejects.toThrow("disconnected");
  caller.abort();
  await clock.run(150);
  await refused;
  expect(loadsWhenSettled).toEqual([0]);
});

// Guards against a slot that stays taken for a request which waits elsewhere.
it("the owner counts no placement while a request waits here", async () => {
  const { clock, state, source, loadsWhenSettled } = createSource(undefined);
  state.brittle.noteSignals(REPLICA.id, {
    requestsPerS: undefined,
    isLeaving: false,
    backOffMs: 0,
    isRejected: true,
    maxRejectionsPerS: 1,
    unreadable: [],
  });
  const { signal } = new AbortController();
  const lease = source.acquire(buildRequest(), { signal, onStep: () => {} });
  await clock.run(500);
  expect(loadsWhenSettled).toEqual([0]);
  await clock.run(1_000);
  await lease;
});
