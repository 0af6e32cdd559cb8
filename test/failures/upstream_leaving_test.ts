import { expect, it } from "vitest";
import {
  createSteadyWorld,
  findUpstream,
  listSentAt,
  sendFor,
} from "../support/steady_load.ts";

const LEAVING = { "x-leaving": "1" };
/** What an upstream that leaves may still get after it has said so. */
const DRAIN_MS = 2_000;
const WATCHED_MS = 8_000;

for (const kind of ["service", "model"] as const) {
  // Guards against an upstream whose answers are the only ones to say so: the
  // list lags, and its load reports do not come.
  it(`a ${kind} upstream that says in answers that it leaves`, async () => {
    const world = await createSteadyWorld();
    const leaving = findUpstream(world, kind);
    world.upstreams.extraHeaders.set(leaving, LEAVING);
    world.upstreams.unreported.add(leaving);
    await sendFor(world, kind, DRAIN_MS);
    expect(listSentAt(world, leaving, 0).length).toBeGreaterThan(0);
    const knownAt = world.clock.now();
    await sendFor(world, kind, WATCHED_MS);
    expect(listSentAt(world, leaving, knownAt)).toEqual([]);
    world.close();
  });
}

// Guards against load reports, which are older, that take the word back.
it("an engine whose load reports do not say so yet", async () => {
  const world = await createSteadyWorld();
  const engine = findUpstream(world, "model");
  world.upstreams.extraHeaders.set(engine, LEAVING);
  await sendFor(world, "model", DRAIN_MS);
  const knownAt = world.clock.now();
  await sendFor(world, "model", WATCHED_MS);
  expect(listSentAt(world, engine, knownAt)).toEqual([]);
  world.close();
});
