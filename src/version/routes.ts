/**
 * Routes, which map calls to upstream pools by host and path.
 *
 * @module
 */
import type { ClassName, PoolName, Region, RouteName } from "../ids.ts";
import type { PriorityRanks } from "./priority_ranks.ts";
import type { Snapshot } from "./records.ts";

/** Whether a call is a stream, and whether it may run more than once. */
export type RouteKind =
  /** A non-streaming call that may run more than once. */
  | "idempotent_call"
  /** A non-streaming call that may run at most once. */
  | "single_call"
  /** An event stream that may run at most once. */
  | "single_stream"
  /** An event stream that another replica can resume. */
  | "resumable_stream";

/** One of the pools that a route's calls are distributed to. */
export interface RouteTarget {
  pool: PoolName;
  /** Share of the route's calls relative to the weights of other targets. */
  weight: number;
}

/** Configuration of the calls to one host and path prefix. */
export interface Route {
  name: RouteName;
  /** Lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Class whose latency targets and guarantees apply to the calls. */
  className: ClassName;
  targets: RouteTarget[];
  /** Maximum number of replicas that one call may be sent to. */
  maxSends: number;
  /** Whether callers need no API key. */
  isPublic: boolean;
  /** 0 is the most urgent; the workspace's priority breaks ties. */
  priority: number;
  /** Regions whose upstreams may get its calls; undefined for any. */
  allowedRegions?: Region[] | undefined;
}

/** Limits on callers' requests and connections; times in milliseconds. */
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
  /** Classes with the shortest inter-token targets of their pool. */
  interactiveClasses: ReadonlySet<ClassName>;
  callerBounds: CallerBounds;
}

/** Look-up of routes; immutable. */
export class RouteTable {
  /** Routes by host, the longest prefix first. */
  readonly #byHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const routesOfHost = this.#byHost.get(route.host) ?? [];
      routesOfHost.push(route);
      this.#byHost.set(route.host, routesOfHost);
    }
    for (const routesOfHost of this.#byHost.values()) {
      routesOfHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  static create(routes: readonly Route[]): RouteTable {
    return new RouteTable(routes);
  }

  /** Finds the route with the longest prefix of `path`. */
  findRoute(host: string, path: string): Route | undefined {
    return this.#byHost.get(host)
      ?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/** Whether calls of a route may run more than once. */
export function isRepeatable(kind: RouteKind): boolean {
  return kind === "idempotent_call" || kind === "resumable_stream";
}

/**
 * Chooses one of a route's targets at random, weighted; `draw` is a random
 * number in [0, 1).
 */
export function chooseTarget(
  targets: readonly RouteTarget[],
  draw: number,
): RouteTarget | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = draw * total;
  for (const target of targets) {
    remaining -= target.weight;
    if (remaining < 0) return target;
  }
  return targets.at(-1);
}
