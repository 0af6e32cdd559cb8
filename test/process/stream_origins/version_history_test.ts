import { describe, expect, it } from "vitest";
import { type PoolName, type SoftwareVersion, toId } from "../../../src/ids.ts";
import type { ListedReplica } from "../../../src/process/placement/index.ts";
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
  return { clock, list, history, get };
}

describe("the versions that a VM can tell of", () => {
  it("are unknown until it has had lists for as long", async () => {
    const { clock, list, history, get } = createHistory();
    list.ageMs = -1;
    history.noteList([listReplica("v1")]);
    list.ageMs = 0;
    expect(get()).toEqual({ kind: "unknown" });
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  // Guards against a stream that goes on at the only version that is left, although
  // it began at one that left a moment ago.
  it("include one that left lately", async () => {
    const { clock, history, get } = createHistory();
    history.noteList([listReplica("v1")]);
    await clock.run(LATELY_MS);
    history.noteList([listReplica("v1"), listReplica("v2")]);
    expect(get()).toEqual({ kind: "several" });
    history.noteList([listReplica("v2")]);
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "several" });
    await clock.run(1);
    expect(get()).toEqual({ kind: "only", version: "v2" });
  });

  it("are those of the pool alone", async () => {
    const { clock, history, get } = createHistory();
    history.noteList([listReplica("v1"), listReplica("v2", "other")]);
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  // Guards against a guess by a VM that was cut off while another version came and
  // went.
  it("are unknown after a time without a confirmed list", async () => {
    const { clock, list, history, get } = createHistory();
    history.noteList([listReplica("v1")]);
    await clock.run(LATELY_MS);
    list.ageMs = 10_000;
    expect(get()).toEqual({ kind: "unknown" });
    history.noteList([listReplica("v1")]);
    list.ageMs = 0;
    expect(get()).toEqual({ kind: "unknown" });
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "only", version: "v1" });
  });

  it("include none as a version of its own", async () => {
    const { clock, history, get } = createHistory();
    history.noteList([listReplica(undefined)]);
    await clock.run(LATELY_MS);
    expect(get()).toEqual({ kind: "only", version: toId<SoftwareVersion>("") });
    history.noteList([listReplica(undefined), listReplica("v1")]);
    expect(get()).toEqual({ kind: "several" });
  });
});
