/**
 * A small fleet in virtual time with a steady load on upstreams of one kind.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
import { listClasses } from "../fuzz/fuzz_request.ts";
import { FuzzWorld } from "../fuzz/fuzz_world.ts";

const USER = "kontrola_sever";
const VMS = 3;
const SEND_INTERVAL_MS = 100;

/** Whether upstreams are model engines or service replicas. */
export type UpstreamKind = "model" | "service";

/** Creates a serving fleet. */
export function createSteadyWorld(): Promise<FuzzWorld> {
  return FuzzWorld.create({
    user: USER,
    vms: VMS,
    seed: 1,
    log: SilentLog.create(),
  });
}

/** Finds the first upstream of a kind. */
export function findUpstream(world: FuzzWorld, kind: UpstreamKind): VmId {
  const { engines, services } = world.upstreams;
  const [first] = kind === "model" ? engines.keys() : services.keys();
  return first!;
}

/** Sends idempotent requests to the VMs in turn for `ms`. */
export async function sendLoad(
  world: FuzzWorld,
  kind: UpstreamKind,
  ms: number,
): Promise<void> {
  const classIndex = listClasses(USER).findIndex(
    ({ maxOutputTokens, idempotent }) =>
      idempotent && (maxOutputTokens > 1) === (kind === "model"),
  );
  for (let at = 0; at < ms; at += SEND_INTERVAL_MS) {
    const vms = world.listLiveVms();
    const vm = vms[(at / SEND_INTERVAL_MS) % vms.length]!;
    const request = world.buildRequest({
      classIndex,
      workspaceIndex: at / SEND_INTERVAL_MS,
      tokens: 2,
      promptTokens: 10,
      streamed: true,
      once: false,
    });
    world.send(vm, request);
    await world.run(SEND_INTERVAL_MS);
  }
}

/** Lists the times of requests sent to an upstream from `since` on. */
export function listSendTimes(
  world: FuzzWorld,
  upstream: VmId,
  since: number,
): number[] {
  return world.upstreams.sends
    .filter((send) => send.upstream === upstream && send.at >= since)
    .map(({ at }) => at);
}
