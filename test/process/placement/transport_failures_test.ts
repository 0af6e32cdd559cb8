import { describe, expect, it } from "vitest";
import type { VmId } from "../../../src/ids.ts";
import { PlacementState } from "../../../src/process/placement/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildListedReplicas } from "../../support/listed_replicas.ts";

const REPLICAS = buildListedReplicas(5);
const [FIRST, SECOND] = REPLICAS.map(({ id }) => id) as [VmId, VmId];

/** A VM that reaches the replicas for which `isReached` is true. */
function createVm(isReached: (replica: VmId) => boolean) {
  const clock = VirtualClock.create();
  const find = (id: VmId) => REPLICAS.find((each) => each.id === id);
  let checks = 0;
  const state: PlacementState = PlacementState.create({
    clock,
    onUpdate: () => {},
    onEjected: () => {},
    links: {
      random: SeededRandom.create(1),
      listReady: () => REPLICAS,
      listPools: () => [],
      findReplica: find,
      isListening: (id) => {
        checks += 1;
        state.noteConnection(find(id)!, isReached(id));
        return Promise.resolve(isReached(id));
      },
      onChange: () => {},
    },
  });
  const fail = async (id: VmId, times = 2) => {
    for (let time = 0; time < times; time++) await state.failures.note(id);
    await clock.run(1);
  };
  return { clock, state, fail, countChecks: () => checks };
}

describe("a request that fails without an answer", () => {
  it("counts against a replica that accepts connections", async () => {
    const { state, fail } = createVm(() => true);
    await fail(FIRST);
    expect(state.health.isEjected(FIRST)).toBe(true);
    expect(state.takeUpdate().results).toEqual([[FIRST, 0, 2]]);
  });

  it("counts against the only replica that this VM does not reach", async () => {
    const { state, fail } = createVm((id) => id !== FIRST);
    await fail(FIRST);
    expect(state.health.isEjected(FIRST)).toBe(true);
    const { results, unreached } = state.takeUpdate();
    expect(results).toEqual([]);
    expect(unreached).toEqual([[FIRST, 2]]);
  });

  // Guards against a VM without links that reports all replicas as failing.
  it("counts against none while this VM reaches none", async () => {
    const { state, fail } = createVm(() => false);
    await fail(FIRST);
    await fail(SECOND);
    expect(state.health.isEjected(FIRST)).toBe(false);
    const { results, unreached } = state.takeUpdate();
    expect([results, unreached]).toEqual([[], []]);
  });
});

describe("a replica that another VM did not reach", () => {
  // Guards against sound replicas that are ejected because other VMs have lost
  // their links to them.
  it("is not ejected by a VM that reaches it", async () => {
    const { state } = createVm(() => true);
    await state.failures.notePeers([[FIRST, 5]]);
    expect(state.health.isEjected(FIRST)).toBe(false);
  });

  it("is ejected by a VM that does not reach it either", async () => {
    const { state } = createVm((id) => id !== FIRST);
    await state.failures.notePeers([[FIRST, 5]]);
    expect(state.health.isEjected(FIRST)).toBe(true);
  });

  // Guards against an owner that has lost its links and places requests of others
  // at a replica that is down.
  it("is ejected by a VM that reaches none and places for others", async () => {
    const { state, fail } = createVm(() => false);
    await fail(FIRST);
    await state.failures.notePeers([[FIRST, 5]]);
    expect(state.health.isEjected(FIRST)).toBe(true);
    expect(state.health.isEjected(SECOND)).toBe(false);
  });
});

describe("checks of unreachable replicas", () => {
  it("go on until all are reached, and then end", async () => {
    let isCut = true;
    const { clock, state, countChecks } = createVm(() => !isCut);
    state.noteConnection(REPLICAS[0]!, false);
    await clock.run(1_000);
    expect(state.links.listLost()).toHaveLength(1);
    isCut = false;
    await clock.run(500);
    expect(state.links.listLost()).toHaveLength(0);
    await clock.run(3_000);
    expect(state.links.countUnreachable()).toBe(0);
    const checks = countChecks();
    await clock.run(5_000);
    expect(countChecks()).toBe(checks);
  });
});
