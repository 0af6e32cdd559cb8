import { expect, it } from "vitest";
import { readEnd } from "../fuzz/fuzz_answer.ts";
import {
  createSteadyWorld,
  findUpstream,
  listSentAt,
  sendFor,
} from "../support/steady_load.ts";

const HEADER = "x-max-requests-per-second";
const LIMIT_PER_S = 1;
const WINDOW_MS = 4_000;
/** What an upstream may get in a window: half as much again, and five. */
const MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;
/** Owners have heard of a limit by then. */
const KNOWN_AFTER_MS = 1_500;
const FLOOD_MS = 12_000;

function countMost(times: readonly number[]): number {
  const counts = times.map((from) =>
    times.filter((at) => at >= from && at < from + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

for (const kind of ["service", "model"] as const) {
  // Guards against owners that grant slots as ever at an upstream in need.
  it(`a ${kind} upstream gets what it takes from all VMs`, async () => {
    const world = await createSteadyWorld();
    const limited = findUpstream(world, kind);
    world.upstreams.extraHeaders.set(limited, {
      [HEADER]: String(LIMIT_PER_S),
    });
    await sendFor(world, kind, KNOWN_AFTER_MS);
    const knownAt = world.clock.now();
    await sendFor(world, kind, FLOOD_MS);
    const times = listSentAt(world, limited, knownAt);
    expect(countMost(times)).toBeLessThanOrEqual(MOST_IN_WINDOW);
    expect(times.length).toBeGreaterThanOrEqual(FLOOD_MS / 2_000);
    world.close();
  });

  it(`a ${kind} upstream gets its share again afterwards`, async () => {
    const world = await createSteadyWorld();
    const limited = findUpstream(world, kind);
    world.upstreams.extraHeaders.set(limited, {
      [HEADER]: String(LIMIT_PER_S),
    });
    await sendFor(world, kind, KNOWN_AFTER_MS);
    world.upstreams.extraHeaders.clear();
    await sendFor(world, kind, 3_000 / LIMIT_PER_S);
    const endedAt = world.clock.now();
    await sendFor(world, kind, FLOOD_MS);
    const times = listSentAt(world, limited, endedAt);
    expect(times.length).toBeGreaterThan(2 * LIMIT_PER_S * FLOOD_MS / 1_000);
    expect(
      world.submissions.filter((each) => readEnd(each).kind === "wrong"),
    ).toEqual([]);
    world.close();
  });
}
