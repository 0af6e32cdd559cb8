/**
 * Helpers for benchmarks that run on real daemons.
 *
 * @module
 */
import type { DemoFleet, EntryVm } from "../../demo/fleet.ts";
import { fetchJson } from "../../demo/http_call.ts";
import type { EngineOptions } from "../../standin/engine_options.ts";
import type { CallPath } from "./measures.ts";
import { KEY, MODEL } from "./overhead_records.ts";

/** An engine with negligible cost, so that the router's cost dominates. */
export const FAST_ENGINE: Readonly<Partial<EngineOptions>> = {
  baseMs: 1,
  perRunningMs: 0,
  prefillMsPerToken: 0,
  maxBatch: 4_096,
  memoryTokens: 1_000_000_000,
};

/** An engine that keeps streams open, at one token per second. */
export const SLOW_ENGINE: Readonly<Partial<EngineOptions>> = {
  ...FAST_ENGINE,
  baseMs: 1_000,
};

/** Finds the VM that owns the first shard in the fleet's status. */
export async function findOwner(fleet: DemoFleet): Promise<EntryVm> {
  const status = await fetchJson<{ shards: { owner: string }[] }>({
    port: fleet.entryVms[0]!.operatorPort,
    method: "GET",
    path: "/v1/status",
    headers: { authorization: `Bearer ${fleet.secret}` },
  });
  const owner = fleet.entryVms.find(({ id }) => id === status.shards[0]?.owner);
  if (owner === undefined) throw new Error("No entry VM owns the shard");
  return owner;
}

/** Builds the path through `vm`. */
export function buildVmPath(name: string, vm: EntryVm): CallPath {
  return {
    name,
    target: { port: vm.port, model: MODEL, key: KEY },
    pid: vm.child.pid,
  };
}
