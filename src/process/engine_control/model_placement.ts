/**
 * Which model each upstream of a shard should hold.
 *
 * @module
 */
import type { EngineOrder, LoadReport } from "../../connection/index.ts";
import type { VmId } from "../../ids.ts";
import type { PoolModel, UpstreamPool } from "../../version/index.ts";
import { computeRendezvousOrder } from "../rendezvous.ts";

/** The part of a pool that one shard has to place. */
export interface PlacementInput {
  pool: UpstreamPool;
  shardIndex: number;
  /** The shard's upstreams that may get work. */
  upstreams: readonly VmId[];
  /** The latest report of each upstream; absent while none is known. */
  reports: ReadonlyMap<VmId, LoadReport>;
}

/** One order that brings an upstream closer to its desired state. */
export interface PlannedCommand {
  upstream: VmId;
  command: Omit<EngineOrder, "fencing">;
}

/**
 * The orders that are still missing. An upstream without a report gets none:
 * what it holds is not known. A model is unloaded only once the models that
 * the records ask for stand on enough upstreams.
 */
export function planCommands(input: PlacementInput): PlannedCommand[] {
  const desired = chooseModels(input);
  const roles: PlannedCommand[] = [];
  const loads: PlannedCommand[] = [];
  const unloads: PlannedCommand[] = [];
  for (const [upstream, models] of desired) {
    const report = input.reports.get(upstream);
    if (report === undefined) continue;
    roles.push(...listRoleChanges(upstream, input.pool.role, report));
    loads.push(...listMissingLoads(upstream, models, report));
    unloads.push(...listUnloads(upstream, models, report));
  }
  return [...roles, ...(loads.length > 0 ? loads : unloads)];
}

/** The models that each upstream of the shard should hold. */
export function chooseModels(
  input: PlacementInput,
): Map<VmId, PoolModel[]> {
  const desired = new Map<VmId, PoolModel[]>(
    input.upstreams.map((upstream) => [upstream, []]),
  );
  for (const model of input.pool.models) {
    const wanted = countWanted(input.pool, model, input.shardIndex);
    for (const upstream of chooseHolders(input, desired, model, wanted)) {
      desired.get(upstream)?.push(model);
    }
  }
  return desired;
}

/** The shard's part of the replicas that a model should have. */
function countWanted(
  pool: UpstreamPool,
  model: PoolModel,
  shardIndex: number,
): number {
  const before = Math.floor((shardIndex * model.replicas) / pool.shards);
  const after = Math.floor(((shardIndex + 1) * model.replicas) / pool.shards);
  return after - before;
}

/**
 * Upstreams that hold the model already come first, so that a change of
 * membership moves as few weights as possible; then those with the fewest
 * models; rendezvous order breaks ties alike on every VM.
 */
function chooseHolders(
  input: PlacementInput,
  desired: ReadonlyMap<VmId, PoolModel[]>,
  model: PoolModel,
  wanted: number,
): VmId[] {
  const key = `${input.pool.name}/${model.model}`;
  const order = computeRendezvousOrder(key, input.upstreams);
  const rank = new Map(order.map((upstream, index) => [upstream, index]));
  const cost = (upstream: VmId): number => {
    const report = input.reports.get(upstream);
    const holds = report !== undefined && hasModel(report, model);
    const models = desired.get(upstream)?.length ?? 0;
    return (holds ? 0 : 1) + 2 * models;
  };
  return [...input.upstreams]
    .sort((a, b) => cost(a) - cost(b) || rank.get(a)! - rank.get(b)!)
    .slice(0, wanted);
}

function hasModel(report: LoadReport, model: PoolModel): boolean {
  return report.models.some((held) =>
    held.model === model.model && held.version === model.version
  );
}

function listMissingLoads(
  upstream: VmId,
  models: PoolModel[],
  report: LoadReport,
): PlannedCommand[] {
  const orders: PlannedCommand[] = [];
  for (const model of models) {
    if (!hasModel(report, model)) {
      orders.push(buildOrder(upstream, "load", model, undefined));
      continue;
    }
    const held = report.models.find((one) => one.model === model.model);
    for (const adapter of model.adapters) {
      if (held?.adapters.includes(adapter)) continue;
      orders.push(buildOrder(upstream, "load", model, adapter));
    }
  }
  return orders;
}

function listRoleChanges(
  upstream: VmId,
  role: string | undefined,
  report: LoadReport,
): PlannedCommand[] {
  if (role === undefined || report.role === role) return [];
  return [{
    upstream,
    command: {
      action: "role",
      model: "",
      version: "",
      adapter: undefined,
      role,
    },
  }];
}

function listUnloads(
  upstream: VmId,
  models: PoolModel[],
  report: LoadReport,
): PlannedCommand[] {
  // An upstream that no model was assigned to keeps what it holds: an empty
  // replica serves nobody, and a record with too few replicas would empty it.
  if (models.length === 0) return [];
  return report.models
    .filter((held) =>
      !models.some((model) =>
        model.model === held.model && model.version === held.version
      )
    )
    .map((held) => ({
      upstream,
      command: {
        action: "unload",
        model: held.model,
        version: held.version,
        adapter: undefined,
        role: undefined,
      },
    }));
}

function buildOrder(
  upstream: VmId,
  action: "load" | "unload",
  model: PoolModel,
  adapter: string | undefined,
): PlannedCommand {
  return {
    upstream,
    command: {
      action,
      model: model.model,
      version: model.version,
      adapter,
      role: undefined,
    },
  };
}
