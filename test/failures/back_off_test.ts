import { expect, it } from "vitest";
import type { VmId } from "../../src/ids.ts";
import { readEnd } from "../fuzz/fuzz_answer.ts";
import type { FuzzWorld } from "../fuzz/fuzz_world.ts";
import {
  createSteadyWorld,
  listSendTimes,
  sendLoad,
  type UpstreamKind,
} from "../support/steady_load.ts";

const BACK_OFF_S = 3;
const BACK_OFF_MS = BACK_OFF_S * 1_000;
/** Requests in flight may still arrive this long after the refusal. */
const IN_FLIGHT_MS = 500;
/** Requests that all VMs together may still send during the back-off. */
const MAX_REPEATS = 2;
const MAX_REFUSALS = 1_000;

function listUpstreams(world: FuzzWorld, kind: UpstreamKind): VmId[] {
  const { engines, services } = world.upstreams;
  return [...(kind === "model" ? engines.keys() : services.keys())];
}

/** Makes the upstream refuse requests unstarted, with a back-off time. */
function startRefusing(world: FuzzWorld, upstream: VmId): void {
  const { engines, services, extraHeaders } = world.upstreams;
  engines.get(upstream)?.refuseNextRequests(MAX_REFUSALS);
  const service = services.get(upstream);
  if (service !== undefined) {
    service.faults = Array(MAX_REFUSALS).fill("not_started");
  }
  extraHeaders.set(upstream, { "retry-after": String(BACK_OFF_S) });
}

function stopRefusing(world: FuzzWorld, upstream: VmId): void {
  const { engines, services, extraHeaders } = world.upstreams;
  engines.get(upstream)?.refuseNextRequests(0);
  const service = services.get(upstream);
  if (service !== undefined) service.faults = [];
  extraHeaders.delete(upstream);
}

for (const kind of ["service", "model"] as const) {
  // Guards against an owner that grants slots on upstreams that asked for a
  // back-off. Ejection doesn't cover this: it ejects no replica while most of
  // the pool fails.
  it(`sends nothing to ${kind} upstreams that ask for a back-off`, async () => {
    const world = await createSteadyWorld();
    const upstreams = listUpstreams(world, kind);
    upstreams.forEach((upstream) => startRefusing(world, upstream));
    await sendLoad(world, kind, BACK_OFF_MS);
    for (const upstream of upstreams) {
      const [first, ...others] = listSendTimes(world, upstream, 0);
      const repeats = others.filter((at) =>
        at > first! + IN_FLIGHT_MS && at < first! + BACK_OFF_MS
      );
      expect(repeats.length).toBeLessThanOrEqual(MAX_REPEATS);
    }
    world.close();
  });

  it(`sends ${kind} upstreams their share again after the back-off`, async () => {
    const world = await createSteadyWorld();
    const upstreams = listUpstreams(world, kind);
    upstreams.forEach((upstream) => startRefusing(world, upstream));
    await sendLoad(world, kind, BACK_OFF_MS / 2);
    upstreams.forEach((upstream) => stopRefusing(world, upstream));
    await sendLoad(world, kind, BACK_OFF_MS);
    const freeAt = world.clock.now();
    await sendLoad(world, kind, 2 * BACK_OFF_MS);
    const sent = upstreams.map((each) =>
      listSendTimes(world, each, freeAt).length
    );
    const all = sent.reduce((sum, count) => sum + count, 0);
    expect(all).toBeGreaterThan(BACK_OFF_S);
    const ends = world.submissions.map((each) => readEnd(each));
    expect(ends.filter((end) => end.kind === "wrong")).toEqual([]);
    world.close();
  });
}
