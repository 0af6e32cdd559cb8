import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import {
  ReplicaDirectory,
  type ReplicaList,
} from "../../../src/process/placement/index.ts";
import { computeListDigest } from "../../../src/process/placement/list_digest.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { computeRendezvousOrder } from "../../../src/process/rendezvous.ts";
import {
  type PublishedStore,
  type WholeState,
} from "../../../src/process/seeded_fleet/index.ts";
import type { FleetHeartbeat } from "../../../src/process/seeded_fleet/fleet_message.ts";
import { FleetPeers } from "../../../src/process/seeded_fleet/fleet_peers.ts";
import { ListAgreement } from "../../../src/process/seeded_fleet/list_agreement.ts";
import { ListVerifier } from "../../../src/process/seeded_fleet/list_verifier.ts";
import type { ReadState } from "../../../src/process/seeded_fleet/store_reader.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildListedReplicas } from "../../support/listed_replicas.ts";
import { FakeLog } from "../../support/request_fakes.ts";

const VM = toId<VmId>("vm-1");
const HEARTBEAT_GAP_MS = 150;
const STORE_CALL_MS = 4;
const RIGHT: ReplicaList = { revision: 7, replicas: buildListedReplicas(3) };
const WRONG: ReplicaList = { revision: 7, replicas: buildListedReplicas(2) };

/** A VM with `own` beside others that have either list. */
function createVerifier(
  own: ReplicaList,
  { right, wrong }: { right: readonly VmId[]; wrong: readonly VmId[] },
) {
  const clock = VirtualClock.create();
  const log = new FakeLog();
  const peers = FleetPeers.create(clock, log);
  const agreement = ListAgreement.create({ clock, log, peers });
  const replicas = ReplicaDirectory.create();
  replicas.apply(own);
  agreement.noteOwn(own);
  const reads: number[] = [];
  const applied: ReadState[] = [];
  const store = { fails: false };
  const verifier = ListVerifier.create({
    vm: VM,
    clock,
    random: SeededRandom.create(1),
    log,
    peers,
    replicas,
    agreement,
    createStore: () => ({
      fetchState: async (): Promise<WholeState> => {
        reads.push(clock.now());
        await clock.sleep(STORE_CALL_MS);
        if (store.fails) throw new Error("Store did not answer");
        return {
          revision: 7,
          configuration: undefined,
          replicas: RIGHT,
          sizeBytes: 1,
          listed: undefined,
        };
      },
    } as unknown as PublishedStore),
    onState: (read) => applied.push(read),
  });
  let sequence = 0;
  const noteHeartbeat = (vm: VmId, list: ReplicaList) => {
    sequence += 1;
    const heartbeat = {
      kind: "heartbeat",
      vm,
      incarnation: toId("life"),
      sequence,
      nextMs: HEARTBEAT_GAP_MS,
      listRevision: list.revision,
      listDigest: computeListDigest(list),
    } as FleetHeartbeat;
    peers.noteHeartbeat(heartbeat, "10.0.0.2:1");
    agreement.noteHeartbeat(heartbeat);
    if (agreement.isDiffering(vm)) verifier.noteDiffering();
  };
  /** Lets all VMs be heard again and again for `ms`. */
  const run = async (ms: number) => {
    const until = clock.now() + ms;
    while (clock.now() < until) {
      right.forEach((vm) => noteHeartbeat(vm, RIGHT));
      wrong.forEach((vm) => noteHeartbeat(vm, WRONG));
      await clock.run(HEARTBEAT_GAP_MS);
    }
  };
  return { clock, log, verifier, store, reads, applied, run };
}

function buildNames(count: number): VmId[] {
  return Array.from({ length: count }, (_, index) => toId(`vm-${index + 2}`));
}

it("a VM that differs from most reads the store within half a second", async () => {
  const { reads, applied, run } = createVerifier(WRONG, {
    right: buildNames(7),
    wrong: [],
  });
  await run(500);
  expect(reads).toHaveLength(1);
  expect(applied).toMatchObject([{ isWhole: true, state: { revision: 7 } }]);
});

// Guards against a fleet whose VMs all read the store since one of them differs.
it("of the VMs that agree only the first reads", async () => {
  const names = buildNames(7);
  const [odd, ...others] = names as [VmId, ...VmId[]];
  const { reads, run } = createVerifier(RIGHT, { right: others, wrong: [odd] });
  await run(5_000);
  const [first] = computeRendezvousOrder("list-check", [VM, ...others]);
  expect(first).not.toBe(VM);
  expect(reads).toEqual([]);
});

// Guards against reads without end, by VMs whose software takes an entry of the
// store for another one.
it("a difference that stays is looked at ever more rarely", async () => {
  const { log, reads, run } = createVerifier(RIGHT, {
    right: [],
    wrong: buildNames(3),
  });
  await run(600_000);
  expect(reads.length).toBeLessThan(15);
  expect(reads[1]! - reads[0]!).toBeLessThan(2_000);
  const verified = log.lines.filter(({ event }) => event === "list_verified");
  expect(verified).toHaveLength(reads.length);
});

it("a read that fails is tried again, and logged", async () => {
  const { log, store, reads, applied, run } = createVerifier(WRONG, {
    right: buildNames(3),
    wrong: [],
  });
  store.fails = true;
  await run(500);
  store.fails = false;
  await run(2_000);
  expect(log.lines).toContainEqual({
    level: "info",
    event: "list_not_verified",
    fields: { error: "Store did not answer" },
  });
  expect(reads.length).toBeGreaterThan(1);
  expect(applied).not.toEqual([]);
});

it("a VM that has stopped reads nothing", async () => {
  const { verifier, reads, run } = createVerifier(WRONG, {
    right: buildNames(3),
    wrong: [],
  });
  await run(HEARTBEAT_GAP_MS);
  verifier.stop();
  await run(2_000);
  expect(reads).toEqual([]);
});
