/**
 * Schemas of the operator API's answers that the tool reads.
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
  /** Waiting requests by the rank of their tier. */
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
  /** Latest decisions of the answering VM, oldest first. */
  history: z.array(z.looseObject({
    version: z.number(),
    digest: z.string(),
    from: z.string(),
    result: z.string(),
    problems: z.array(z.string()),
    age_ms: z.number(),
  })).default([]),
});

/** `POST /v1/drain`. */
export const DRAIN_ANSWER = z.looseObject({
  in_flight: z.number().optional(),
});

/** `GET /v1/requests/ID`. */
export const REQUEST_STATUS_ANSWER = z.looseObject({
  request_id: z.string(),
  outcome: z.string(),
  code: z.string().nullish(),
  vm: z.string().nullish(),
  workspace: z.string().nullish(),
  class: z.string().nullish(),
  arrived_at: z.string().nullish(),
  config_version: z.number().nullish(),
  tokens: z.number().nullish(),
  /** Why the outcome is unknown, if it is. */
  why: z.string().nullish(),
  steps: z.array(z.looseObject({
    step: z.string(),
    age_ms: z.number(),
    peer: z.string().nullish(),
    detail: z.string().nullish(),
  })),
  dropped_steps: z.number().nullish(),
});

/** `GET /v1/burn`. */
export const BURN_ANSWER = z.looseObject({
  vms: z.array(z.looseObject({
    vm: z.string(),
    incarnation: z.string(),
    /** Parsed by `parseSeries` of src/process/burn_stats.ts. */
    series: z.unknown(),
  })),
  missing: z.array(z.looseObject({ vm: z.string(), why: z.string() })),
  objectives: z.array(z.looseObject({
    class: z.string(),
    tier: z.string(),
    objective: z.number().gt(0).lt(1),
    /** Objectives of individual workspaces by name. */
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

/** State of a VM and of the fleet as seen by it. */
export type StatusAnswer = z.infer<typeof STATUS_ANSWER>;
/** Decision of a VM on one version of the configuration. */
export type VersionDecision = z.infer<typeof VERSIONS_ANSWER>["history"][0];
/** Status of one request. */
export type RequestStatusPage = z.infer<typeof REQUEST_STATUS_ANSWER>;
/** Burn figures of all reachable VMs. */
export type BurnAnswer = z.infer<typeof BURN_ANSWER>;
