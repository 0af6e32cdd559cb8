import { expect, it } from "vitest";
import { type RequestFingerprint, toId, type VmId } from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
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
  for (const [index, { runtime }] of world.listLiveVms().entries()) {
    if (index === CRASHES) break;
    await runtime.quarantine.noteConnectionLoss(POISON, {
      id: toId<VmId>(`engine-${index}`),
      incarnation: undefined,
      hadOutput: true,
    });
  }
  await world.run(ANNOUNCEMENT_MS);
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
