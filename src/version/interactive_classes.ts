/**
 * Which request classes are interactive streams: streams whose callers accept
 * the shortest pauses of all that go to the same upstream pool.
 *
 * @module
 */
import type { ClassName, PoolName } from "../ids.ts";
import type { RequestClass } from "./records.ts";
import type { Route } from "./routes.ts";

/**
 * A pool's other streams accept pauses so many times as long, or nothing tells
 * its interactive streams apart: targets that differ by less are of one kind.
 */
const LEAST_RATIO = 1.25;

/**
 * The classes of interactive streams; none for pools whose streams are all
 * alike.
 */
export function findInteractiveClasses(
  routes: readonly Route[],
  classes: ReadonlyMap<ClassName, RequestClass>,
): Set<ClassName> {
  const interactive = new Set<ClassName>();
  for (const pauses of listPausesByPool(routes, classes).values()) {
    const shortest = Math.min(...pauses.values());
    const longest = Math.max(...pauses.values());
    if (longest < LEAST_RATIO * shortest) continue;
    for (const [name, pauseMs] of pauses) {
      if (pauseMs < LEAST_RATIO * shortest) interactive.add(name);
    }
  }
  return interactive;
}

function listPausesByPool(
  routes: readonly Route[],
  classes: ReadonlyMap<ClassName, RequestClass>,
): Map<PoolName, Map<ClassName, number>> {
  const byPool = new Map<PoolName, Map<ClassName, number>>();
  for (const { kind, className, targets } of routes) {
    const isStream = kind === "single_stream" || kind === "resumable_stream";
    const pauseMs = classes.get(className)?.targets.betweenTokensMs;
    if (!isStream || pauseMs === undefined) continue;
    for (const { pool } of targets) {
      const pauses = byPool.get(pool) ?? new Map<ClassName, number>();
      byPool.set(pool, pauses);
      pauses.set(className, pauseMs);
    }
  }
  return byPool;
}
