import type { LoadReport } from "../../../src/connection/index.ts";
import { type ModelName, type PoolName, toId } from "../../../src/ids.ts";
import type { PoolModel, UpstreamPool } from "../../../src/version/index.ts";

/** A model with one adapter and two replicas. */
export const MODEL_A: PoolModel = {
  model: toId<ModelName>("model-a"),
  version: "1",
  adapters: ["formal"],
  replicas: 2,
};

/** A model with one replica. */
export const MODEL_B: PoolModel = {
  model: toId<ModelName>("model-b"),
  version: "1",
  adapters: [],
  replicas: 1,
};

export function buildPool(models: PoolModel[]): UpstreamPool {
  return {
    kind: "upstream_pool",
    name: toId<PoolName>("pool"),
    type: "model",
    models,
    shards: 1,
    slots: { initial: 4, min: 1, max: 8 },
    fencing: "checked",
    timeouts: { firstByteMs: 1000, betweenBytesMs: 1000, totalMs: 10_000 },
    defaultClass: undefined,
  };
}

export function buildReport(models: PoolModel[]): LoadReport {
  return {
    ageMs: 0,
    running: 0,
    waiting: 0,
    cacheUsed: 0,
    leaving: false,
    models: models.map(({ model, version }) => ({
      model,
      version,
      adapters: [],
    })),
    role: "serve",
    fencing: 0,
    cacheSequence: 0,
  };
}
