import { describe, expect, it } from "vitest";
import {
  type DataCentre,
  type PoolName,
  toId,
  type VmId,
} from "../../../src/ids.ts";
import {
  type ListedReplica,
  ReplicaDirectory,
  type ReplicaList,
} from "../../../src/process/placement/index.ts";
import type { LastSend } from "../../../src/process/placement/last_sends.ts";
import type { FleetHeartbeat } from "../../../src/process/seeded_fleet/fleet_message.ts";
import { LeavingNews } from "../../../src/process/seeded_fleet/leaving_news.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { FakeLog } from "../../support/request_fakes.ts";

const FIRST = toId<VmId>("i-1");
const SECOND = toId<VmId>("i-2");
const FORGOTTEN_AFTER_MS = 3_100;
const LAST_SEND: LastSend = {
  requestId: toId("request-1"),
  agoMs: 40,
  list: { era: 2, revision: 5, ageMs: 850, from: toId("vm-3") },
};
/** The line that names it. */
const LAST_SEND_LINE = {
  level: "info",
  event: "last_request_before_leaving",
  fields: {
    request_id: "request-1",
    replica: FIRST,
    sent_ms: 40,
    list_era: 2,
    list_revision: 5,
    list_age_ms: 850,
    list_from: "vm-3",
  },
};

function buildList(
  revision: number,
  states: Record<string, ListedReplica["state"]>,
): ReplicaList {
  const replicas = Object.entries(states).map(([id, state]) => ({
    id: toId<VmId>(id),
    pool: toId<PoolName>("pool"),
    address: "10.0.0.1",
    port: 1,
    dataCentre: toId<DataCentre>("dc"),
    slots: 1,
    state,
  }));
  return { revision, replicas };
}

function createNews() {
  const clock = VirtualClock.create();
  const log = new FakeLog();
  const replicas = ReplicaDirectory.create();
  const before = buildList(5, { "i-1": "ready", "i-2": "ready" });
  replicas.apply(before);
  const news = LeavingNews.create({
    clock,
    log,
    replicas,
    getListAgeMs: () => 900,
    findLastSend: (id) => id === FIRST ? LAST_SEND : undefined,
  });
  const noteLeft = (left: [VmId, number][]) =>
    news.noteHeartbeat({ vm: toId("vm-2"), left } as FleetHeartbeat);
  return { clock, log, replicas, before, news, noteLeft };
}

const IN_TIME = {
  from: "store",
  listAgeMs: 9,
  lagMs: 0,
  differsMs: 0,
  isCorrected: false,
} as const;
const LATE = { ...IN_TIME, listAgeMs: 2_000, lagMs: 300.4 } as const;

describe("a leaving that another VM tells of", () => {
  // Guards against requests for a replica of which this VM knows that it left,
  // while it still waits for the list that shows it.
  it("counts before the list has come", () => {
    const { replicas, noteLeft } = createNews();
    expect(noteLeft([[FIRST, 7]])).toBe(true);
    expect(replicas.isReady(FIRST)).toBe(false);
    expect(replicas.isReady(SECOND)).toBe(true);
    expect(noteLeft([[FIRST, 7]])).toBe(false);
  });

  it("is logged with this VM's last request and the age of its list", () => {
    const { log, noteLeft } = createNews();
    noteLeft([[FIRST, 7]]);
    expect(log.lines).toMatchObject([{
      event: "replica_left_heard",
      fields: { from: "vm-2", list_age_ms: 900, last_sent_ms: 40 },
    }, LAST_SEND_LINE]);
  });

  it("is told on to other VMs for some time", async () => {
    const { clock, news, noteLeft } = createNews();
    noteLeft([[FIRST, 7]]);
    expect(news.listRecent()).toEqual([[FIRST, 7]]);
    await clock.run(FORGOTTEN_AFTER_MS);
    expect(news.listRecent()).toEqual([]);
  });

  // Guards against a replica that is left out for good, because word of its
  // leaving comes after the list in which it is ready again.
  it("ends with a list that is as new", () => {
    const { replicas, noteLeft } = createNews();
    noteLeft([[FIRST, 7]]);
    replicas.apply(buildList(6, { "i-1": "ready", "i-2": "ready" }));
    expect(replicas.isReady(FIRST)).toBe(false);
    replicas.apply(buildList(9, { "i-1": "ready", "i-2": "ready" }));
    expect(replicas.isReady(FIRST)).toBe(true);
    expect(noteLeft([[FIRST, 7]])).toBe(false);
    expect(replicas.isReady(FIRST)).toBe(true);
  });
});

describe("a leaving in a newer list", () => {
  // Guards against a sender that nobody can tell to have known too late, since
  // only its lines of single requests show by which list it sent.
  it("is logged with the last request if it was learnt late", () => {
    const { log, before, news } = createNews();
    const after = buildList(7, { "i-1": "draining" });
    news.noteList({ before, after, ...LATE });
    const fields = {
      revision: 7,
      from: "store",
      list_age_ms: 2_000,
      lag_ms: 300,
      differs_ms: 0,
    };
    expect(log.lines).toEqual([
      LAST_SEND_LINE,
      {
        level: "warn",
        event: "leaving_learnt_late",
        fields: { replica: FIRST, ...fields, last_sent_ms: 40 },
      },
      {
        level: "warn",
        event: "leaving_learnt_late",
        fields: { replica: SECOND, ...fields },
      },
    ]);
    expect(news.lateCount).toBe(2);
  });

  it("is not late if another VM had told of it", () => {
    const { log, before, news, noteLeft } = createNews();
    noteLeft([[FIRST, 7]]);
    log.lines.length = 0;
    const after = buildList(7, { "i-1": "draining", "i-2": "ready" });
    news.noteList({ before, after, ...LATE });
    expect(log.lines).toEqual([]);
  });

  it("is told to other VMs", () => {
    const { before, news } = createNews();
    const after = buildList(7, { "i-1": "draining", "i-2": "ready" });
    news.noteList({ before, after, ...IN_TIME });
    expect(news.listRecent()).toEqual([[FIRST, 7]]);
    expect(news.lateCount).toBe(0);
  });

  // Guards against a sender that nobody can tell, since its list counted as new
  // while it lacked the leaving.
  it.each([{ isCorrected: true }, { differsMs: 1_900 }])(
    "is late if the list before was not that of its revision, %o",
    (how) => {
      const { before, news } = createNews();
      const after = buildList(7, { "i-1": "draining", "i-2": "ready" });
      news.noteList({ before, after, ...IN_TIME, ...how });
      expect(news.lateCount).toBe(1);
    },
  );
});
