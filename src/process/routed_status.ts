/**
 * Status page and gauges of a routed VM.
 *
 * @module
 */
import type { BodyBudget } from "../connection/body_budget.ts";
import type { RoutedSnapshot } from "../version/routes.ts";
import {
  getEra,
  getSoftwareVersion,
  type PlacementState,
  type ReplicaDirectory,
} from "./placement/index.ts";
import { computeListDigest } from "./placement/list_digest.ts";
import type { RequestQuarantine } from "./quarantine/index.ts";
import type { ProcessMetrics } from "./request_metrics.ts";
import type {
  DatagramCounts,
  DifferingVm,
  FleetPeer,
} from "./seeded_fleet/index.ts";
import type { WaitCounts } from "./waiting/index.ts";

const MS_PER_SECOND = 1_000;

/** Sources of the status page and the gauges. */
export interface StatusSources {
  vm: string;
  incarnation: string;
  replicas: ReplicaDirectory;
  placement: PlacementState;
  quarantine: RequestQuarantine;
  getSnapshot: () => RoutedSnapshot | undefined;
  isServing: () => boolean;
  isDraining: () => boolean;
  /** See `Clock.now`. */
  getNow: () => number;
  getInFlight: () => number;
  /** -1 if the list was never known to be the newest. */
  getListAgeMs: () => number;
  /** Time for which other VMs have had newer state; 0 if none has. */
  getLagMs: () => number;
  /** Calls to other VMs for newer state that failed. */
  countFailedFetches: () => number;
  /** Leavings of which this VM may have learnt late. */
  countLateLeavings: () => number;
  /** Other VMs whose lists differ from this one's at one position. */
  listDiffering: () => DifferingVm[];
  /** Reads of the store because lists of other VMs differ. */
  countVerifications: () => number;
  /** Times that the store was restored, as this VM knows. */
  countRestorations: () => number;
  /** Bodies of requests that are being read. */
  getBodies: () => BodyBudget;
  /** Undefined until the VM has started. */
  getDatagrams: () => DatagramCounts | undefined;
  /** Requests passed on to other VMs; undefined until the VM has started. */
  getForwarding: () => { inFlight: number; count: number } | undefined;
  isWatching: () => boolean;
  /** Requests that wait at this VM; undefined until the VM has started. */
  getWaiting: () => { size: number; counts: WaitCounts } | undefined;
  listLive: () => FleetPeer[];
}

/** Builds the status page: the fleet and the replicas as this VM sees them. */
export function buildStatus(sources: StatusSources): object {
  return {
    vm: sources.vm,
    incarnation: sources.incarnation,
    serving: sources.isServing(),
    draining: sources.isDraining(),
    in_flight: sources.getInFlight(),
    configuration_version: getVersion(sources),
    list_era: getEra(sources.replicas.position),
    list_revision: sources.replicas.revision,
    list_age_ms: sources.getListAgeMs(),
    watches_store: sources.isWatching(),
    list_digest: computeListDigest(sources.replicas.getList()),
    lists_differ: sources.listDiffering().map(({ vm, forMs }) => ({
      vm,
      for_ms: forMs,
    })),
    peers: sources.listLive().map(({ heartbeat }) => ({
      vm: heartbeat.vm,
      incarnation: heartbeat.incarnation,
      serving: heartbeat.isServing,
      configuration_version: heartbeat.configVersion,
      list_era: heartbeat.listEra ?? 0,
      list_revision: heartbeat.listRevision,
      list_digest: heartbeat.listDigest,
    })),
    quarantined: sources.quarantine.listQuarantined().map((request) => ({
      fingerprint: request.fingerprint,
      crashes: request.crashes,
      left_ms: Math.round(request.leftMs),
    })),
    quarantined_parts: sources.quarantine.parts.listHolds().map((hold) => ({
      part: hold.part,
      company: hold.company,
      crashes: hold.crashes.length,
      refused: sources.quarantine.parts.countRefused(hold.part),
      left_ms: Math.round(hold.heldUntil - sources.getNow()),
    })),
    unreachable_pools: sources.placement.links.listLost(),
    software_versions: listVersions(sources),
    evacuated: sources.replicas.getList().evacuated ?? [],
    replicas: sources.replicas.getList().replicas.map((replica) => ({
      id: replica.id,
      pool: replica.pool,
      version: replica.version,
      state: replica.state,
      unreachable: sources.placement.links.isUnreachable(replica.id),
      ejected: sources.placement.health.isEjected(replica.id),
      warming: sources.placement.slowStart.isWarming(replica),
      back_off_ms: sources.placement.backOffs.getRemainingMs(replica.id),
      requests_per_s: sources.placement.rateLimits.getLimit(replica.id),
      slowness: sources.placement.speeds.getSlowdown(replica.id),
      ...sources.placement.loads.getLoad(replica.id),
    })),
  };
}

/** Registers the gauges. */
export function addGauges(
  metrics: ProcessMetrics,
  sources: StatusSources,
): void {
  metrics.addGauge("requests_in_flight", {
    help: "Requests in flight",
    read: sources.getInFlight,
  });
  metrics.addGauge("live_peers", {
    help: "Other VMs that are live",
    read: () => sources.listLive().length,
  });
  metrics.addGauge("configuration_version", {
    help: "Version of the active configuration; 0 before the first",
    read: () => getVersion(sources),
  });
  metrics.addGauge("replica_list_age_seconds", {
    help:
      "Time since the list was last known to be the newest; below 0 for never",
    read: () => sources.getListAgeMs() / MS_PER_SECOND,
  });
  metrics.addGauge("state_lag_seconds", {
    help:
      "Time for which another VM has had a newer configuration or list; 0 if none has",
    read: () => sources.getLagMs() / MS_PER_SECOND,
  });
  metrics.addGauge("failed_state_fetches", {
    help: "Calls to other VMs for newer state that failed since the start",
    read: sources.countFailedFetches,
  });
  metrics.addGauge("differing_lists", {
    help: "Other VMs that have another list at the same position",
    read: () => sources.listDiffering().length,
  });
  metrics.addGauge("list_verifications", {
    help: "Reads of the store because other VMs had another list",
    read: sources.countVerifications,
  });
  metrics.addGauge("store_restorations", {
    help: "Times that the store was restored from an older copy",
    read: sources.countRestorations,
  });
  metrics.addGauge("late_leavings", {
    help:
      "Leaving replicas of which this VM may have learnt late, since the start",
    read: sources.countLateLeavings,
  });
  metrics.addGauge("request_bodies_bytes", {
    help: "Bytes of request bodies that are being read",
    read: () => sources.getBodies().bytes,
  });
  metrics.addGauge("request_bodies_refused", {
    help: "Requests refused since the start because too many bodies were read",
    read: () => sources.getBodies().refused,
  });
  metrics.addGauge("datagrams_sent", {
    help: "Datagrams to other VMs since the start",
    read: () => sources.getDatagrams()?.totals.sent ?? 0,
  });
  metrics.addGauge("datagrams_received", {
    help: "Datagrams from other VMs since the start",
    read: () => sources.getDatagrams()?.totals.received ?? 0,
  });
  metrics.addGauge("datagrams_failed", {
    help: "Datagrams that could not be sent since the start",
    read: () => sources.getDatagrams()?.totals.failed ?? 0,
  });
  metrics.addGauge("datagrams_dropped", {
    help:
      "Datagrams that the kernel dropped for a full receive buffer since the start",
    read: () => sources.getDatagrams()?.dropped ?? 0,
  });
  metrics.addGauge("waiting_requests", {
    help: "Requests that wait at this VM until a replica has room",
    read: () => sources.getWaiting()?.size ?? 0,
  });
  metrics.addGauge("waits_placed", {
    help: "Waits at this VM that ended with a placement, since the start",
    read: () => sources.getWaiting()?.counts.placed ?? 0,
  });
  metrics.addGauge("waits_expired", {
    help:
      "Waits at this VM that ended because an answer was of no more use, since the start",
    read: () => sources.getWaiting()?.counts.expired ?? 0,
  });
  metrics.addGauge("waits_withdrawn", {
    help:
      "Waits at this VM that ended because the caller or its VM left, since the start",
    read: () => sources.getWaiting()?.counts.withdrawn ?? 0,
  });
  metrics.addGauge("unreachable_pools", {
    help: "Pools of which this VM reaches no replica",
    read: () => sources.placement.links.listLost().length,
  });
  metrics.addGauge("unreachable_replicas", {
    help: "Replicas to which this VM's last connection failed",
    read: () => sources.placement.links.countUnreachable(),
  });
  metrics.addGauge("forwarded_requests", {
    help: "Requests passed on to other VMs since the start",
    read: () => sources.getForwarding()?.count ?? 0,
  });
  metrics.addGauge("forwarded_in_flight", {
    help: "Requests that other VMs run for this one now",
    read: () => sources.getForwarding()?.inFlight ?? 0,
  });
  metrics.addGauge("warming_replicas", {
    help: "Replicas with limited load while they warm up",
    read: () => countWarming(sources),
  });
  metrics.addGauge("evacuated_data_centres", {
    help: "Evacuated data centres, whose replicas get no new requests",
    read: () => sources.replicas.getList().evacuated?.length ?? 0,
  });
  metrics.addGauge("quarantined_requests", {
    help: "Requests in quarantine because replicas crashed under them",
    read: () => sources.quarantine.listQuarantined().length,
  });
  metrics.addGauge("suspect_requests", {
    help:
      "Requests under which a replica crashed and that were not answered since",
    read: () => sources.quarantine.countSuspects(),
  });
  metrics.addGauge("quarantined_parts", {
    help: "Parts of prompts in quarantine because replicas crashed under them",
    read: () => sources.quarantine.parts.listHolds().length,
  });
  metrics.addGauge("accused_parts", {
    help: "Parts of prompts of requests that crashes cut off lately",
    read: () => sources.quarantine.parts.countAccused(),
  });
  metrics.addGauge("refused_by_part", {
    help: "Requests refused because a part is in quarantine, since the start",
    read: () => sources.quarantine.parts.refused,
  });
  metrics.addGauge("refused_by_fingerprint", {
    help: "Requests refused because they are in quarantine, since the start",
    read: () => sources.quarantine.refused,
  });
  metrics.addGauge("rate_limited_replicas", {
    help: "Replicas that set a limit on requests a second",
    read: () => countRateLimited(sources),
  });
  metrics.addGauge("pools_with_several_versions", {
    help: "Pools whose replicas run different versions of their software",
    read: () => countMixedPools(sources),
  });
  metrics.addGauge("leaving_replicas", {
    help:
      "Replicas that reported that they are leaving and are still listed as ready",
    read: () => sources.replicas.listLeaving().length,
  });
  metrics.addGauge("backed_off_replicas", {
    help: "Replicas that refused a request and asked for a back-off",
    read: () => sources.placement.backOffs.list().length,
  });
  metrics.addGauge("ejected_replicas", {
    help: "Replicas that are ejected because of failures",
    read: () => countEjected(sources),
  });
}

/** Versions of the software of each pool's replicas that take new work. */
function listVersions({ replicas }: StatusSources): object {
  const entries = replicas.listPools().map((pool) => {
    const versions = replicas.listReady(pool).map(getSoftwareVersion);
    return [pool, [...new Set(versions)]];
  });
  return Object.fromEntries(entries);
}

function getVersion(sources: StatusSources): number {
  return sources.getSnapshot()?.version ?? 0;
}

function countMixedPools({ replicas }: StatusSources): number {
  return replicas.listPools().filter((pool) => {
    const versions = replicas.listReady(pool).map(getSoftwareVersion);
    return new Set(versions).size > 1;
  }).length;
}

function countEjected({ replicas, placement }: StatusSources): number {
  return replicas.getList().replicas
    .filter(({ id }) => placement.health.isEjected(id)).length;
}

function countWarming({ replicas, placement }: StatusSources): number {
  return replicas.getList().replicas
    .filter((replica) => placement.slowStart.isWarming(replica)).length;
}

function countRateLimited({ replicas, placement }: StatusSources): number {
  return replicas.getList().replicas
    .filter(({ id }) => placement.rateLimits.getLimit(id) !== undefined).length;
}
