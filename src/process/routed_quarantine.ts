/**
 * Creates the quarantine of a routed VM and connects it to the fleet.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import { CrashCheck } from "./crash_check.ts";
import type { Log } from "./log.ts";
import type { PlacementState, ReplicaDirectory } from "./placement/index.ts";
import { RequestQuarantine } from "./quarantine/index.ts";
import type { Random } from "./random.ts";
import type { RoutedFleet } from "./routed_fleet.ts";

/** Options of `createRoutedQuarantine`. */
export interface RoutedQuarantineOptions {
  clock: Clock;
  log: Log;
  random: Random;
  replicas: ReplicaDirectory;
  placement: PlacementState;
  /** Undefined until the VM has started. */
  getFleet: () => RoutedFleet | undefined;
}

/** Creates the quarantine of one VM. */
export function createRoutedQuarantine(
  options: RoutedQuarantineOptions,
): RequestQuarantine {
  const { clock, log, random, replicas, placement, getFleet } = options;
  const listPeers = (): VmId[] =>
    getFleet()?.listLive().map(({ heartbeat }) => heartbeat.vm) ?? [];
  const crashCheck = CrashCheck.create({
    log,
    random,
    checkReach: (replica) => placement.checks.check(replica),
    listOthers: (replica) => replicas.listOthers(replica),
    listPeers,
    fetchReach: (peer, replica) =>
      getFleet()?.fetchReach(peer, replica) ?? Promise.resolve(false),
  });
  return RequestQuarantine.create({
    clock,
    log,
    random,
    countReplicas: (pool) => replicas.listReady(pool).length,
    hasCrashed: (replica) => crashCheck.hasCrashed(replica),
    announce: (news) => getFleet()?.announceSuspects(news),
  });
}
