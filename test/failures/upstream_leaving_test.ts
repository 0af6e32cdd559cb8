import { expect, it } from "vitest";
import {
  createSteadyWorld,
  findUpstream,
  listSendTimes,
  sendLoad,
} from "../support/steady_load.ts";

const LEAVING = { "x-leaving": "1" };
/** A leaving upstream may still get requests this long after its notice. */
const DRAIN_MS = 2_000;
const WATCHED_MS = 8_000;

for (const kind of ["service", "model"] as const) {
  // Guards against sending to an upstream that announces only in its answers
  // that it leaves: the list lags, and its load reports are missing.
  it(`stops sending to a ${kind} upstream that announces its leaving in answers`, async () => {
    const world = await createSteadyWorld();
    const leaving = findUpstream(world, kind);
    world.upstreams.extraHeaders.set(leaving, LEAVING);
    world.upstreams.unreported.add(leaving);
    await sendLoad(world, kind, DRAIN_MS);
    expect(listSendTimes(world, leaving, 0).length).toBeGreaterThan(0);
    const knownAt = world.clock.now();
    await sendLoad(world, kind, WATCHED_MS);
    expect(listSendTimes(world, leaving, knownAt)).toEqual([]);
    world.close();
  });
}

// Guards against older load reports that revoke the notice.
it("stops sending to a leaving engine whose load reports are outdated", async () => {
  const world = await createSteadyWorld();
  const engine = findUpstream(world, "model");
  world.upstreams.extraHeaders.set(engine, LEAVING);
  await sendLoad(world, "model", DRAIN_MS);
  const knownAt = world.clock.now();
  await sendLoad(world, "model", WATCHED_MS);
  expect(listSendTimes(world, engine, knownAt)).toEqual([]);
  world.close();
});
