/**
 * One order of urgency from the priorities of routes and workspaces.
 *
 * A route's priority goes first, and between calls on routes alike the
 * workspace's decides. With the workspace's first, or alone, engines preempt
 * short urgent streams for long documents that are not urgent, seen as streams
 * that stop in their midst: most workspaces share one priority.
 *
 * @module
 */
import type { Workspace } from "./records.ts";
import type { Route } from "./routes.ts";

/** Engines tell apart so many levels; 0 is the most urgent. */
const LEVELS = 10;
/** Workspaces without a priority come after those with one. */
const NO_PRIORITY = Number.MAX_SAFE_INTEGER;

/** Levels by the pair of priorities. */
export class PriorityRanks {
  readonly #workspaces: number[];
  readonly #routes: number[];

  constructor(workspaces: number[], routes: number[]) {
    this.#workspaces = workspaces;
    this.#routes = routes;
  }

  static create(
    workspaces: Iterable<Workspace>,
    routes: Iterable<Route>,
  ): PriorityRanks {
    const own = [...workspaces].map(({ priority }) => priority ?? NO_PRIORITY);
    return new PriorityRanks(
      listDistinct([...own, NO_PRIORITY]),
      listDistinct([...routes].map(({ priority }) => priority)),
    );
  }

  /** The level of a workspace's calls on a route. */
  getRank(workspace: Workspace, route: Route): number {
    const own = this.#workspaces.indexOf(workspace.priority ?? NO_PRIORITY);
    return this.#computeLevel(route, own);
  }

  /**
   * The level of calls on a route that can not be in time any more: behind all
   * others of the route, and before those of the next one, so that nothing less
   * urgent goes before them.
   */
  getLateRank(route: Route): number {
    return this.#computeLevel(route, this.#workspaces.length);
  }

  #computeLevel(route: Route, placeOnRoute: number): number {
    const placesOnRoute = this.#workspaces.length + 1;
    const routed = this.#routes.indexOf(route.priority);
    const place = routed * placesOnRoute + placeOnRoute;
    const places = this.#routes.length * placesOnRoute;
    return places <= LEVELS ? place : Math.floor(place * LEVELS / places);
  }
}

function listDistinct(values: number[]): number[] {
  return [...new Set(values)].sort((a, b) => a - b);
}
