/**
 * Bounds on a JSON value, checked before any recursive code processes it.
 *
 * @module
 */

const MAX_DEPTH = 8;
const MAX_VALUES = 20_000;
const MAX_TEXT_LENGTH = 4_096;
const FORBIDDEN_KEY = "__proto__";

/** A violated bound: the keys that lead to the value, and the bound. */
export interface BoundProblem {
  keys: PropertyKey[];
  expected: string;
}

interface Visit {
  value: unknown;
  keys: PropertyKey[];
}

/**
 * Finds the first bound that `value` violates, without recursion.
 *
 * A recursive check of a record nested thousands of levels deep would overflow
 * the stack with a RangeError, but only on VMs with smaller stacks, so VMs
 * would disagree on whether a version is valid. This traversal stops at a fixed
 * depth and number of values, which are the same on every VM.
 */
export function findBoundProblem(value: unknown): BoundProblem | undefined {
  const pending: Visit[] = [{ value, keys: [] }];
  let seen = 0;
  for (let visit = pending.pop(); visit; visit = pending.pop()) {
    seen += 1;
    if (seen > MAX_VALUES) {
      return { keys: [], expected: `at most ${MAX_VALUES} values` };
    }
    const expected = checkValue(visit);
    if (expected) return { keys: visit.keys, expected };
    pending.push(...listChildren(visit));
  }
  return undefined;
}

function checkValue({ value, keys }: Visit): string | undefined {
  if (keys.length > MAX_DEPTH) return `at most ${MAX_DEPTH} levels of nesting`;
  if (typeof value === "string" && value.length > MAX_TEXT_LENGTH) {
    return `a text of at most ${MAX_TEXT_LENGTH} characters`;
  }
  // `JSON.parse` creates an own property named `__proto__`. Copying it by
  // assignment would set the prototype of the copy, which would then inherit
  // fields that the record does not have.
  if (isObject(value) && Object.hasOwn(value, FORBIDDEN_KEY)) {
    return `no field named ${FORBIDDEN_KEY}`;
  }
  return undefined;
}

function listChildren({ value, keys }: Visit): Visit[] {
  if (!isObject(value)) return [];
  const entries: [PropertyKey, unknown][] = Array.isArray(value)
    ? value.slice(0, MAX_VALUES).map((item, index) => [index, item])
    : Object.entries(value).slice(0, MAX_VALUES);
  return entries.map(([key, child]) => ({
    value: child,
    keys: [...keys, key],
  }));
}

function isObject(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}
