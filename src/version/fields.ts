/**
 * Field types of the record schemas. Each field's error text states what is
 * expected and becomes the `expected` text of a `RecordProblem`.
 *
 * @module
 */
import { z } from "zod";
import { toId } from "../ids.ts";
import type { AnyId } from "../ids.ts";

/**
 * One day. Node.js fires timers of more than 2^31 - 1 ms immediately, so such
 * a limit would end every request at once; this bound stays well below that.
 */
const MAX_DURATION_MS = 86_400_000;
const MAX_COUNT = 1_000_000_000;
const MAX_LIST_LENGTH = 1_000;
const NAME_PATTERN = /^[a-z][a-z0-9_-]{0,62}$/;
const LABEL_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$/;
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;

const NAME_EXPECTED =
  "a name of 1 to 63 lower-case letters, digits, _ and -, a letter first";

/**
 * A record's name. Names of `Object.prototype` members, such as `constructor`,
 * are rejected: looking them up in a plain object finds the inherited member.
 */
export function buildNameField<T extends AnyId>() {
  return z.string({ error: NAME_EXPECTED })
    .regex(NAME_PATTERN, { error: NAME_EXPECTED })
    .refine((name) => !(name in {}), { error: NAME_EXPECTED })
    .transform((name) => toId<T>(name));
}

const LABEL_EXPECTED =
  "1 to 128 letters, digits and . _ : / -, a letter or digit first";

/** An external name, such as that of a model, an adapter or a model version. */
export function buildLabelField() {
  return z.string({ error: LABEL_EXPECTED })
    .regex(LABEL_PATTERN, { error: LABEL_EXPECTED });
}

/** An integer from `min` to `max`, inclusive. */
export function buildCountField(min: number, max = MAX_COUNT) {
  const error = `a whole number from ${min} to ${max}`;
  return z.number({ error }).int({ error }).min(min, { error })
    .max(max, { error });
}

/** A duration in whole milliseconds, from 1 ms to one day. */
export function buildDurationField() {
  const error = `whole milliseconds from 1 to ${MAX_DURATION_MS}`;
  return z.number({ error }).int({ error }).min(1, { error })
    .max(MAX_DURATION_MS, { error });
}

/** A share greater than 0 and at most `max`. */
export function buildShareField(max: number) {
  const error = `a number above 0 and at most ${max}`;
  return z.number({ error }).gt(0, { error }).max(max, { error });
}

/** A share from 0 to 1, inclusive. */
export function buildOptionalShareField() {
  const error = "a number from 0 to 1";
  return z.number({ error }).min(0, { error }).max(1, { error });
}

/**
 * An objective, greater than 0 and less than 1. An objective of 1 leaves no
 * error budget, and the burn rate would be a division by zero.
 */
export function buildObjectiveField() {
  const error = "a number above 0 and below 1";
  return z.number({ error }).gt(0, { error }).lt(1, { error });
}

/** A weight from 0 to 1,000,000. */
export function buildWeightField() {
  const error = "a number from 0 to 1000000";
  return z.number({ error }).min(0, { error }).max(1_000_000, { error });
}

/** A boolean. */
export function buildFlagField() {
  return z.boolean({ error: "true or false" });
}

/** The SHA-256 of a key, in lower-case hexadecimal. */
export function buildKeyHashField() {
  const error = "a SHA-256 as 64 lower-case hexadecimal digits";
  return z.string({ error }).regex(KEY_HASH_PATTERN, { error });
}

/** One of `options`. */
export function buildChoiceField<const T extends string>(
  options: readonly T[],
) {
  return z.enum(options, { error: `one of ${options.join(", ")}` });
}

/** A list of at least `min` items without duplicates. */
export function buildListField<T extends z.ZodType>(item: T, min: number) {
  const error = `a list of ${min} to ${MAX_LIST_LENGTH} different items`;
  return z.array(item, { error }).min(min, { error })
    .max(MAX_LIST_LENGTH, { error })
    .superRefine((items, context) => {
      for (const index of findRepeats(items)) {
        context.addIssue({
          code: "custom",
          path: [index],
          message: "an item that is not in the list already",
        });
      }
    });
}

function findRepeats(items: readonly unknown[]): number[] {
  const seen = new Set<string>();
  const repeats: number[] = [];
  for (const [index, item] of items.entries()) {
    const text = JSON.stringify(item);
    if (seen.has(text)) repeats.push(index);
    seen.add(text);
  }
  return repeats;
}
