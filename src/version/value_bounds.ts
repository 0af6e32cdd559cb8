/**
 * Bounds on a JSON value, checked before anything recursive touches it.
 *
 * @module
 */

const MAX_DEPTH = 8;
const MAX_VALUES = 20_000;
const MAX_TEXT_LENGTH = 4_096;
const FORBIDDEN_KEY = "__proto__";

/** A value that breaks a bound: where, and what the bound is. */
export interface BoundProblem {
  keys: PropertyKey[];
  expected: string;
}

interface Visit {
  value: unknown;
  keys: PropertyKey[];
}

/**
 * Finds the first bound that `value` breaks, walking without recursion.
 *
 * A record nested some thousand levels deep overflows the stack of a recursive
 * check, which would show as a RangeError on the VMs with the smaller stacks:
 * one version accepted here and refused there. This walk stops at a fixed depth
 * and number of values, which are alike everywhere.
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
  // `JSON.parse` makes an own key of `__proto__`, and a later copy by
  // assignment would change the copy's prototype: fields that the record does
  // not have would then seem to be there.
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
