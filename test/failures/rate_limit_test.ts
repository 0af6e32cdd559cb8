import { expect, it } from "vitest";
import type { VmId } from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
import { listClasses } from "../fuzz/fuzz_request.ts";
import { readEnd } from "../fuzz/fuzz_answer.ts";
import { FuzzWorld } from "../fuzz/fuzz_world.ts";

const USER = "kontrola_sever";
const HEADER = "x-max-requests-per-second";
const LIMIT_PER_S = 1;
const WINDOW_MS = 4_000;
/** What an upstream may get in a window: half as much again, and five. */
const MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;
/** Owners have heard of a limit by then. */
const KNOWN_AFTER_MS = 1_500;
const FLOOD_MS = 12_000;
const SEND_EVERY_MS = 100;

type Kind = "model" | "service";

function createWorld(): Promise<FuzzWorld> {
  return FuzzWorld.create({
    user: USER,
    vms: 3,
    seed: 1,
    log: SilentLog.create(),
  });
}

function findUpstream(world: FuzzWorld, kind: Kind): VmId {
  const { engines, services } = world.upstreams;
  const [first] = kind === "model" ? engines.keys() : services.keys();
  return first!;
}

function findClassIndex(kind: Kind): number {
  return listClasses(USER).findIndex(({ maxOutputTokens, idempotent }) =>
    idempotent && (maxOutputTokens > 1) === (kind === "model")
  );
}

/** Sends at one VM after the other for `ms`. */
async function sendFor(
  world: FuzzWorld,
  kind: Kind,
  ms: number,
): Promise<void> {
  const classIndex = findClassIndex(kind);
  for (let at = 0; at < ms; at += SEND_EVERY_MS) {
    const lives = world.listLives();
    const life = lives[(at / SEND_EVERY_MS) % lives.length]!;
    const request = world.buildRequest({
      classIndex,
      workspaceIndex: at / SEND_EVERY_MS,
      tokens: 2,
      promptTokens: 10,
      streamed: true,
      once: false,
    });
    world.send(life, request);
    await world.run(SEND_EVERY_MS);
  }
}

function listSentAt(world: FuzzWorld, upstream: VmId, since: number): number[] {
  return world.upstreams.sends
    .filter((send) => send.upstream === upstream && send.at >= since)
    .map(({ at }) => at);
}

function countMost(times: readonly number[]): number {
  const counts = times.map((from) =>
    times.filter((at) => at >= from && at < from + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

for (const kind of ["service", "model"] as const) {
  // Guards against owners that grant slots as ever at an upstream in need.
  it(`a ${kind} upstream gets what it takes from all VMs`, async () => {
    const world = await createWorld();
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
    const world = await createWorld();
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
