import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import {
  type ListedReplica,
  Locality,
  PlacementSource,
  PlacementState,
  ReplicaDirectory,
} from "../../../src/process/placement/index.ts";
import type { HeldLease } from "../../../src/process/services.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { SilentLog } from "../../../src/process/log.ts";

const PROGRESS = { tokens: 1, firstTokenMs: 1, betweenTokensMs: undefined };
/** Longer than the time for which one byte counts as a sign of life. */
const SILENT_MS = 1_500;

function createPool() {
  const clock = VirtualClock.create();
  const directory = ReplicaDirectory.create();
  const replica: ListedReplica = {
    id: toId<VmId>("i-1"),
    pool: toId("pool"),
    address: "10.0.0.1",
    port: 80,
    dataCentre: toId("dc"),
    slots: 64,
    state: "ready",
  };
  const list = (revision: number, startedAt: number) => {
    directory.apply({ revision, replicas: [{ ...replica, startedAt }] });
  };
  list(1, 1_000);
  const state = PlacementState.create({
    clock,
    onUpdate: () => {},
    onEjected: () => {},
  });
  const source = PlacementSource.create({
    waitForFreshState: () => Promise.resolve(),
    log: SilentLog.create(),
    getListAgeMs: () => 0,
    isViewStale: () => false,
    canUseState: () => true,
    clock,
    random: SeededRandom.create(1),
    dataCentre: toId("dc"),
    directory,
    locality: Locality.create(new Map()),
    state,
    forward: () => undefined,
    fetchPlacement: () => Promise.resolve(undefined),
    waitForSocketReads: () => Promise.resolve(),
  });
  return { clock, list, source, state, replica };
}

function acquire(
  source: PlacementSource,
  { promptTokens = 100 }: { promptTokens?: number } = {},
): Promise<HeldLease> {
  const signal = new AbortController().signal;
  return source.acquire({
    requestId: toId("request"),
    attempt: 1,
    workspace: toId("workspace"),
    className: toId("class"),
    pool: toId("pool"),
    model: undefined,
    adapter: undefined,
    arrivedAt: 0,
    deadlineAt: 15_000,
    promptTokens,
    partTokens: [promptTokens],
    maxTokens: 10,
    doneTokens: 0,
    idempotent: true,
    prefixes: [],
    avoid: [],
  }, { signal, onStep: () => {} });
}

// Guards against requests that are cut off under load and sent to another
// replica that is as busy, replicas ejected although they serve, and retries
// used up. Replicas prefill long prompts for seconds without a byte to new
// requests; silence on one call must not count as the replica's death.
describe("a replica that is silent on one call", () => {
  it("is alive while it sends on another", async () => {
    const { clock, source } = createPool();
    const waiting = await acquire(source);
    const streaming = await acquire(source);
    await clock.run(SILENT_MS);
    expect(waiting.isUpstreamAlive()).toBe(false);
    streaming.noteProgress(PROGRESS);
    expect(waiting.isUpstreamAlive()).toBe(true);
  });

  it("is not alive once it sends nothing on any call", async () => {
    const { clock, source } = createPool();
    const waiting = await acquire(source);
    (await acquire(source)).noteProgress(PROGRESS);
    await clock.run(SILENT_MS);
    expect(waiting.isUpstreamAlive()).toBe(false);
  });

  // The replica crashes and restarts under the same id. Its new process serves
  // others, but does not have the earlier request.
  it("is not alive for calls from before its restart", async () => {
    const { source, list } = createPool();
    const before = await acquire(source);
    list(2, 2_000);
    (await acquire(source)).noteProgress(PROGRESS);
    expect(before.isUpstreamAlive()).toBe(false);
  });
});

// Guards against sound replicas that all VMs count as slow, because the links of
// one VM to them were cut until the first output.
it("a replica is not slow for the time that a link to it was cut", async () => {
  const { clock, source, state, replica } = createPool();
  const lease = await acquire(source, { promptTokens: 5_000 });
  await clock.run(SILENT_MS);
  state.links.noteFailed(replica);
  state.links.noteOpened(replica);
  lease.noteProgress(PROGRESS);
  expect(state.speeds.getSlowdown(replica.id)).toBe(1);
  expect(state.takeUpdate().speeds).toEqual([]);
});
