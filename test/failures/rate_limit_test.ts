import { expect, it } from "vitest";
import { readEnd } from "../fuzz/fuzz_answer.ts";
import {
  createSteadyWorld,
  findUpstream,
  listSendTimes,
  sendLoad,
} from "../support/steady_load.ts";

const HEADER = "x-max-requests-per-second";
const LIMIT_PER_S = 1;
const WINDOW_MS = 4_000;
/** Requests allowed in a window: 1.5 times the limit, plus five. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;
/** Owners have received a limit by then. */
const KNOWN_AFTER_MS = 1_500;
const FLOOD_MS = 12_000;

function countMaxInWindow(times: readonly number[]): number {
  const counts = times.map((from) =>
    times.filter((at) => at >= from && at < from + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

for (const kind of ["service", "model"] as const) {
  // Guards against owners that ignore an upstream's rate limit.
  it(`limits all VMs together to the rate limit of a ${kind} upstream`, async () => {
    const world = await createSteadyWorld();
    const limited = findUpstream(world, kind);
    world.upstreams.extraHeaders.set(limited, {
      [HEADER]: String(LIMIT_PER_S),
    });
    await sendLoad(world, kind, KNOWN_AFTER_MS);
    const knownAt = world.clock.now();
    await sendLoad(world, kind, FLOOD_MS);
    const times = listSendTimes(world, limited, knownAt);
    expect(countMaxInWindow(times)).toBeLessThanOrEqual(MAX_IN_WINDOW);
    expect(times.length).toBeGreaterThanOrEqual(FLOOD_MS / 2_000);
    world.close();
  });

  it(`sends a ${kind} upstream its share again after its rate limit ends`, async () => {
    const world = await createSteadyWorld();
    const limited = findUpstream(world, kind);
    world.upstreams.extraHeaders.set(limited, {
      [HEADER]: String(LIMIT_PER_S),
    });
    await sendLoad(world, kind, KNOWN_AFTER_MS);
    world.upstreams.extraHeaders.clear();
    await sendLoad(world, kind, 3_000 / LIMIT_PER_S);
    const endedAt = world.clock.now();
    await sendLoad(world, kind, FLOOD_MS);
    const times = listSendTimes(world, limited, endedAt);
    expect(times.length).toBeGreaterThan(2 * LIMIT_PER_S * FLOOD_MS / 1_000);
    expect(
      world.submissions.filter((each) => readEnd(each).kind === "wrong"),
    ).toEqual([]);
    world.close();
  });
}
