import { describe, expect, it } from "vitest";
import { FakeMembership } from "../../../bench/support/fake_membership.ts";
import {
  type EngineOrder,
  type LoadReport,
  UpstreamTransport,
} from "../../../src/connection/index.ts";
import {
  type DataCentre,
  type Incarnation,
  type PoolName,
  toId,
  type VmId,
} from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import {
  ORDER_LEASE_MS,
  ORDER_TRANSIT_MS,
  OrderGiver,
} from "../../../src/process/engine_control/index.ts";
import type { PeerDirectory } from "../../../src/process/peer_api.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import type {
  ListedVm,
  MembershipList,
  PoolModel,
  Snapshot,
  UpstreamPool,
} from "../../../src/version/index.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildPool, buildReport, MODEL_A, MODEL_B } from "./fixtures.ts";

const UPSTREAMS = ["u1", "u2"].map((id) => toId<VmId>(id));

interface GivenOrder extends EngineOrder {
  giver: VmId;
  at: number;
}

/** Engines that note every order and check the number only when told to. */
class FakeEngines {
  readonly given: GivenOrder[] = [];
  readonly reports = new Map<VmId, LoadReport>(
    UPSTREAMS.map((vm) => [vm, buildReport([])]),
  );
  checksFencing = true;
  refused = 0;
  #highest = 0;

  take(giver: VmId, order: EngineOrder, at: number): boolean {
    if (this.checksFencing && order.fencing < this.#highest) {
      this.refused++;
      return false;
    }
    this.#highest = Math.max(this.#highest, order.fencing);
    this.given.push({ ...order, giver, at });
    return true;
  }
}

/** One giver's way to the engines. */
class FakeTransport extends UpstreamTransport {
  readonly #engines: FakeEngines;
  readonly #giver: VmId;
  readonly #clock: VirtualClock;

  constructor(engines: FakeEngines, giver: VmId, clock: VirtualClock) {
    super();
    this.#engines = engines;
    this.#giver = giver;
    this.#clock = clock;
  }

  override fetchLoad(upstream: VmId): Promise<LoadReport> {
    return Promise.resolve(this.#engines.reports.get(upstream)!);
  }

  override sendCommand(_vm: VmId, order: EngineOrder): Promise<boolean> {
    const now = this.#clock.now();
    return Promise.resolve(this.#engines.take(this.#giver, order, now));
  }

  override send(): never {
    throw new Error("Unused");
  }

  override fetchCacheEvents(): never {
    throw new Error("Unused");
  }

  override copyCache(): never {
    throw new Error("Unused");
  }
}

/** One VM that may give orders; its records and its view can be changed. */
class Giver {
  viewAt = 0;
  models: PoolModel[] = [MODEL_A];
  shards = 1;
  readonly membership: FakeMembership;
  readonly orders: OrderGiver;

  constructor(
    vm: VmId,
    options: {
      clock: VirtualClock;
      engines: FakeEngines;
      list: MembershipList;
      fencing: "checked" | "ignored";
    },
  ) {
    const { clock, engines, list, fencing } = options;
    this.membership = FakeMembership.create(list);
    this.orders = OrderGiver.create({
      environment: {
        vm,
        incarnation: toId<Incarnation>("i"),
        dataCentre: toId<DataCentre>("dc"),
        clock,
        random: SeededRandom.create(1),
        log: SilentLog.create(),
        peers: undefined as unknown as PeerDirectory,
        upstreams: new FakeTransport(engines, vm, clock),
      },
      membership: this.membership,
      getSnapshot: () => ({
        pools: new Map([["pool", this.#buildPool(fencing)]]),
        policy: { weightStoreOrdersPerMinute: 600 },
      } as unknown as Snapshot),
      getViewAgeMs: () => clock.now() - this.viewAt,
      listUpstreams: () => UPSTREAMS,
    });
  }

  #buildPool(fencing: "checked" | "ignored"): UpstreamPool {
    return { ...buildPool(this.models), fencing, shards: this.shards };
  }
}

function buildList(revision: number, ids: string[]): MembershipList {
  const vms = ids.map((id): ListedVm => ({
    id: toId<VmId>(id),
    role: "entry",
    state: "live",
    dataCentre: toId<DataCentre>("dc"),
    address: "127.0.0.1",
    port: 1,
    peerPort: 2,
    pool: undefined as PoolName | undefined,
  }));
  return { revision, vms };
}

async function runFor(
  clock: VirtualClock,
  givers: Giver[],
  ms: number,
): Promise<void> {
  const end = clock.now() + ms;
  while (clock.now() < end) {
    for (const giver of givers) {
      giver.viewAt = clock.now();
      await giver.orders.runRound();
    }
    await clock.run(1000);
  }
}

// Symptom: an engine drops the model that its new giver ordered and loads
// another.
// Sequence: giver A is stopped; the list names B; B orders model-a; A goes on
// and still believes in its own revision and its own older records.
// Cause: a paused process cannot know that it lost its authority unless it
// asks how old its view is.
describe.each(["checked", "ignored"] as const)(
  "a giver that wakes late, engines with fencing %s",
  (fencing) => {
    it("gives no order with lost authority", async () => {
      const clock = VirtualClock.create();
      const engines = new FakeEngines();
      engines.checksFencing = fencing === "checked";
      const before = buildList(1, ["a"]);
      const options = { clock, engines, list: before, fencing };
      const a = new Giver(toId<VmId>("a"), options);
      a.models = [MODEL_B];
      await runFor(clock, [a], 30_000);
      expect(engines.given.some(({ giver }) => giver === "a")).toBe(true);

      const after = buildList(2, ["b"]);
      const b = new Giver(toId<VmId>("b"), { ...options, list: after });
      await runFor(clock, [b], 90_000);
      expect(engines.given.some(({ giver }) => giver === "b")).toBe(true);

      const count = engines.given.length;
      await a.orders.runRound();
      expect(engines.given).toHaveLength(count);
    });
  },
);

// Symptom: an engine that ignores the number carries out two givers' orders.
// Sequence: the list moves the upstream from A to B while A, cut off from the
// list, still has a view within its lease.
// Cause: for one lease's time both have reason to believe that they may give.
describe("a change of giver at engines that ignore the number", () => {
  it("leaves the lease and the transit time between the two", async () => {
    const clock = VirtualClock.create();
    const engines = new FakeEngines();
    engines.checksFencing = false;
    const options = { clock, engines, fencing: "ignored" as const };
    const a = new Giver(toId<VmId>("a"), {
      ...options,
      list: buildList(1, ["a"]),
    });
    a.models = [MODEL_A];
    await runFor(clock, [a], 20_000);
    const changedAt = clock.now();
    const b = new Giver(toId<VmId>("b"), {
      ...options,
      list: buildList(2, ["b"]),
    });
    b.models = [MODEL_B];
    a.models = [MODEL_B, MODEL_A];
    for (let step = 0; step < 40; step++) {
      b.viewAt = clock.now();
      await a.orders.runRound();
      await b.orders.runRound();
      await clock.run(1000);
    }
    const lastOfA = engines.given.filter(({ giver }) => giver === "a").at(-1)!;
    const firstOfB = engines.given.find(({ giver }) => giver === "b")!;
    expect(lastOfA.at - changedAt).toBeLessThanOrEqual(ORDER_LEASE_MS);
    expect(firstOfB.at - changedAt).toBeGreaterThanOrEqual(
      ORDER_LEASE_MS + ORDER_TRANSIT_MS,
    );
  });

  it("is refused by engines that check it, at once", async () => {
    const clock = VirtualClock.create();
    const engines = new FakeEngines();
    const options = { clock, engines, fencing: "checked" as const };
    const a = new Giver(toId<VmId>("a"), {
      ...options,
      list: buildList(1, ["a"]),
    });
    const b = new Giver(toId<VmId>("b"), {
      ...options,
      list: buildList(2, ["b"]),
    });
    await runFor(clock, [b], 5000);
    a.models = [MODEL_B];
    await runFor(clock, [a], 5000);
    expect(engines.refused).toBeGreaterThan(0);
    expect(engines.given.every(({ giver }) => giver === "b")).toBe(true);
  });
});

// Symptom: an engine that checks the number carries out two givers' orders.
// Sequence: a change of records splits the pool into more shards; for some
// seconds two VMs with one list have different records.
// Cause: the giver follows from the records, and equal numbers then no longer
// mean equal givers.
describe("VMs whose records differ under one revision", () => {
  it("name one giver of each upstream", async () => {
    const clock = VirtualClock.create();
    const engines = new FakeEngines();
    const list = buildList(1, ["a", "b", "c", "d"]);
    const givers = list.vms.map(({ id }, index) => {
      const options = { clock, engines, list, fencing: "checked" as const };
      const giver = new Giver(id, options);
      giver.shards = index + 1;
      return giver;
    });
    await runFor(clock, givers, 10_000);
    expect(engines.given.length).toBeGreaterThan(0);
    expect(new Set(engines.given.map(({ giver }) => giver)).size).toBe(1);
  });
});

// Symptom: the weight store answers slowly to everyone after a change of
// records.
// Sequence: one record asks for models on every upstream at once.
// Cause: loads are not held to the rate that the store bears.
describe("the weight store's rate", () => {
  it("is kept over any minute", async () => {
    const clock = VirtualClock.create();
    const engines = new FakeEngines();
    const giver = new Giver(toId<VmId>("a"), {
      clock,
      engines,
      list: buildList(1, ["a"]),
      fencing: "checked",
    });
    giver.models = Array.from({ length: 700 }, (_, index) => ({
      ...MODEL_A,
      model: toId(`model-${index}`),
      adapters: [],
    }));
    await runFor(clock, [giver], 60_000);
    expect(engines.given.length).toBeGreaterThan(300);
    expect(engines.given.length).toBeLessThanOrEqual(600);
  });
});
