import { expect, it } from "vitest";
import { type RequestFingerprint, toId, type VmId } from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
import type { FuzzVm } from "../fuzz/fuzz_vm.ts";
import { FuzzWorld } from "../fuzz/fuzz_world.ts";

const POISON = toId<RequestFingerprint>("poison");
/** Longer than a call between VMs. */
const ANNOUNCEMENT_MS = 200;
/** Longer than a VM that has just started needs to receive it from a peer. */
const GOSSIP_MS = 10_000;
const CRASHES = 3;

async function createWorld(): Promise<FuzzWorld> {
  return await FuzzWorld.create({
    user: "kontrola_sever",
    vms: 3,
    seed: 1,
    log: SilentLog.create(),
  });
}

/** Notes an engine crash caused by the request on each VM. */
async function noteEngineCrashes(world: FuzzWorld): Promise<void> {
  const vms = world.listLiveVms().slice(0, CRASHES);
  const engines = vms.map((_vm, index) => toId<VmId>(`engine-${index}`));
  await noteConnectionLosses(world, vms, engines);
}

/** Notes that each VM lost its connection to one of the engines. */
async function noteConnectionLosses(
  world: FuzzWorld,
  vms: readonly FuzzVm[],
  engines: readonly VmId[],
): Promise<void> {
  const noted = vms.map(({ runtime }, index) =>
    runtime.quarantine.noteConnectionLoss({ fingerprint: POISON, parts: [] }, {
      id: engines[index]!,
      incarnation: undefined,
      hadOutput: true,
      sentAt: world.clock.now(),
    })
  );
  await world.run(ANNOUNCEMENT_MS);
  await Promise.all(noted);
}

function listQuarantineMs(world: FuzzWorld): number[] {
  return world.listLiveVms().map(({ runtime }) =>
    runtime.quarantine.getQuarantineMs(POISON)
  );
}

// Guards against each VM counting only the crashes that it saw itself.
it("quarantines the request on all VMs after engine crashes seen by three", async () => {
  const world = await createWorld();
  await noteEngineCrashes(world);
  expect(Math.min(...listQuarantineMs(world))).toBeGreaterThan(0);
  world.close();
});

it("quarantines the request on a VM that starts later", async () => {
  const world = await createWorld();
  await noteEngineCrashes(world);
  const { self } = world.listLiveVms()[0]!;
  world.listLiveVms()[0]!.destroy();
  world.startVm(self);
  await world.run(GOSSIP_MS);
  expect(listQuarantineMs(world)).toHaveLength(3);
  expect(Math.min(...listQuarantineMs(world))).toBeGreaterThan(0);
  world.close();
});

// Guards against VMs without paths to the upstreams that take their own lost
// connections for crashes, and so have an innocent request held by all VMs.
it("quarantines nothing by the evidence of VMs that lost their links", async () => {
  const world = await createWorld();
  const cut = world.listLiveVms().slice(0, 2);
  cut.forEach((vm) => world.upstreams.cutOff.add(vm.incarnation));
  const engines = [...world.upstreams.engines.keys()];
  await noteConnectionLosses(world, cut, engines);
  await noteConnectionLosses(world, cut, engines.toReversed());
  expect(listQuarantineMs(world)).toEqual([0, 0, 0]);
  world.close();
});

it("quarantines the request under which engines of the list crashed", async () => {
  const world = await createWorld();
  const vms = world.listLiveVms();
  const engines = [...world.upstreams.engines].slice(0, CRASHES);
  for (const [index, [id, core]] of engines.entries()) {
    core.setCrashAfter(0);
    await noteConnectionLosses(world, [vms[index]!], [id]);
    core.restart();
  }
  expect(Math.min(...listQuarantineMs(world))).toBeGreaterThan(0);
  world.close();
});
