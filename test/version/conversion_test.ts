import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseRecord } from "../../src/version/index.ts";
import { buildRawRecords } from "./record_fixtures.ts";
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

describe("equivalent records of schema 1 and schema 2 convert to the same result", () => {
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

describe("each field of a record is converted to its own property", () => {
  // Comparing the schemas does not detect a field that both convert wrongly.
  it("for a request class", () => {
    const { chat } = buildRawRecords();
    expect(parseRecord({ ...chat, late_is_useful: true })).toStrictEqual({
      kind: "valid",
      record: {
        kind: "request_class",
        name: "chat",
        tier: "high",
        targets: { firstTokenMs: 1_400, betweenTokensMs: 60, totalMs: 30_000 },
        lateIsUseful: true,
        idempotent: true,
        minShare: 0.1,
        maxWaitMs: 1_000,
        queueLimit: 10,
        maxOutputTokens: 100,
        objective: 0.95,
      },
    });
  });

  it("for a workspace", () => {
    const { desk } = buildRawRecords();
    expect(parseRecord({ ...desk, weight: 7 })).toStrictEqual({
      kind: "valid",
      record: {
        kind: "workspace",
        name: "desk",
        keyHashes: desk?.key_hashes,
        defaultClass: "chat",
        classes: ["chat", "hold"],
        weight: 7,
        limits: { requestsPerMinute: 60, tokensPerMinute: 6_000 },
        objectives: { chat: 0.9 },
      },
    });
  });

  it("for an upstream pool", () => {
    const timeouts = { first_byte_ms: 1, between_bytes_ms: 2, total_ms: 3 };
    const { engines } = buildRawRecords();
    expect(parseRecord({ ...engines, timeouts, role: "prefill" }))
      .toMatchObject({ kind: "valid", record: { role: "prefill" } });
    expect(parseRecord({ ...engines, timeouts })).toStrictEqual({
      kind: "valid",
      record: {
        kind: "upstream_pool",
        name: "engines",
        type: "model",
        models: [{ model: "m", version: "1", adapters: ["a"], replicas: 2 }],
        shards: 1,
        slots: { initial: 4, min: 1, max: 8 },
        fencing: "checked",
        timeouts: { firstByteMs: 1, betweenBytesMs: 2, totalMs: 3 },
        defaultClass: undefined,
      },
    });
  });

  it("for a tier and the policy", () => {
    const { low, policy } = buildRawRecords();
    expect(parseRecord(low)).toStrictEqual({
      kind: "valid",
      record: { kind: "tier", name: "low", rank: 1, maxSlotShare: 0.5 },
    });
    expect(parseRecord(policy)).toStrictEqual({
      kind: "valid",
      record: {
        kind: "policy",
        name: "policy",
        weights: { wastedWork: 1, goodput: 2, attainment: 3 },
        retryShare: 0.1,
        preemption: true,
        weightStoreOrdersPerMinute: 6,
      },
    });
  });
});
