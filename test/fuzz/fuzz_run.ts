/**
 * One run: a fleet, a sequence of events, quiet, and the oracle.
 *
 * @module
 */
import fc from "fast-check";
import type { User } from "../../bench/support/example_records.ts";
import type { Log } from "../../src/process/log.ts";
import type { FuzzCommand, FuzzModel } from "./fuzz_commands.ts";
import { findFalseFates } from "./fuzz_fates.ts";
import { removeAllFaults } from "./fuzz_faults.ts";
import {
  type BrokenPromise,
  findBrokenPromises,
  findWorkWhileLeaving,
} from "./fuzz_oracle.ts";
import { FuzzWorld } from "./fuzz_world.ts";

/** Longest wait of a class, then the longest call, twice. */
const MAX_QUIET_MS = 120_000;
/** Leases, withdrawn tickets and verdicts are gone by then. */
const QUIET_MS = 12_000;
const QUIET_STEP_MS = 2_000;

/** What a run starts from. */
export interface RunOptions {
  user: User;
  seed: number;
  vms: number;
  log?: Log;
}

/** A promise broken in a run. */
class BrokenPromiseError extends Error {
  readonly broken: readonly BrokenPromise[];

  constructor(broken: readonly BrokenPromise[]) {
    const lines = broken.map(({ promise, detail }) => `${promise}: ${detail}`);
    super(lines.join("\n"));
    this.name = "BrokenPromiseError";
    this.broken = broken;
  }
}

/** Runs the commands; throws `BrokenPromiseError`. Gives the world after it. */
export async function runFuzz(
  options: RunOptions,
  commands: Iterable<FuzzCommand>,
): Promise<FuzzWorld> {
  const world = await FuzzWorld.create(options);
  try {
    const model: FuzzModel = { submissions: 0, taken: 0 };
    await fc.asyncModelRun(() => ({ model, real: world }), commands);
    const broken = findWorkWhileLeaving(world);
    await waitForQuiet(world);
    broken.push(...findBrokenPromises(world));
    broken.push(...await findFalseFates(world));
    if (broken.length > 0) throw new BrokenPromiseError(broken);
    return world;
  } finally {
    world.close();
  }
}

async function waitForQuiet(world: FuzzWorld): Promise<void> {
  removeAllFaults(world);
  for (const vm of world.listEntries()) {
    if (world.findLife(vm.id) === undefined) world.startLife(vm);
  }
  const endsAt = world.clock.now() + MAX_QUIET_MS;
  const isBusy = () =>
    world.listLives().some(({ runtime }) =>
      runtime.inFlight > 0 || runtime.claims.unsettledCount > 0
    );
  while (isBusy() && world.clock.now() < endsAt) {
    await world.run(QUIET_STEP_MS);
  }
  await world.run(QUIET_MS);
}
