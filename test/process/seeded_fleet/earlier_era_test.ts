import { expect, it } from "vitest";
import {
  type DataCentre,
  type PoolName,
  toId,
  type VmId,
} from "../../../src/ids.ts";
import type { ListedReplica } from "../../../src/process/placement/index.ts";
import { EarlierEra } from "../../../src/process/seeded_fleet/earlier_era.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const LEFT = toId<VmId>("i-left");
const STAYS = toId<VmId>("i-stays");
const DC = toId<DataCentre>("dc-1");
/** Three renewals without an entry, and the time to write it again. */
const KEPT_MS = 3 * 1_200 + 2_200;

function buildReplica(id: VmId, startedAt?: number): ListedReplica {
  return {
    id,
    pool: toId<PoolName>("pool"),
    address: "10.0.0.1",
    port: 1,
    dataCentre: DC,
    slots: 1,
    state: "ready",
    startedAt,
  };
}

function createEra() {
  const clock = VirtualClock.create();
  const ends: number[] = [];
  const era = EarlierEra.create({
    clock,
    entryRenewalMs: 1_200,
    onEnd: () => ends.push(clock.now()),
  });
  const restore = (options: {
    left?: ListedReplica[];
    /** Listed before. */
    known?: ListedReplica[];
    listed?: ListedReplica[];
    evacuated?: DataCentre[];
  } = {}) => {
    const { left = [], known = [], evacuated = [] } = options;
    const { listed = [buildReplica(LEFT), buildReplica(STAYS)] } = options;
    const before = { era: 1, revision: 12, replicas: known, evacuated };
    const after = { era: 2, revision: 9, replicas: listed };
    era.noteRestored({ before, after, left });
  };
  const list = () => {
    const { replicas, dataCentres } = era.getWithheld();
    return [...replicas, ...dataCentres];
  };
  return { clock, era, ends, restore, list };
}

it("a replica that had left is withheld until its entry is renewed", async () => {
  const { clock, ends, restore, list } = createEra();
  restore({ left: [buildReplica(LEFT), buildReplica(toId("i-unlisted"))] });
  expect(list()).toEqual([LEFT]);
  await clock.run(KEPT_MS - 1);
  expect(list()).toEqual([LEFT]);
  await clock.run(2);
  expect(list()).toEqual([]);
  expect(ends).toHaveLength(1);
});

it("another process under its id is not withheld", () => {
  const { restore, list } = createEra();
  restore({ left: [buildReplica(LEFT, 1)], listed: [buildReplica(LEFT, 2)] });
  expect(list()).toEqual([]);
});

// Guards against a replica whose notice that it leaves is forgotten, since the copy
// lacks it and it then writes itself again as ready.
it("a leaving replica that the copy lacks is withheld", async () => {
  const { clock, era, restore, list } = createEra();
  const leaving = buildReplica(LEFT, 1);
  restore({ left: [leaving], known: [leaving], listed: [] });
  expect(list()).toEqual([LEFT]);
  expect(era.noteList({ era: 2, revision: 10, replicas: [leaving] }))
    .toBe(false);
  expect(list()).toEqual([LEFT]);
  await clock.run(KEPT_MS + 1);
  expect(list()).toEqual([]);
});

it("another process under the id of one that is missing is used", () => {
  const { era, restore, list } = createEra();
  const leaving = buildReplica(LEFT, 1);
  restore({ left: [leaving], known: [leaving], listed: [] });
  const replicas = [buildReplica(LEFT, 2)];
  expect(era.noteList({ era: 2, revision: 10, replicas })).toBe(true);
  expect(list()).toEqual([]);
});

it("a second restoration withholds for the whole time again", async () => {
  const { clock, restore, list } = createEra();
  restore({ left: [buildReplica(LEFT)] });
  await clock.run(KEPT_MS - 1);
  restore({ left: [buildReplica(LEFT)] });
  await clock.run(KEPT_MS - 1);
  expect(list()).toEqual([LEFT]);
});

// Guards against VMs that tell each other in turn what they withhold, and so
// never use it again.
it("what another VM withholds is not told on", async () => {
  const { clock, era, list } = createEra();
  expect(era.noteTold({ withheld: [[LEFT, 100]] })).toBe(true);
  expect(era.noteTold({ withheld: [[LEFT, 100]] })).toBe(false);
  expect(list()).toEqual([LEFT]);
  expect(era.buildNews().withheld).toEqual([]);
  await clock.run(101);
  expect(list()).toEqual([]);
});

// Guards against requests to an evacuated data centre, since the operator takes
// longer to write all again than replicas do.
it("an evacuation holds while the operator's configuration is missing", async () => {
  const { clock, era, restore, list } = createEra();
  restore({ evacuated: [DC] });
  for (let ms = 0; ms < 3 * KEPT_MS; ms += 1_000) {
    era.noteOperatorBehind();
    await clock.run(1_000);
    expect(list()).toEqual([DC]);
  }
  await clock.run(KEPT_MS);
  expect(list()).toEqual([]);
});

// Guards against an evacuation that comes back after its end, since a VM whose
// list is older still tells that it keeps it.
it("an evacuation that the new era has told is not kept any more", () => {
  const { era, restore, list } = createEra();
  restore({ evacuated: [DC] });
  const shown = { era: 2, revision: 10, replicas: [], evacuated: [DC] };
  expect(era.noteList(shown)).toBe(true);
  expect(list()).toEqual([]);
  expect(era.noteTold({ keptEvacuations: [[DC, 1_000]] })).toBe(false);
  expect(list()).toEqual([]);
});

// Guards against replicas that one VM withholds for good, since it hears of another
// VM after their time was over and before its timer has told the end.
it.each<[string, (era: EarlierEra) => void]>([
  ["another VM's word", (era) => void era.noteTold({})],
  ["the operator's older configuration", (era) => era.noteOperatorBehind()],
  ["a look at what is kept", (era) => void era.buildNews()],
])("the end is told beside %s", async (_what, note) => {
  const { clock, era, ends, restore, list } = createEra();
  // Runs before the timer of the end, at the same time.
  clock.startTimer(KEPT_MS, () => note(era));
  restore({ left: [buildReplica(LEFT)] });
  await clock.run(KEPT_MS + 10);
  expect(list()).toEqual([]);
  expect(ends).toHaveLength(1);
});
