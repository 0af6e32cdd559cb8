/**
 * A small fleet in virtual time, and a steady load on its upstreams of one
 * kind.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
import { listClasses } from "../fuzz/fuzz_request.ts";
import { FuzzWorld } from "../fuzz/fuzz_world.ts";

const USER = "kontrola_sever";
const VMS = 3;
const SEND_EVERY_MS = 100;

/** What upstreams run. */
export type UpstreamKind = "model" | "service";

/** A fleet that serves. */
export function createSteadyWorld(): Promise<FuzzWorld> {
  return FuzzWorld.create({
    user: USER,
    vms: VMS,
    seed: 1,
    log: SilentLog.create(),
  });
}

/** The first upstream of a kind. */
export function findUpstream(world: FuzzWorld, kind: UpstreamKind): VmId {
  const { engines, services } = world.upstreams;
  const [first] = kind === "model" ? engines.keys() : services.keys();
  return first!;
}

/** Sends work that may be repeated at one VM after the other for `ms`. */
export async function sendFor(
  world: FuzzWorld,
  kind: UpstreamKind,
  ms: number,
): Promise<void> {
  const classIndex = listClasses(USER).findIndex(
    ({ maxOutputTokens, idempotent }) =>
      idempotent && (maxOutputTokens > 1) === (kind === "model"),
  );
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

/** When requests were sent to an upstream from `since` on. */
export function listSentAt(
  world: FuzzWorld,
  upstream: VmId,
  since: number,
): number[] {
  return world.upstreams.sends
    .filter((send) => send.upstream === upstream && send.at >= since)
    .map(({ at }) => at);
}
