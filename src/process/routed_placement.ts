/**
 * Creates the placement state of a routed VM and connects it to the fleet and
 * the log.
 *
 * @module
 */
import type { PoolName, VmId } from "../ids.ts";
import type { RoutedSnapshot } from "../version/routes.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import {
  type PlacementRole,
  PlacementState,
  type ReplicaDirectory,
} from "./placement/index.ts";
import type { Random } from "./random.ts";
import type { RoutedFleet } from "./routed_fleet.ts";
import type { RoutedSettings } from "./routed_settings.ts";

/** Options of `createRoutedPlacement`. */
export interface RoutedPlacementOptions {
  clock: Clock;
  log: Log;
  settings: RoutedSettings;
  replicas: ReplicaDirectory;
  random: Random;
  /** Whether a new connection to a replica is established; never rejects. */
  isListening: (replica: VmId) => Promise<boolean>;
  /** Resolves once the replica has answered a call that needs no slot. */
  fetchReport: (replica: VmId, timeoutMs: number) => Promise<void>;
  getSnapshot: () => RoutedSnapshot | undefined;
  /** Undefined until the VM has started. */
  getFleet: () => RoutedFleet | undefined;
}

/** Creates the placement state of one VM. */
export function createRoutedPlacement(
  options: RoutedPlacementOptions,
): PlacementState {
  const { clock, log, settings, getSnapshot, getFleet } = options;
  const getRole = (pool: PoolName): PlacementRole =>
    getFleet()?.getRole(pool) ?? { role: "equal", others: [] };
  return PlacementState.create({
    clock,
    onUpdate: () => getFleet()?.announceWork(),
    onEjected: (replica, forMs) => {
      log.warn("replica_ejected", { replica, for_ms: forMs });
    },
    onBackOff: (replica, forMs) => {
      log.info("replica_back_off", { replica, for_ms: Math.round(forMs) });
    },
    links: {
      random: options.random,
      listReady: (pool) => options.replicas.listReady(pool),
      listPools: () => options.replicas.listPools(),
      findReplica: (id) => options.replicas.find(id),
      isListening: options.isListening,
      onChange: (pool, isLost) => {
        if (isLost) log.warn("pool_unreachable", { pool });
        else log.info("pool_reachable", { pool });
        getFleet()?.announceNow();
      },
    },
    probes: { log, fetchReport: options.fetchReport },
    brittle: {
      vm: settings.vm,
      listReady: (pool) => options.replicas.listReady(pool),
      getRole,
      onChange: (replica, maxRejectionsPerS) => {
        log.info("replica_brittle", {
          replica,
          max_rejections_per_s: maxRejectionsPerS ?? "none",
        });
      },
    },
    rateLimits: {
      getRole,
      countReachable: () => getFleet()?.listLive().length ?? 0,
      onChange: (replica, requestsPerS) => {
        log.info("replica_rate_limit", {
          replica,
          requests_per_s: requestsPerS ?? "none",
        });
      },
    },
    slowStart: {
      vm: settings.vm,
      excess: settings.warmUpExcess,
      getWarmUp: (pool) => getSnapshot()?.pools.get(pool)?.warmUp,
      getRole,
    },
  });
}
