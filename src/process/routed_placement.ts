/**
 * What a routed VM knows of replicas' work, joined with its fleet and its log.
 *
 * @module
 */
import type { RoutedSnapshot } from "../version/routes.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import { PlacementState } from "./placement/index.ts";
import type { RoutedFleet } from "./routed_fleet.ts";
import type { RoutedSettings } from "./routed_settings.ts";

/** What the state is joined with. */
export interface RoutedPlacementOptions {
  clock: Clock;
  log: Log;
  settings: RoutedSettings;
  getSnapshot: () => RoutedSnapshot | undefined;
  /** Undefined until the VM has started. */
  getFleet: () => RoutedFleet | undefined;
}

/** Makes the state of one VM. */
export function createRoutedPlacement(
  options: RoutedPlacementOptions,
): PlacementState {
  const { clock, log, settings, getSnapshot, getFleet } = options;
  return PlacementState.create({
    clock,
    onNews: () => getFleet()?.announceNews(),
    onEjected: (replica, forMs) => {
      log.warn("replica_ejected", { replica, for_ms: forMs });
    },
    onRateLimit: (replica, requestsPerS) => {
      log.info("replica_rate_limit", {
        replica,
        requests_per_s: requestsPerS ?? "none",
      });
    },
    slowStart: {
      vm: settings.vm,
      excess: settings.warmUpExcess,
      getWarmUp: (pool) => getSnapshot()?.pools.get(pool)?.warmUp,
      getShare: (pool) =>
        getFleet()?.getShare(pool) ?? { role: "equal", others: [] },
    },
  });
}
