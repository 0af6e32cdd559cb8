/**
 * One run: a fleet, a sequence of events, a wait until idle, and the checks.
 *
 * @module
 */
import fc from "fast-check";
import type { User } from "../../bench/support/example_records.ts";
import type { Log } from "../../src/process/log.ts";
import type { FuzzCommand, FuzzModel } from "./fuzz_commands.ts";
import { findFalseStatuses } from "./fuzz_request_statuses.ts";
import { removeAllFaults } from "./fuzz_faults.ts";
import {
  findViolations,
  findWorkWhileLeaving,
  type Violation,
} from "./fuzz_oracle.ts";
import { FuzzWorld } from "./fuzz_world.ts";

/** Twice the longest wait of a class plus the longest call, as upper bound. */
const MAX_IDLE_WAIT_MS = 120_000;
/** Leases, withdrawn tickets and pending refusals have expired by then. */
const SETTLE_MS = 12_000;
const IDLE_POLL_MS = 2_000;

/** Options of a run. */
export interface RunOptions {
  user: User;
  seed: number;
  vms: number;
  log?: Log;
}

/** The violated invariants of a run. */
class InvariantViolationError extends Error {
  readonly broken: readonly Violation[];

  constructor(broken: readonly Violation[]) {
    const lines = broken.map(({ invariant, detail }) =>
      `${invariant}: ${detail}`
    );
    super(lines.join("\n"));
    this.name = "BrokenPromiseError";
    this.broken = broken;
  }
}

/** Runs the commands and returns the world; throws on a violated invariant. */
export async function runFuzz(
  options: RunOptions,
  commands: Iterable<FuzzCommand>,
): Promise<FuzzWorld> {
  const world = await FuzzWorld.create(options);
  try {
    const model: FuzzModel = { submissions: 0, issued: 0 };
    await fc.asyncModelRun(() => ({ model, real: world }), commands);
    const broken = findWorkWhileLeaving(world);
    await waitUntilIdle(world);
    broken.push(...findViolations(world));
    broken.push(...await findFalseStatuses(world));
    if (broken.length > 0) throw new InvariantViolationError(broken);
    return world;
  } finally {
    world.close();
  }
}

async function waitUntilIdle(world: FuzzWorld): Promise<void> {
  removeAllFaults(world);
  for (const vm of world.listEntries()) {
    if (world.findVm(vm.id) === undefined) world.startVm(vm);
  }
  const endsAt = world.clock.now() + MAX_IDLE_WAIT_MS;
  const isBusy = () =>
    world.listLiveVms().some(({ runtime }) =>
      runtime.inFlight > 0 || runtime.claims.unsettledCount > 0
    );
  while (isBusy() && world.clock.now() < endsAt) {
    await world.run(IDLE_POLL_MS);
  }
  await world.run(SETTLE_MS);
}
