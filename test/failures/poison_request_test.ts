import { expect, it } from "vitest";
import { type RequestFingerprint, toId, type VmId } from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
import { FuzzWorld } from "../fuzz/fuzz_world.ts";

const POISON = toId<RequestFingerprint>("poison");
/** Longer than a call between VMs takes. */
const TOLD_MS = 200;
/** Longer than a VM that starts takes to hear it from one of the others. */
const HEARD_MS = 10_000;
const CRASHES = 3;

async function createWorld(): Promise<FuzzWorld> {
  return await FuzzWorld.create({
    user: "kontrola_sever",
    vms: 3,
    seed: 1,
    log: SilentLog.create(),
  });
}

/** Each VM has an engine crash under the request. */
async function endEngines(world: FuzzWorld): Promise<void> {
  for (const [index, { runtime }] of world.listLives().entries()) {
    if (index === CRASHES) break;
    await runtime.quarantine.noteConnectionLoss(POISON, {
      id: toId<VmId>(`engine-${index}`),
      incarnation: undefined,
      hadOutput: true,
    });
  }
  await world.run(TOLD_MS);
}

function listHeldMs(world: FuzzWorld): number[] {
  return world.listLives().map(({ runtime }) =>
    runtime.quarantine.getQuarantineMs(POISON)
  );
}

// Guards against each VM learning by crashes of its own.
it("engines that crash at three VMs are told to all", async () => {
  const world = await createWorld();
  await endEngines(world);
  expect(Math.min(...listHeldMs(world))).toBeGreaterThan(0);
  world.close();
});

it("a VM that starts later hears of them", async () => {
  const world = await createWorld();
  await endEngines(world);
  const { self } = world.listLives()[0]!;
  world.listLives()[0]!.destroy();
  world.startLife(self);
  await world.run(HEARD_MS);
  expect(listHeldMs(world)).toHaveLength(3);
  expect(Math.min(...listHeldMs(world))).toBeGreaterThan(0);
  world.close();
});
