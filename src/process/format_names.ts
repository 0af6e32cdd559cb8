/**
 * Formats names for a log line, which must not grow with the fleet.
 *
 * @module
 */

const MAX_NAMES = 24;

/** The first 24 names, and how many more there are. */
export function formatNames(names: Iterable<string>): string {
  const all = [...names];
  const shown = all.slice(0, MAX_NAMES).join(",");
  const more = all.length - MAX_NAMES;
  return more > 0 ? `${shown} and ${more} more` : shown;
}
