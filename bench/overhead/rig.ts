/**
 * What the benches on real daemons ask of their fleet.
 *
 * @module
 */
import type { DemoFleet, EntryVm } from "../../demo/fleet.ts";
import { fetchJson } from "../../demo/http_call.ts";
import type { EngineOptions } from "../../standin/engine_options.ts";
import type { Way } from "./measures.ts";
import { KEY, MODEL } from "./overhead_records.ts";

/** An engine that costs next to nothing, so that the router shows. */
export const FAST_ENGINE: Readonly<Partial<EngineOptions>> = {
  baseMs: 1,
  perRunningMs: 0,
  prefillMsPerToken: 0,
  maxBatch: 4_096,
  memoryTokens: 1_000_000_000,
};

/** An engine whose streams stay open: a token a second. */
export const SLOW_ENGINE: Readonly<Partial<EngineOptions>> = {
  ...FAST_ENGINE,
  baseMs: 1_000,
};

/** The VM that owns the first shard that the fleet tells of. */
export async function findOwner(fleet: DemoFleet): Promise<EntryVm> {
  const status = await fetchJson<{ shards: { owner: string }[] }>({
    port: fleet.entryVms[0]!.operatorPort,
    method: "GET",
    path: "/v1/status",
    headers: { authorization: `Bearer ${fleet.secret}` },
  });
  const owner = fleet.entryVms.find(({ id }) => id === status.shards[0]?.owner);
  if (owner === undefined) throw new Error("No VM owns the shard");
  return owner;
}

/** The way through `vm`. */
export function buildVmWay(name: string, vm: EntryVm): Way {
  return {
    name,
    target: { port: vm.port, model: MODEL, key: KEY },
    pid: vm.child.pid,
  };
}
