import { describe, expect, it } from "vitest";
import { type PoolName, type SoftwareVersion, toId } from "../../../src/ids.ts";
import type { ListedReplica } from "../../../src/process/placement/index.ts";
import type { ListSource } from "../../../src/process/seeded_fleet/index.ts";
import { VersionHistory } from "../../../src/process/stream_origins/version_history.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const POOL = toId<PoolName>("pool");
const LATELY_MS = 30_000;

function listReplica(version: string | undefined, pool = "pool") {
  const replica: ListedReplica = {
    id: toId(`${pool}-${version}`),
    pool: toId(pool),
    address: "127.0.0.1",
    port: 1,
    dataCentre: toId("dc-1"),
    slots: 1,
    state: "ready",
    version: version === undefined ? undefined : toId(version),
  };
  return replica;
}

/** A history whose lists are confirmed all the time. */
function createHistory() {
  const clock = VirtualClock.create();
  const list = { ageMs: 0 };
  const history = VersionHistory.create({
    clock,
    getListAgeMs: () => list.ageMs,
  });
  const get = () => history.getVersions(POOL, LATELY_MS);
  let revision = 0;
  const note = (
    replicas: ListedReplica[],
    source: ListSource = { kind: "unknown" },
  ) => {
    revision += 1;
    history.noteList({ revision, replicas }, source);
  };
  return { clock, list, history, get, note };
}

describe("the versions that a VM can tell of", () => {
  it("are unknown until it has had lists for as long", async () => {
    const { clock, list, get, note } = createHistory();
    list.ageMs = -1;
    note([listReplica("v1")]);
    list.ageMs = 0;
    expect(get()).toEqual({ kind: "unknown" });
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  // Guards against a stream that goes on at the only version that is left, although
  // it began at one that left a moment ago.
  it("include one that left lately", async () => {
    const { clock, get, note } = createHistory();
    note([listReplica("v1")]);
    await clock.run(LATELY_MS);
    note([listReplica("v1"), listReplica("v2")]);
    expect(get()).toEqual({ kind: "several" });
    note([listReplica("v2")]);
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "several" });
    await clock.run(1);
    expect(get()).toEqual({ kind: "only", version: "v2" });
  });

  it("are those of the pool alone", async () => {
    const { clock, get, note } = createHistory();
    note([listReplica("v1"), listReplica("v2", "other")]);
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  // Guards against a guess by a VM that was cut off while another version came and
  // went.
  it("are unknown after a time without a confirmed list", async () => {
    const { clock, list, get, note } = createHistory();
    note([listReplica("v1")]);
    await clock.run(LATELY_MS);
    list.ageMs = 10_000;
    expect(get()).toEqual({ kind: "unknown" });
    note([listReplica("v1")]);
    list.ageMs = 0;
    expect(get()).toEqual({ kind: "unknown" });
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  // Guards against a guess by a VM that was cut off for a moment: another version
  // came and went, and the list is confirmed again soon after.
  it("are unknown after a short time whose lists nobody tells of", async () => {
    const { clock, list, get, note } = createHistory();
    note([listReplica("v1")]);
    await clock.run(LATELY_MS);
    list.ageMs = 1_000;
    note([listReplica("v1")]);
    list.ageMs = 0;
    expect(get()).toEqual({ kind: "unknown" });
  });

  it("include one that the store told of between two lists", async () => {
    const { clock, list, get, note } = createHistory();
    note([listReplica("v1")]);
    await clock.run(LATELY_MS);
    list.ageMs = 2_000;
    const listed = [listReplica("v2")];
    note([listReplica("v1")], { kind: "changes", listed });
    list.ageMs = 0;
    expect(get()).toEqual({ kind: "several" });
    note([listReplica("v1")], { kind: "changes", listed: [] });
    await clock.run(LATELY_MS + 1);
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  it("include one that another VM has seen between two lists", async () => {
    const other = createHistory();
    const { clock, list, get, note } = createHistory();
    for (const each of [other, { note, clock }]) {
      each.note([listReplica("v1")]);
      await each.clock.run(LATELY_MS);
    }
    other.note([listReplica("v1"), listReplica("v2")]);
    await other.clock.run(500);
    other.note([listReplica("v1")]);
    list.ageMs = 2_000;
    const record = other.history.buildRecord()!;
    note([listReplica("v1")], { kind: "record", record });
    list.ageMs = 0;
    expect(get()).toEqual({ kind: "several" });
    await clock.run(LATELY_MS + 1);
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  it("are those of another VM where this one has missed lists", async () => {
    const other = createHistory();
    other.note([listReplica("v1")]);
    await other.clock.run(LATELY_MS);
    const { get, note } = createHistory();
    note([listReplica("v1")], {
      kind: "record",
      record: other.history.buildRecord()!,
    });
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  // Guards against a record that leaves out the lists which this VM has missed.
  it("are unknown if another VM has missed lists as well", async () => {
    const other = createHistory();
    const { clock, list, get, note } = createHistory();
    note([listReplica("v1")]);
    await clock.run(LATELY_MS);
    list.ageMs = 1_000;
    other.note([]);
    other.list.ageMs = 1_000;
    other.note([listReplica("v1")]);
    const record = other.history.buildRecord()!;
    expect(record.sinceRevision).toBe(2);
    note([listReplica("v1")], { kind: "record", record });
    list.ageMs = 0;
    expect(get()).toEqual({ kind: "unknown" });
  });

  it("include none as a version of its own", async () => {
    const { clock, get, note } = createHistory();
    note([listReplica(undefined)]);
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "only", version: toId<SoftwareVersion>("") });
    note([listReplica(undefined), listReplica("v1")]);
    expect(get()).toEqual({ kind: "several" });
  });
});
