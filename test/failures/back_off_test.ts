import { expect, it } from "vitest";
import type { VmId } from "../../src/ids.ts";
import { readEnd } from "../fuzz/fuzz_answer.ts";
import type { FuzzWorld } from "../fuzz/fuzz_world.ts";
import {
  createSteadyWorld,
  listSentAt,
  sendFor,
  type UpstreamKind,
} from "../support/steady_load.ts";

const BACK_OFF_S = 3;
const BACK_OFF_MS = BACK_OFF_S * 1_000;
/** Requests in hand may still arrive so long after the refusal. */
const IN_HAND_MS = 500;
/** What all VMs together may still send meanwhile. */
const MOST_REPEATS = 2;
const MANY = 1_000;

function listUpstreams(world: FuzzWorld, kind: UpstreamKind): VmId[] {
  const { engines, services } = world.upstreams;
  return [...(kind === "model" ? engines.keys() : services.keys())];
}

/** The upstream does nothing, says so, and asks for a time without work. */
function setFull(world: FuzzWorld, upstream: VmId): void {
  const { engines, services, extraHeaders } = world.upstreams;
  engines.get(upstream)?.refuseNextRequests(MANY);
  const service = services.get(upstream);
  if (service !== undefined) service.faults = Array(MANY).fill("not_started");
  extraHeaders.set(upstream, { "retry-after": String(BACK_OFF_S) });
}

function setFree(world: FuzzWorld, upstream: VmId): void {
  const { engines, services, extraHeaders } = world.upstreams;
  engines.get(upstream)?.refuseNextRequests(0);
  const service = services.get(upstream);
  if (service !== undefined) service.faults = [];
  extraHeaders.delete(upstream);
}

for (const kind of ["service", "model"] as const) {
  // Guards against an owner that grants slots at an upstream which wants none,
  // where failures leave out none because most of the pool fails.
  it(`${kind} upstreams that ask to back off get nothing`, async () => {
    const world = await createSteadyWorld();
    const upstreams = listUpstreams(world, kind);
    upstreams.forEach((upstream) => setFull(world, upstream));
    await sendFor(world, kind, BACK_OFF_MS);
    for (const upstream of upstreams) {
      const [first, ...others] = listSentAt(world, upstream, 0);
      const repeats = others.filter((at) =>
        at > first! + IN_HAND_MS && at < first! + BACK_OFF_MS
      );
      expect(repeats.length).toBeLessThanOrEqual(MOST_REPEATS);
    }
    world.close();
  });

  it(`${kind} upstreams get their share again afterwards`, async () => {
    const world = await createSteadyWorld();
    const upstreams = listUpstreams(world, kind);
    upstreams.forEach((upstream) => setFull(world, upstream));
    await sendFor(world, kind, BACK_OFF_MS / 2);
    upstreams.forEach((upstream) => setFree(world, upstream));
    await sendFor(world, kind, BACK_OFF_MS);
    const freeAt = world.clock.now();
    await sendFor(world, kind, 2 * BACK_OFF_MS);
    const sent = upstreams.map((each) =>
      listSentAt(world, each, freeAt).length
    );
    const all = sent.reduce((sum, count) => sum + count, 0);
    expect(all).toBeGreaterThan(BACK_OFF_S);
    const ends = world.submissions.map((each) => readEnd(each));
    expect(ends.filter((end) => end.kind === "wrong")).toEqual([]);
    world.close();
  });
}
