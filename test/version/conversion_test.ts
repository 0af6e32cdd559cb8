import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseRecord } from "../../src/version/index.ts";
import type { RawRecord } from "./record_fixtures.ts";

const SEED = 20_253;
const RUNS = 500;
const DAY_MS = 86_400_000;

const NAME = fc.stringMatching(/^[a-z][a-z0-9_-]{0,20}$/)
  .filter((name) => !(name in {}));
const LABEL = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._:\/-]{0,20}$/);
const DURATION = fc.integer({ min: 1, max: DAY_MS });
const COUNT = fc.integer({ min: 1, max: 1_000_000 });
const HASH = fc.stringMatching(/^[0-9a-f]{64}$/);

const CLASS = fc.record({
  name: NAME,
  tier: NAME,
  late_is_useful: fc.boolean(),
  idempotent: fc.boolean(),
  min_share: fc.double({ min: 0.000001, max: 0.5, noNaN: true }),
  max_wait_ms: DURATION,
  queue_limit: COUNT,
  max_output_tokens: COUNT,
});
const TARGETS = fc.tuple(DURATION, DURATION, DURATION).map(([a, b, c]) => ({
  first_token_ms: Math.min(a, b),
  between_tokens_ms: c,
  total_ms: Math.max(a, b),
}));

const WORKSPACE = fc.record({
  name: NAME,
  key_hashes: fc.uniqueArray(HASH, { minLength: 1, maxLength: 4 }),
  default_class: NAME,
  classes: fc.uniqueArray(NAME, { minLength: 1, maxLength: 5 }),
  weight: fc.double({ min: 0.001, max: 1_000_000, noNaN: true }),
});
const LIMITS = fc.record({
  requests_per_minute: COUNT,
  tokens_per_minute: COUNT,
});

const SLOTS = fc.tuple(
  fc.integer({ min: 1, max: 4_096 }),
  fc.integer({ min: 1, max: 4_096 }),
  fc.integer({ min: 1, max: 4_096 }),
).map((slots) => {
  const [min = 1, initial = 1, max = 1] = slots.sort((a, b) => a - b);
  return { min, initial, max };
});
const TIMEOUTS = fc.record({
  first_byte_ms: DURATION,
  between_bytes_ms: DURATION,
  total_ms: DURATION,
});
const MODEL = fc.record({
  model: LABEL,
  version: LABEL,
  adapters: fc.uniqueArray(LABEL, { maxLength: 3 }),
  replicas: fc.integer({ min: 1, max: 100_000 }),
});

function checkEqual(first: RawRecord, second: RawRecord): void {
  const parsed = parseRecord(first);
  expect(parsed).toMatchObject({ kind: "valid" });
  expect(parseRecord(second)).toStrictEqual(parsed);
}

describe("a record in schema 1 and in schema 2 is one record", () => {
  it("for a request class", () => {
    fc.assert(
      fc.property(CLASS, TARGETS, (fields, targets) => {
        const record = { kind: "request_class", ...fields };
        checkEqual(
          { ...record, schema: 1, ...targets },
          { ...record, schema: 2, targets, objective: 0.95 },
        );
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("for a workspace", () => {
    fc.assert(
      fc.property(WORKSPACE, LIMITS, (fields, limits) => {
        const record = { kind: "workspace", ...fields };
        checkEqual(
          { ...record, schema: 1, ...limits },
          { ...record, schema: 2, limits },
        );
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("for an upstream pool", () => {
    fc.assert(
      fc.property(
        fc.record({
          name: NAME,
          shards: fc.integer({ min: 1, max: 1_024 }),
          slots: SLOTS,
          timeouts: TIMEOUTS,
          entry: fc.option(MODEL),
          defaultClass: NAME,
        }),
        ({ name, shards, slots, timeouts, entry, defaultClass }) => {
          const record = {
            kind: "upstream_pool",
            name,
            shards,
            ...(entry
              ? { type: "model" }
              : { type: "service", default_class: defaultClass }),
          };
          const flat = entry && {
            model: entry.model,
            model_version: entry.version,
            adapters: entry.adapters,
            replicas: entry.replicas,
          };
          checkEqual({
            ...record,
            schema: 1,
            ...flat,
            initial_slots: slots.initial,
            min_slots: slots.min,
            max_slots: slots.max,
            ...timeouts,
          }, {
            ...record,
            schema: 2,
            models: entry ? [entry] : [],
            slots,
            fencing: "ignored",
            timeouts,
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
