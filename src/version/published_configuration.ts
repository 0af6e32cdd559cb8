/**
 * The form in which VMs forward a configuration to each other: plain records,
 * already validated by the VM that read them.
 *
 * @module
 */
import { PriorityRanks } from "./priority_ranks.ts";
import type { ConfigRecord } from "./records.ts";
import {
  type CallerBounds,
  type Route,
  type RoutedSnapshot,
  RouteTable,
} from "./routes.ts";
import { buildCheckedSnapshot } from "./snapshot_maps.ts";
import { findInteractiveClasses } from "./interactive_classes.ts";

/** One version of the configuration as plain data. */
export interface PublishedConfiguration {
  version: number;
  records: ConfigRecord[];
  routes: Route[];
  callerBounds: CallerBounds;
}

/** Builds the routed snapshot that requests are served from. */
export function buildRoutedSnapshot(
  published: PublishedConfiguration,
): RoutedSnapshot {
  const { version, records, routes } = published;
  const snapshot = buildCheckedSnapshot(version, records);
  return {
    ...snapshot,
    routes: RouteTable.create(routes),
    ranks: PriorityRanks.create(snapshot.workspaces.values(), routes),
    interactiveClasses: findInteractiveClasses(routes, snapshot.classes),
    callerBounds: published.callerBounds,
  };
}
