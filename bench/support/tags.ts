/**
 * Tags that identify a caller's request independently of the router's ids.
 *
 * @module
 */

const TAG_PATTERN = /tag-(\d+)-/;

/** Formats the tag of a request; the result is safe in a path. */
export function formatTag(tag: number): string {
  return `tag-${tag}-`;
}

/** Finds the tag in a path or body; returns -1 if there is none. */
export function findTag(text: string): number {
  const digits = TAG_PATTERN.exec(text)?.[1];
  return digits === undefined ? -1 : Number(digits);
}
