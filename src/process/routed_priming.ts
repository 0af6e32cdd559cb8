/**
 * Creates the priming of a routed VM's prefix caches and connects it to the
 * fleet.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { RoutedSnapshot } from "../version/routes.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import {
  type PlacementState,
  PrefixPriming,
  type ReplicaDirectory,
} from "./placement/index.ts";
import { pickRendezvousFirst } from "./rendezvous.ts";
import type { FleetPeer, PeerCalls } from "./seeded_fleet/index.ts";

/** Names the task of fetching from replicas what no other VM knows. */
const TASK = "prefixes";

/** Options of `createRoutedPriming`. */
export interface RoutedPrimingOptions {
  vm: VmId;
  clock: Clock;
  log: Log;
  placement: PlacementState;
  replicas: ReplicaDirectory;
  calls: PeerCalls;
  listLive: () => FleetPeer[];
  getSnapshot: () => RoutedSnapshot | undefined;
  fetchCachedParts: (replica: VmId) => Promise<string[]>;
}

/** Creates the priming of one VM. */
export function createRoutedPriming(
  options: RoutedPrimingOptions,
): PrefixPriming {
  const { clock, log, placement, calls, fetchCachedParts } = options;
  return PrefixPriming.create({
    clock,
    log,
    prefixes: placement.prefixes,
    sources: {
      listPrimedPeers: () =>
        listVms(options, (heartbeat) => heartbeat.isPrimed),
      fetchFromPeer: (vm) => calls.fetchPrefixes(vm),
      listReplicas: () => listModelReplicas(options),
      fetchFromReplica: fetchCachedParts,
      isResponsible: () => isResponsible(options),
      isCutOff: () => placement.links.listLost().length > 0,
    },
  });
}

function isResponsible(options: RoutedPrimingOptions): boolean {
  const others = listVms(options, (heartbeat) => !heartbeat.isDraining);
  return pickRendezvousFirst(TASK, [options.vm, ...others]) === options.vm;
}

function listVms(
  { listLive }: RoutedPrimingOptions,
  isWanted: (heartbeat: FleetPeer["heartbeat"]) => boolean,
): VmId[] {
  return listLive().map(({ heartbeat }) => heartbeat).filter(isWanted)
    .map(({ vm }) => vm);
}

function listModelReplicas(
  { getSnapshot, replicas }: RoutedPrimingOptions,
): VmId[] {
  const pools = [...getSnapshot()?.pools.values() ?? []];
  return pools.filter(({ type }) => type === "model")
    .flatMap(({ name }) => replicas.listReady(name))
    .map(({ id }) => id);
}
