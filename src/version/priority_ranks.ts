/**
 * Combines the priorities of routes and workspaces into the priority levels of
 * the engines.
 *
 * The route's priority is compared first; the workspace's breaks ties. Most
 * workspaces share one priority: if it came first or were used alone, engines
 * would preempt short urgent streams in favour of long documents that are not
 * urgent, and the streams would stop midway.
 *
 * @module
 */
import type { Workspace } from "./records.ts";
import type { Route } from "./routes.ts";

/** Priority levels that engines distinguish; 0 is the most urgent. */
const PRIORITY_LEVELS = 10;
/** Ranks workspaces without a priority after those with one. */
const NO_PRIORITY = Number.MAX_SAFE_INTEGER;

/** Priority levels by route and workspace; 0 is the most urgent. */
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
    const priorities = [...workspaces].map(({ priority }) =>
      priority ?? NO_PRIORITY
    );
    return new PriorityRanks(
      listDistinct([...priorities, NO_PRIORITY]),
      listDistinct([...routes].map(({ priority }) => priority)),
    );
  }

  /** Priority level of a workspace's calls on a route. */
  getRank(workspace: Workspace, route: Route): number {
    const position = this.#workspaces.indexOf(
      workspace.priority ?? NO_PRIORITY,
    );
    return this.#computeLevel(route, position);
  }

  /**
   * Priority level of calls on a route that can no longer meet their target:
   * after all other calls of the route but before those of the next route, so
   * that less urgent calls do not overtake them.
   */
  getLateRank(route: Route): number {
    return this.#computeLevel(route, this.#workspaces.length);
  }

  #computeLevel(route: Route, positionInRoute: number): number {
    const positionsPerRoute = this.#workspaces.length + 1;
    const routeIndex = this.#routes.indexOf(route.priority);
    const position = routeIndex * positionsPerRoute + positionInRoute;
    const positions = this.#routes.length * positionsPerRoute;
    return positions <= PRIORITY_LEVELS
      ? position
      : Math.floor(position * PRIORITY_LEVELS / positions);
  }
}

function listDistinct(values: number[]): number[] {
  return [...new Set(values)].sort((a, b) => a - b);
}
