/**
 * Marks that follow one caller's request through whatever ids a router gives.
 *
 * @module
 */

const TAG_PATTERN = /tag-(\d+)-/;

/** The mark of the request numbered `tag`; safe in a path. */
export function formatTag(tag: number): string {
  return `tag-${tag}-`;
}

/** The number in a marked path or body; -1 without one. */
export function findTag(text: string): number {
  const digits = TAG_PATTERN.exec(text)?.[1];
  return digits === undefined ? -1 : Number(digits);
}
