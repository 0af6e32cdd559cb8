/**
 * What the operator API answers: the shapes that the tool reads.
 *
 * @module
 */
import { z } from "zod";

const MEMBER = z.looseObject({
  vm: z.string(),
  state: z.string(),
  data_centre: z.string(),
  config_version: z.number().nullish(),
});

const SHARD = z.looseObject({
  shard: z.string(),
  owner: z.string().nullish(),
  room: z.number().nullish(),
  slots: z.number().nullish(),
  /** Requests that wait, by the rank of their tier. */
  waiting_by_rank: z.record(z.string(), z.number()).default({}),
  expected_wait_ms: z.number().nullish(),
});

/** `GET /v1/status`. */
export const STATUS_ANSWER = z.looseObject({
  vm: z.string(),
  incarnation: z.string(),
  data_centre: z.string(),
  uptime_ms: z.number(),
  config_version: z.number().nullish(),
  list_revision: z.number().nullish(),
  draining: z.boolean(),
  members: z.array(MEMBER),
  shards: z.array(SHARD),
  in_flight: z.number(),
});

/** `GET /v1/versions`. */
export const VERSIONS_ANSWER = z.looseObject({
  vms: z.array(z.looseObject({
    vm: z.string(),
    version: z.number().nullish(),
    since_ms: z.number().nullish(),
    from: z.string().nullish(),
  })),
});

/** `POST /v1/drain`. */
export const DRAIN_ANSWER = z.looseObject({
  in_flight: z.number().optional(),
});

const FATE_PAGE = z.looseObject({
  request_id: z.string(),
  outcome: z.string(),
  code: z.string().nullish(),
  vm: z.string().nullish(),
  workspace: z.string().nullish(),
  class: z.string().nullish(),
  arrived_at: z.string().nullish(),
  config_version: z.number().nullish(),
  tokens: z.number().nullish(),
  /** Why nothing is known, where that is so. */
  why: z.string().nullish(),
  steps: z.array(z.looseObject({
    step: z.string(),
    age_ms: z.number(),
    peer: z.string().nullish(),
    detail: z.string().nullish(),
  })),
  dropped_steps: z.number().nullish(),
});

/**
 * `GET /v1/requests/ID`. Operators get the VM's own record, callers a page of
 * it; they differ in how their keys are written.
 */
export const FATE_ANSWER = z.preprocess(convertKeys, FATE_PAGE);

/** `GET /v1/burn`. */
export const BURN_ANSWER = z.looseObject({
  vms: z.array(z.looseObject({
    vm: z.string(),
    incarnation: z.string(),
    /** Read by `parseSeries` of src/process/burn_stats.ts. */
    series: z.unknown(),
  })),
  missing: z.array(z.looseObject({ vm: z.string(), why: z.string() })),
  objectives: z.array(z.looseObject({
    class: z.string(),
    tier: z.string(),
    objective: z.number().gt(0).lt(1),
    /** Objectives of single workspaces, by name. */
    workspaces: z.record(z.string(), z.number().gt(0).lt(1)),
  })),
});

/** `GET /v1/entries` of the callers' listener. */
export const ENTRIES_ANSWER = z.looseObject({
  entries: z.array(z.looseObject({
    vm: z.string(),
    data_centre: z.string(),
    address: z.string(),
    port: z.number(),
  })),
  ttl_ms: z.number(),
});

/** A VM and the fleet as it sees it. */
export type StatusAnswer = z.infer<typeof STATUS_ANSWER>;
/** Which VM has which configuration. */
export type VersionsAnswer = z.infer<typeof VERSIONS_ANSWER>;
/** What became of one request. */
export type FatePage = z.infer<typeof FATE_PAGE>;
/** The figures of all VMs that could be reached. */
export type BurnAnswer = z.infer<typeof BURN_ANSWER>;
/** Addresses for callers. */
export type EntriesPage = z.infer<typeof ENTRIES_ANSWER>;

/** Keys in snake_case; `className` is `class` on every page. */
function convertKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(convertKeys);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [
      key === "className" ? "class" : toSnakeCase(key),
      convertKeys(item),
    ]),
  );
}

function toSnakeCase(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
