/**
 * Routes: which pool a caller's call goes to, chosen by host and path.
 *
 * @module
 */
import type { ClassName, PoolName, Region, RouteName } from "../ids.ts";
import type { PriorityRanks } from "./priority_ranks.ts";
import type { Snapshot } from "./records.ts";

/** What may be done with a call more than once. */
export type RouteKind =
  /** A plain call that may run more than once. */
  | "idempotent_call"
  /** A plain call that may run once at most. */
  | "single_call"
  /** A stream of events that may run once at most. */
  | "single_stream"
  /** A stream of events that another replica can go on with. */
  | "resumable_stream";

/** One of the pools that share a route's calls. */
export interface RouteTarget {
  pool: PoolName;
  /** Its share of the route's calls against the other targets' weights. */
  weight: number;
}

/** Calls of one host whose paths begin alike. */
export interface Route {
  name: RouteName;
  /** Lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** The class whose targets and promises the calls have. */
  className: ClassName;
  targets: RouteTarget[];
  /** Replicas that one call may be sent to. */
  maxSends: number;
  /** Whether callers need no key. */
  isPublic: boolean;
  /** 0 is the most urgent; a workspace's own priority goes before it. */
  priority: number;
  /** Upstreams elsewhere must not get its calls; undefined for any. */
  allowedRegions?: Region[] | undefined;
}

/** What a caller may send, and how long it may take; times in milliseconds. */
export interface CallerBounds {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headersTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A configuration with routes. */
export interface RoutedSnapshot extends Snapshot {
  routes: RouteTable;
  ranks: PriorityRanks;
  /** Classes whose streams accept the shortest pauses of their pool. */
  interactiveClasses: ReadonlySet<ClassName>;
  callerBounds: CallerBounds;
}

/** Finds routes; never changed after it is built. */
export class RouteTable {
  /** By host, the longest prefix first. */
  readonly #byHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const known = this.#byHost.get(route.host) ?? [];
      known.push(route);
      this.#byHost.set(route.host, known);
    }
    for (const known of this.#byHost.values()) {
      known.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  static create(routes: readonly Route[]): RouteTable {
    return new RouteTable(routes);
  }

  /** The route with the longest prefix that begins `path`. */
  findRoute(host: string, path: string): Route | undefined {
    return this.#byHost.get(host)
      ?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/** Whether a route's calls may run more than once. */
export function isRepeatable(kind: RouteKind): boolean {
  return kind === "idempotent_call" || kind === "resumable_stream";
}

/**
 * Chooses one of a route's targets in proportion to their weights; `draw` is
 * in [0, 1).
 */
export function chooseTarget(
  targets: readonly RouteTarget[],
  draw: number,
): RouteTarget | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) return target;
  }
  return targets.at(-1);
}
