/**
 * The regions in which a call may run, where its route or workspace restricts
 * them.
 *
 * @module
 */
import type { Region } from "../ids.ts";

/** Regions that both lists allow; undefined where neither restricts them. */
export function findCommonRegions(
  left: readonly Region[] | undefined,
  right: readonly Region[] | undefined,
): Region[] | undefined {
  if (left === undefined) return right && [...right];
  if (right === undefined) return [...left];
  return left.filter((region) => right.includes(region));
}
