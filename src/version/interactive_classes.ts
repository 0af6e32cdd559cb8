/**
 * Determines which request classes are interactive streams: those with the
 * shortest inter-token targets among the streams of the same upstream pool.
 *
 * @module
 */
import type { ClassName, PoolName } from "../ids.ts";
import type { RequestClass } from "./records.ts";
import type { Route } from "./routes.ts";

/**
 * Inter-token targets that differ by less than this ratio count as equal. A
 * pool has interactive streams only if its longest target is at least this many
 * times its shortest.
 */
const MIN_TARGET_RATIO = 1.25;

/**
 * Returns the classes of interactive streams; none for pools whose streams all
 * have similar targets.
 */
export function findInteractiveClasses(
  routes: readonly Route[],
  classes: ReadonlyMap<ClassName, RequestClass>,
): Set<ClassName> {
  const interactive = new Set<ClassName>();
  for (const targetsMs of listTargetsByPool(routes, classes).values()) {
    const shortest = Math.min(...targetsMs.values());
    const longest = Math.max(...targetsMs.values());
    if (longest < MIN_TARGET_RATIO * shortest) continue;
    for (const [name, targetMs] of targetsMs) {
      if (targetMs < MIN_TARGET_RATIO * shortest) interactive.add(name);
    }
  }
  return interactive;
}

function listTargetsByPool(
  routes: readonly Route[],
  classes: ReadonlyMap<ClassName, RequestClass>,
): Map<PoolName, Map<ClassName, number>> {
  const byPool = new Map<PoolName, Map<ClassName, number>>();
  for (const { kind, className, targets } of routes) {
    const isStream = kind === "single_stream" || kind === "resumable_stream";
    const targetMs = classes.get(className)?.targets.betweenTokensMs;
    if (!isStream || targetMs === undefined) continue;
    for (const { pool } of targets) {
      const targetsMs = byPool.get(pool) ?? new Map<ClassName, number>();
      byPool.set(pool, targetsMs);
      targetsMs.set(className, targetMs);
    }
  }
  return byPool;
}
