/**
 * Slopes of the engine controller: a round on one VM.
 *
 * @module
 */
import { toId } from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
import { EngineController } from "../../src/process/engine_control/index.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { listShardUpstreams } from "../../src/process/scheduler/index.ts";
import {
  buildReport,
  FakeMembership,
} from "../../test/process/scheduler/fixtures.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { createReportingTransport } from "./fakes.ts";
import { buildLargeList, buildLargeSnapshot } from "./large_records.ts";
import { collectSlope, countProcessorTime, type Slope } from "./slope.ts";

const VMS = [48, 95, 190, 380];
const REPLICAS = 2_500;
const ROUNDS = 5;

/** Measures a round in fleets of several sizes with 2,500 replicas. */
export async function collectCommandSlopes(): Promise<Slope[]> {
  return [
    await collectSlope("orders, a round: processor", VMS, {
      size: "VMs, with 2,500 replicas",
      unit: "µs a round",
      count: countRound,
    }),
  ];
}

function countRound(vms: number): Promise<number> {
  const list = buildLargeList(vms, REPLICAS);
  const snapshot = buildLargeSnapshot(10, REPLICAS);
  const membership = new FakeMembership();
  membership.entryVms = list.vms.filter(({ role }) => role === "entry");
  membership.upstreams = list.vms.filter(({ role }) => role === "upstream");
  const controller = EngineController.create({
    environment: {
      vm: membership.entryVms[0]!.id,
      incarnation: toId("1"),
      dataCentre: toId("dc-0"),
      clock: VirtualClock.create(),
      random: SeededRandom.create(1),
      log: SilentLog.create(),
      peers: undefined as never,
      upstreams: createReportingTransport(buildReport()),
    },
    membership,
    getSnapshot: () => snapshot,
    getViewAgeMs: () => 0,
    listUpstreams: (name, index) => {
      const pool = snapshot.pools.get(name)!;
      const shard = toId<Parameters<typeof listShardUpstreams>[0]>(
        `${name}/${index}`,
      );
      return listShardUpstreams(shard, { pool, vms: membership.upstreams })
        .map(({ id }) => id);
    },
  });
  return countProcessorTime(ROUNDS, async (count) => {
    for (let index = 0; index < count; index++) await controller.runRound();
  });
}
