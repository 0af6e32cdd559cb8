/**
 * Where a list stands in the history of the store.
 *
 * A store that is restored from a copy gives revisions out again. Each
 * restoration begins an era, so that two lists are ordered by their eras, and
 * within an era by their revisions.
 *
 * @module
 */

/** Position of a list; one of a later era is newer, whatever its revision. */
export interface ListPosition {
  /**
   * Number of the era; 0, or left out, where nothing tells it. A fraction counts
   * restorations that the store has not told.
   */
  era?: number | undefined;
  /** Increases with each change of an era. */
  revision: number;
}

/** The era of a position. */
export function getEra({ era = 0 }: ListPosition): number {
  return era;
}

/** Below 0 if `one` is older than `other`, above 0 if newer, 0 if equal. */
export function comparePositions(
  one: ListPosition,
  other: ListPosition,
): number {
  const eras = getEra(one) - getEra(other);
  return eras === 0 ? one.revision - other.revision : eras;
}

/** Whether `one` is newer than `other`. */
export function isNewer(one: ListPosition, other: ListPosition): boolean {
  return comparePositions(one, other) > 0;
}

/** Whether both are of the same list. */
export function isSamePosition(
  one: ListPosition,
  other: ListPosition,
): boolean {
  return comparePositions(one, other) === 0;
}

/**
 * Whether a list comes from a copy of the store that was restored after the list
 * before. An era that only becomes known is no restoration.
 */
export function isAfterRestore(
  list: ListPosition,
  before: ListPosition,
): boolean {
  const [era, known] = [getEra(list), getEra(before)];
  const becomesKnown = known === 0 && era >= 1;
  return before.revision > 0 && era > known && !becomesKnown;
}
