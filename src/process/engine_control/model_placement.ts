/**
 * Assigns models to the upstreams of a shard and plans the commands for it.
 *
 * @module
 */
import type { EngineCommand, LoadReport } from "../../connection/index.ts";
import type { VmId } from "../../ids.ts";
import type { PoolModel, UpstreamPool } from "../../version/index.ts";
import { computeRendezvousOrder } from "../rendezvous.ts";

/** One shard of a pool, with the load reports of its upstreams. */
export interface PlacementInput {
  pool: UpstreamPool;
  shardIndex: number;
  /** The shard's upstreams, except those that are leaving. */
  upstreams: readonly VmId[];
  /** The latest report of each upstream that has one. */
  reports: ReadonlyMap<VmId, LoadReport>;
}

/** A command that brings an upstream closer to its desired state. */
export interface PlannedCommand {
  upstream: VmId;
  command: Omit<EngineCommand, "fencing">;
}

/**
 * Returns the commands that are still needed. An upstream without a report gets
 * none, because its models are unknown. Models are unloaded only once no load
 * is missing on any upstream.
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

/** Returns the models that each upstream of the shard should hold. */
export function chooseModels(
  input: PlacementInput,
): Map<VmId, PoolModel[]> {
  const desired = new Map<VmId, PoolModel[]>(
    input.upstreams.map((upstream) => [upstream, []]),
  );
  for (const model of input.pool.models) {
    const replicaCount = countReplicas(input.pool, model, input.shardIndex);
    for (
      const upstream of chooseUpstreams(input, desired, model, replicaCount)
    ) {
      desired.get(upstream)?.push(model);
    }
  }
  return desired;
}

/** Returns the shard's part of the model's replicas. */
function countReplicas(
  pool: UpstreamPool,
  model: PoolModel,
  shardIndex: number,
): number {
  const before = Math.floor((shardIndex * model.replicas) / pool.shards);
  const after = Math.floor(((shardIndex + 1) * model.replicas) / pool.shards);
  return after - before;
}

/**
 * Prefers upstreams with few models assigned, and among these upstreams that
 * already hold the model, so that a change of membership loads few weights.
 * Rendezvous order breaks ties, the same way on every VM.
 */
function chooseUpstreams(
  input: PlacementInput,
  desired: ReadonlyMap<VmId, PoolModel[]>,
  model: PoolModel,
  replicaCount: number,
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
    .slice(0, replicaCount);
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
  const commands: PlannedCommand[] = [];
  for (const model of models) {
    if (!hasModel(report, model)) {
      commands.push(buildCommand(upstream, "load", model, undefined));
      continue;
    }
    const held = report.models.find((one) => one.model === model.model);
    for (const adapter of model.adapters) {
      if (held?.adapters.includes(adapter)) continue;
      commands.push(buildCommand(upstream, "load", model, adapter));
    }
  }
  return commands;
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
  // An upstream without an assigned model keeps its models: an empty replica
  // serves no requests, and a record with too few replicas would empty it.
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

function buildCommand(
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
