/**
 * Settings of a routed VM: one JSON file, validated as a whole.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as z from "zod";
import type { Endpoint } from "../connection/endpoint.ts";
import { StepError, toError } from "../errors.ts";
import type { DataCentre, Region, VmId } from "../ids.ts";
import type { WarmUpExcess } from "./placement/index.ts";

const NAME = z.string().min(1);
const ENDPOINT = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, {
  error: "an IP address and a port, such as 10.1.0.19:8740",
});
const DURATION = z.int().min(1);

const MS_PER_SECOND = 1_000;
const DEFAULT_ENTRY_RENEWAL_MS = 1_200;
const DEFAULT_MAX_DESCRIPTORS = 4_096;
const DEFAULT_MAX_ANSWER_BYTES = 67_108_864;

const NO_DRAIN_GRACE = {
  error: "drain_grace_s or drain_grace_ms is required",
};

const SCHEMA = z.strictObject({
  vm: NAME,
  data_centre: NAME,
  /** Region of each data centre. */
  regions: z.record(NAME, NAME).default({}),
  address: z.ipv4(),
  /** First and last port available for datagrams between VMs. */
  peer_ports: z.tuple([z.int(), z.int()]),
  seeds: z.array(ENDPOINT),
  listeners: z.strictObject({
    callers: ENDPOINT,
    readiness: ENDPOINT,
    state: ENDPOINT,
    directory: ENDPOINT,
  }),
  metrics_port: z.int().optional(),
  store: ENDPOINT,
  /** Interval at which replicas renew their entries in the store. */
  entry_renewal_ms: z.number().min(1).default(DEFAULT_ENTRY_RENEWAL_MS),
  /** Number of cores, and the share of each that this VM may use. */
  cores: z.number().positive(),
  core_share: z.number().positive().max(1),
  log_level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  /** In seconds; goes before `drain_grace_ms`. */
  drain_grace_s: z.number().positive().optional(),
  drain_grace_ms: DURATION.optional(),
  directory_ttl_ms: DURATION,
  retry_share: z.number().min(0).max(1),
  retry_reserve: z.number().min(0),
  /**
   * Extra load for a replica that is warming up; by default it gets no more
   * than it can sustain.
   */
  warm_up_ratio: z.number().min(1).default(1),
  warm_up_slack: z.number().min(0).default(0),
  /**
   * Requests that may wait at this VM, where it places a pool's requests, until
   * a replica has room; by default all are sent at once.
   */
  max_waiting_requests: z.int().min(0).default(0),
  /** Descriptors that the process may have open. */
  max_descriptors: z.number().min(1).default(DEFAULT_MAX_DESCRIPTORS),
  /** Largest body of a replica's answer; a longer one is broken off. */
  max_answer_bytes: z.int().min(1).default(DEFAULT_MAX_ANSWER_BYTES),
}).refine((file) => computeDrainGraceMs(file) > 0, NO_DRAIN_GRACE);

/** The part of invalid settings that can still be used. */
const LISTENERS_SCHEMA = z.object({
  listeners: z.record(z.string(), z.unknown()),
});

/** Parsed settings; times in milliseconds. */
export interface RoutedSettings {
  vm: VmId;
  dataCentre: DataCentre;
  regions: ReadonlyMap<DataCentre, Region>;
  address: string;
  /** Port for datagrams from other VMs; the same on every VM. */
  peerPort: number;
  seeds: string[];
  listeners: {
    callers: string;
    readiness: string;
    state: string;
    directory: string;
  };
  metricsPort: number | undefined;
  store: string;
  /** Interval at which replicas renew their entries in the store. */
  entryRenewalMs: number;
  /** Processor cores that this VM may use. */
  cores: number;
  logLevel: "debug" | "info" | "warn" | "error";
  drainGraceMs: number;
  directoryTtlMs: number;
  /** Retries of the whole fleet as a share of requests. */
  retryShare: number;
  /** Retries of the whole fleet per window in addition to that share. */
  retryReserve: number;
  /**
   * Load allowed for a replica that is warming up beyond what it can sustain.
   */
  warmUpExcess: WarmUpExcess;
  /**
   * Requests that may wait at this VM until a replica has room; 0 where none
   * may.
   */
  maxWaitingRequests: number;
  /** Descriptors that the process may have open. */
  maxDescriptors: number;
  /** Largest body of a replica's answer, in bytes. */
  maxAnswerBytes: number;
}

/**
 * Reads and validates the file; throws a `StepError` that names each invalid
 * field.
 */
export function readRoutedSettings(path: string): RoutedSettings {
  return parseRoutedSettings(readJson(path), path);
}

/**
 * Listener endpoints in settings that are invalid as a whole; throws if not
 * even the listeners can be read.
 */
export function readListeners(path: string): Endpoint[] {
  const { listeners } = LISTENERS_SCHEMA.parse(readJson(path));
  return Object.values(listeners).map((each) => ENDPOINT.safeParse(each))
    .flatMap((each) => each.success ? [each.data] : []);
}

/** Validates settings read from `path`; throws `StepError`. */
function parseRoutedSettings(
  value: unknown,
  path: string,
): RoutedSettings {
  const result = SCHEMA.safeParse(value);
  if (!result.success) {
    const problems = result.error.issues
      .map((issue) => `${issue.path.join(".")}: ${issue.message}`);
    throw new StepError(
      { step: "read_settings", peer: path },
      `Settings are not valid: ${problems.join("; ")}`,
    );
  }
  const file = result.data;
  return {
    vm: file.vm as VmId,
    dataCentre: file.data_centre as DataCentre,
    regions: new Map(
      Object.entries(file.regions) as [DataCentre, Region][],
    ),
    address: file.address,
    peerPort: file.peer_ports[0],
    seeds: file.seeds,
    listeners: file.listeners,
    metricsPort: file.metrics_port,
    store: file.store,
    entryRenewalMs: file.entry_renewal_ms,
    cores: file.cores * file.core_share,
    logLevel: file.log_level,
    drainGraceMs: computeDrainGraceMs(file),
    directoryTtlMs: file.directory_ttl_ms,
    retryShare: file.retry_share,
    retryReserve: file.retry_reserve,
    warmUpExcess: { ratio: file.warm_up_ratio, slack: file.warm_up_slack },
    maxWaitingRequests: file.max_waiting_requests,
    maxDescriptors: file.max_descriptors,
    maxAnswerBytes: file.max_answer_bytes,
  };
}

/** 0 where the settings have no grace period. */
function computeDrainGraceMs(
  file: {
    drain_grace_s?: number | undefined;
    drain_grace_ms?: number | undefined;
  },
): number {
  const { drain_grace_s, drain_grace_ms = 0 } = file;
  return drain_grace_s === undefined
    ? drain_grace_ms
    : drain_grace_s * MS_PER_SECOND;
}

function readJson(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path, "utf8"));
  } catch (thrown) {
    const place = { step: "read_settings", peer: path, cause: toError(thrown) };
    throw new StepError(place, "Settings cannot be read");
  }
}
