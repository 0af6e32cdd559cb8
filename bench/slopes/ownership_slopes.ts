/**
 * Slopes of the work that every VM does for all replicas and shards: finding
 * the shards that it owns, and choosing a shard for a request.
 *
 * @module
 */
import { toId, type VmId } from "../../src/ids.ts";
import type { Environment } from "../../src/process/environment.ts";
import { FleetMembership } from "../../src/process/fleet_membership.ts";
import { SilentLog } from "../../src/process/log.ts";
import type { PeerDirectory } from "../../src/process/peer_api.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { LeaseClient, ShardOwners } from "../../src/process/scheduler/index.ts";
import type { LeaseRequest } from "../../src/process/services.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { createRefusingTransport } from "./fakes.ts";
import { buildLargeList, buildLargeSnapshot } from "./large_records.ts";
import {
  collectSlope,
  countHeap,
  countProcessorTime,
  type Slope,
} from "./slope.ts";

const REPLICAS = [320, 640, 1_280, 2_560];
const VMS = 380;
const WORKSPACES = 10;
const SECONDS = 5;
const REQUESTS = 100;
const MS_PER_SECOND = 1_000;
/** A VM that is not on the list, so that it owns nothing and calls no peer. */
const UNLISTED_VM = toId<VmId>("outsider");

/** Measures the costs that grow with replicas and shards on every VM. */
export async function collectOwnershipSlopes(): Promise<Slope[]> {
  return [
    await collectSlope("ownership rounds: processor", REPLICAS, {
      size: "replicas in the list",
      unit: "µs a second at each VM",
      count: countRounds,
    }),
    await collectSlope("shard choice: processor", REPLICAS, {
      size: "replicas in the list",
      unit: "µs a request",
      count: countChoice,
    }),
    await collectSlope("membership list: heap", REPLICAS, {
      size: "replicas in the list",
      unit: "KiB, 380 entry VMs with it",
      count: (replicas) =>
        countHeap(() => createMembership(createEnvironment(), replicas)),
    }),
  ];
}

async function countRounds(replicas: number): Promise<number> {
  const environment = createEnvironment();
  const membership = createMembership(environment, replicas);
  const snapshot = buildLargeSnapshot(WORKSPACES, replicas);
  const owners = ShardOwners.create({
    environment,
    membership,
    getSnapshot: () => snapshot,
  });
  owners.start();
  const clock = environment.clock as VirtualClock;
  const each = await countProcessorTime(
    SECONDS,
    () => clock.run(SECONDS * MS_PER_SECOND),
  );
  owners.stop();
  return each;
}

async function countChoice(replicas: number): Promise<number> {
  const environment = createEnvironment();
  const membership = createMembership(environment, replicas);
  const snapshot = buildLargeSnapshot(WORKSPACES, replicas);
  const leases = LeaseClient.create({
    environment,
    membership,
    getSnapshot: () => snapshot,
    getLocal: () => {
      throw new Error("Unexpected call to the local owner");
    },
  });
  const signal = AbortSignal.abort();
  let requests = 0;
  return await countProcessorTime(REQUESTS, async (count) => {
    for (let index = 0; index < count; index++) {
      // The signal is aborted: a shard is chosen, but no owner is called.
      await leases.acquire(buildRequest(requests++), { signal, onStep() {} })
        .catch(() => {});
    }
  });
}

function createMembership(
  environment: Environment,
  replicas: number,
): FleetMembership {
  const list = buildLargeList(VMS, replicas);
  const self = { ...list.vms[0]!, id: environment.vm };
  const membership = FleetMembership.create({ environment, self });
  membership.applyList(list);
  return membership;
}

function createEnvironment(): Environment {
  return {
    vm: UNLISTED_VM,
    incarnation: toId("1"),
    dataCentre: toId("dc-0"),
    clock: VirtualClock.create(),
    random: SeededRandom.create(1),
    log: SilentLog.create(),
    peers: undefined as unknown as PeerDirectory,
    upstreams: createRefusingTransport(),
  };
}

function buildRequest(index: number): LeaseRequest {
  return {
    requestId: toId(`request-${index}`),
    attempt: 1,
    workspace: toId("workspace-1"),
    className: toId("class-1"),
    pool: toId(`models-${index % 6}`),
    model: toId(`model-${index % 6}`),
    adapter: undefined,
    arrivedAt: 0,
    deadlineAt: 60_000,
    promptTokens: 1_200,
    maxTokens: 1_024,
    doneTokens: 0,
    idempotent: true,
    prefixes: [`prefix-${index}`],
    avoid: [],
  };
}
