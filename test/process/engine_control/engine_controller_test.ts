import { describe, expect, it } from "vitest";
import { FakeMembership } from "../../../bench/support/fake_membership.ts";
import {
  type EngineCommand,
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
  COMMAND_LEASE_MS,
  COMMAND_TRANSIT_MS,
  EngineController,
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

interface SentCommand extends EngineCommand {
  controller: VmId;
  at: number;
}

/** Engines that record every command and can ignore fencing numbers. */
class FakeEngines {
  readonly sent: SentCommand[] = [];
  readonly reports = new Map<VmId, LoadReport>(
    UPSTREAMS.map((vm) => [vm, buildReport([])]),
  );
  checksFencing = true;
  refused = 0;
  #highest = 0;

  take(controller: VmId, command: EngineCommand, at: number): boolean {
    if (this.checksFencing && command.fencing < this.#highest) {
      this.refused++;
      return false;
    }
    this.#highest = Math.max(this.#highest, command.fencing);
    this.sent.push({ ...command, controller, at });
    return true;
  }
}

/** Transport of one controller to the fake engines. */
class FakeTransport extends UpstreamTransport {
  readonly #engines: FakeEngines;
  readonly #controller: VmId;
  readonly #clock: VirtualClock;

  constructor(engines: FakeEngines, controller: VmId, clock: VirtualClock) {
    super();
    this.#engines = engines;
    this.#controller = controller;
    this.#clock = clock;
  }

  override fetchLoad(upstream: VmId): Promise<LoadReport> {
    return Promise.resolve(this.#engines.reports.get(upstream)!);
  }

  override sendCommand(_vm: VmId, command: EngineCommand): Promise<boolean> {
    const now = this.#clock.now();
    return Promise.resolve(this.#engines.take(this.#controller, command, now));
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

/** An engine controller whose records and list revision can be changed. */
class TestController {
  viewAt = 0;
  models: PoolModel[] = [MODEL_A];
  shards = 1;
  readonly membership: FakeMembership;
  readonly engineController: EngineController;

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
    this.engineController = EngineController.create({
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
  controllers: TestController[],
  ms: number,
): Promise<void> {
  const end = clock.now() + ms;
  while (clock.now() < end) {
    for (const controller of controllers) {
      controller.viewAt = clock.now();
      await controller.engineController.runRound();
    }
    await clock.run(1000);
  }
}

// Guards against two VMs commanding one engine after a pause: controller A is
// paused, the list names B, B loads model-a, and A resumes with its old revision
// and older records and replaces the model. A paused process cannot notice that
// it lost its role unless it checks the age of its revision.
describe.each(["checked", "ignored"] as const)(
  "a controller that resumes after a pause, engines with fencing %s",
  (fencing) => {
    it("sends no command once it is no longer the controller", async () => {
      const clock = VirtualClock.create();
      const engines = new FakeEngines();
      engines.checksFencing = fencing === "checked";
      const before = buildList(1, ["a"]);
      const options = { clock, engines, list: before, fencing };
      const a = new TestController(toId<VmId>("a"), options);
      a.models = [MODEL_B];
      await runFor(clock, [a], 30_000);
      expect(engines.sent.some(({ controller }) => controller === "a")).toBe(
        true,
      );

      const after = buildList(2, ["b"]);
      const b = new TestController(toId<VmId>("b"), {
        ...options,
        list: after,
      });
      await runFor(clock, [b], 90_000);
      expect(engines.sent.some(({ controller }) => controller === "b")).toBe(
        true,
      );

      const count = engines.sent.length;
      await a.engineController.runRound();
      expect(engines.sent).toHaveLength(count);
    });
  },
);

// Guards against two controllers of an engine that ignores fencing numbers: the
// list moves the upstream from A to B while A, cut off from the list, is still
// within its lease. For that time both consider themselves the controller.
describe("a change of controller", () => {
  it("waits for lease and transit time if engines ignore fencing", async () => {
    const clock = VirtualClock.create();
    const engines = new FakeEngines();
    engines.checksFencing = false;
    const options = { clock, engines, fencing: "ignored" as const };
    const a = new TestController(toId<VmId>("a"), {
      ...options,
      list: buildList(1, ["a"]),
    });
    a.models = [MODEL_A];
    await runFor(clock, [a], 20_000);
    const changedAt = clock.now();
    const b = new TestController(toId<VmId>("b"), {
      ...options,
      list: buildList(2, ["b"]),
    });
    b.models = [MODEL_B];
    a.models = [MODEL_B, MODEL_A];
    for (let step = 0; step < 40; step++) {
      b.viewAt = clock.now();
      await a.engineController.runRound();
      await b.engineController.runRound();
      await clock.run(1000);
    }
    const lastOfA = engines.sent.filter(({ controller }) => controller === "a")
      .at(-1)!;
    const firstOfB = engines.sent.find(({ controller }) => controller === "b")!;
    expect(lastOfA.at - changedAt).toBeLessThanOrEqual(COMMAND_LEASE_MS);
    expect(firstOfB.at - changedAt).toBeGreaterThanOrEqual(
      COMMAND_LEASE_MS + COMMAND_TRANSIT_MS,
    );
  });

  it("lets engines that check fencing refuse the old controller", async () => {
    const clock = VirtualClock.create();
    const engines = new FakeEngines();
    const options = { clock, engines, fencing: "checked" as const };
    const a = new TestController(toId<VmId>("a"), {
      ...options,
      list: buildList(1, ["a"]),
    });
    const b = new TestController(toId<VmId>("b"), {
      ...options,
      list: buildList(2, ["b"]),
    });
    await runFor(clock, [b], 5000);
    a.models = [MODEL_B];
    await runFor(clock, [a], 5000);
    expect(engines.refused).toBeGreaterThan(0);
    expect(engines.sent.every(({ controller }) => controller === "b")).toBe(
      true,
    );
  });
});

// Guards against two controllers with equal fencing numbers: a record change
// splits the pool into more shards, and for some seconds two VMs with the same
// list have different records. If the controller followed from the records,
// engines that check the number would execute the commands of both.
describe("VMs whose records differ under one revision", () => {
  it("agree on one controller of each upstream", async () => {
    const clock = VirtualClock.create();
    const engines = new FakeEngines();
    const list = buildList(1, ["a", "b", "c", "d"]);
    const controllers = list.vms.map(({ id }, index) => {
      const options = { clock, engines, list, fencing: "checked" as const };
      const controller = new TestController(id, options);
      controller.shards = index + 1;
      return controller;
    });
    await runFor(clock, controllers, 10_000);
    expect(engines.sent.length).toBeGreaterThan(0);
    expect(new Set(engines.sent.map(({ controller }) => controller)).size).toBe(
      1,
    );
  });
});

// Guards against overloading the weight store: one record change can require
// models on every upstream at once, and loads above the rate that the store
// sustains would slow it down for everyone.
describe("the weight store's rate", () => {
  it("is not exceeded in any minute", async () => {
    const clock = VirtualClock.create();
    const engines = new FakeEngines();
    const controller = new TestController(toId<VmId>("a"), {
      clock,
      engines,
      list: buildList(1, ["a"]),
      fencing: "checked",
    });
    controller.models = Array.from({ length: 700 }, (_, index) => ({
      ...MODEL_A,
      model: toId(`model-${index}`),
      adapters: [],
    }));
    await runFor(clock, [controller], 60_000);
    expect(engines.sent.length).toBeGreaterThan(300);
    expect(engines.sent.length).toBeLessThanOrEqual(600);
  });
});
