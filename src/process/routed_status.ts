/**
 * What a routed VM tells engineers of itself: its status and gauges.
 *
 * @module
 */
import type { RoutedSnapshot } from "../version/routes.ts";
import type { PlacementState, ReplicaDirectory } from "./placement/index.ts";
import type { RequestQuarantine } from "./quarantine/index.ts";
import type { ProcessMetrics } from "./request_metrics.ts";
import type { FleetPeer } from "./seeded_fleet/index.ts";

const MS_PER_SECOND = 1_000;

/** What there is to tell. */
export interface StatusParts {
  vm: string;
  incarnation: string;
  replicas: ReplicaDirectory;
  placement: PlacementState;
  quarantine: RequestQuarantine;
  getSnapshot: () => RoutedSnapshot | undefined;
  isServing: () => boolean;
  isDraining: () => boolean;
  getInFlight: () => number;
  /** -1 where the list was never known to be the newest. */
  getListAgeMs: () => number;
  isWatching: () => boolean;
  listLive: () => FleetPeer[];
}

/** The fleet and the replicas as one VM sees them, as plain data. */
export function buildStatus(parts: StatusParts): object {
  return {
    vm: parts.vm,
    incarnation: parts.incarnation,
    serving: parts.isServing(),
    draining: parts.isDraining(),
    in_flight: parts.getInFlight(),
    configuration_version: getVersion(parts),
    list_revision: parts.replicas.revision,
    list_age_ms: parts.getListAgeMs(),
    watches_store: parts.isWatching(),
    peers: parts.listLive().map(({ heartbeat }) => ({
      vm: heartbeat.vm,
      incarnation: heartbeat.incarnation,
      serving: heartbeat.isServing,
      configuration_version: heartbeat.configVersion,
      list_revision: heartbeat.listRevision,
    })),
    quarantined: parts.quarantine.listQuarantined().map((request) => ({
      fingerprint: request.fingerprint,
      crashes: request.crashes,
      left_ms: Math.round(request.leftMs),
    })),
    evacuated: parts.replicas.getList().evacuated ?? [],
    replicas: parts.replicas.getList().replicas.map((replica) => ({
      id: replica.id,
      pool: replica.pool,
      state: replica.state,
      ejected: parts.placement.health.isEjected(replica.id),
      warming: parts.placement.slowStart.isWarming(replica),
      back_off_ms: parts.placement.backOffs.getRemainingMs(replica.id),
      requests_per_s: parts.placement.rateLimits.getLimit(replica.id),
      slowness: parts.placement.speeds.getSlowdown(replica.id),
      ...parts.placement.loads.getLoad(replica.id),
    })),
  };
}

/** Adds what changes by itself to the metrics. */
export function addGauges(metrics: ProcessMetrics, parts: StatusParts): void {
  metrics.addGauge("requests_in_flight", {
    help: "Requests that are being answered",
    read: parts.getInFlight,
  });
  metrics.addGauge("live_peers", {
    help: "Other VMs that are heard",
    read: () => parts.listLive().length,
  });
  metrics.addGauge("configuration_version", {
    help: "Version in force; 0 before the first",
    read: () => getVersion(parts),
  });
  metrics.addGauge("replica_list_age_seconds", {
    help: "Since the list was known to be the newest; below 0 for never",
    read: () => parts.getListAgeMs() / MS_PER_SECOND,
  });
  metrics.addGauge("warming_replicas", {
    help: "Replicas that get few requests while they warm up",
    read: () => countWarming(parts),
  });
  metrics.addGauge("evacuated_data_centres", {
    help: "Data centres whose replicas get nothing new",
    read: () => parts.replicas.getList().evacuated?.length ?? 0,
  });
  metrics.addGauge("quarantined_requests", {
    help: "Requests kept from replicas, which crashed under them",
    read: () => parts.quarantine.listQuarantined().length,
  });
  metrics.addGauge("suspect_requests", {
    help: "Requests under which a replica crashed, not answered since",
    read: () => parts.quarantine.countSuspects(),
  });
  metrics.addGauge("rate_limited_replicas", {
    help: "Replicas that name a limit on requests a second",
    read: () => countRateLimited(parts),
  });
  metrics.addGauge("leaving_replicas", {
    help: "Replicas that leave by their own word and are listed as ready",
    read: () => parts.replicas.listLeaving().length,
  });
  metrics.addGauge("backed_off_replicas", {
    help: "Replicas that turned requests away and want none for a time",
    read: () => parts.placement.backOffs.list().length,
  });
  metrics.addGauge("ejected_replicas", {
    help: "Replicas that are left out for failures",
    read: () => countEjected(parts),
  });
}

function getVersion(parts: StatusParts): number {
  return parts.getSnapshot()?.version ?? 0;
}

function countEjected({ replicas, placement }: StatusParts): number {
  return replicas.getList().replicas
    .filter(({ id }) => placement.health.isEjected(id)).length;
}

function countWarming({ replicas, placement }: StatusParts): number {
  return replicas.getList().replicas
    .filter((replica) => placement.slowStart.isWarming(replica)).length;
}

function countRateLimited({ replicas, placement }: StatusParts): number {
  return replicas.getList().replicas
    .filter(({ id }) => placement.rateLimits.getLimit(id) !== undefined).length;
}
