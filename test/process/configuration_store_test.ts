/**
 * Rules for replacing the active configuration.
 *
 * @module
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { computeDigest } from "../../src/process/configuration_records.ts";
import { ConfigurationStore } from "../../src/process/configuration_store.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildBadRecords, buildRecords } from "../support/fleet_records.ts";

const RUNS = 300;
const MAX_VERSION = 6;

/** Expected state of the store: the highest valid version so far. */
interface Model {
  version: number;
  digest: string;
}

interface Real {
  store: ConfigurationStore;
  announced: number[];
}

class CandidateCommand implements fc.Command<Model, Real> {
  readonly #version: number;
  readonly #variant: number;
  readonly #isBad: boolean;

  constructor(version: number, variant: number, isBad: boolean) {
    this.#version = version;
    this.#variant = variant;
    this.#isBad = isBad;
  }

  check(): boolean {
    return true;
  }

  run(model: Model, real: Real): void {
    const records = this.#isBad
      ? buildBadRecords(this.#variant)
      : buildRecords(this.#variant);
    const version = this.#version;
    const result = real.store.apply({ version, records, from: "service" });
    const digest = computeDigest(records);
    const isHigher = version > model.version ||
      (version === model.version && digest > model.digest);
    if (!this.#isBad && isHigher && version >= 1) {
      model.version = version;
      model.digest = digest;
    }
    if (result.kind === "accepted") real.announced.push(version);
    expect(real.store.getVersion()).toBe(model.version);
    expect(real.store.getDigest()).toBe(model.digest);
    expect(real.store.getSnapshot()?.version ?? 0).toBe(model.version);
    expect(real.announced).toEqual([...real.announced].sort((a, b) => a - b));
  }

  toString(): string {
    const kind = this.#isBad ? "bad" : "good";
    return `candidate ${this.#version} ${kind} ${this.#variant}`;
  }
}

function createStore(): ConfigurationStore {
  return ConfigurationStore.create(VirtualClock.create());
}

describe("ConfigurationStore", () => {
  it("has the highest valid version, in any order of candidates", () => {
    const command = fc.tuple(
      fc.integer({ min: -1, max: MAX_VERSION }),
      fc.integer({ min: 1, max: 3 }),
      fc.boolean(),
    ).map(([version, variant, isBad]) =>
      new CandidateCommand(version, variant, isBad)
    );
    fc.assert(
      fc.property(fc.commands([command], { maxCommands: 30 }), (commands) => {
        const setup = () => ({
          model: { version: 0, digest: "" },
          real: { store: createStore(), announced: [] },
        });
        fc.modelRun(setup, commands);
      }),
      { numRuns: RUNS, seed: 11 },
    );
  });

  it("decides independently of the order of candidates", () => {
    const candidate = fc.record({
      version: fc.integer({ min: 1, max: 3 }),
      variant: fc.integer({ min: 1, max: 3 }),
      isBad: fc.boolean(),
    });
    const candidates = fc.array(candidate, { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(candidates, fc.integer(), (given, rotation) => {
        const shift = Math.abs(rotation) % given.length;
        const rotated = [...given.slice(shift), ...given.slice(0, shift)];
        const digests = [given, rotated, [...given].reverse()].map((order) => {
          const store = createStore();
          for (const { version, variant, isBad } of order) {
            const records = isBad
              ? buildBadRecords(variant)
              : buildRecords(variant);
            store.apply({ version, records, from: "service" });
          }
          return `${store.getVersion()} ${store.getDigest()}`;
        });
        expect(new Set(digests).size).toBe(1);
      }),
      { numRuns: RUNS, seed: 12 },
    );
  });

  it("rejects invalid version numbers", () => {
    const store = createStore();
    for (const version of [NaN, Infinity, 1.5, -1, 0, 2 ** 53]) {
      const records = buildRecords(1);
      const result = store.apply({ version, records, from: "vm-1" });
      expect(result.kind).toBe("older");
    }
    expect(store.getSnapshot()).toBeUndefined();
  });

  // If the origin were looked up in the bounded history of decisions, dozens of
  // invalid versions after the active one would remove it.
  it("reports the origin of its version after many rejections", async () => {
    const clock = VirtualClock.create();
    const store = ConfigurationStore.create(clock);
    expect(store.getOrigin()).toBeUndefined();
    store.apply({ version: 1, records: buildRecords(1), from: "vm-2" });
    for (let version = 2; version < 100; version++) {
      store.apply({ version, records: buildBadRecords(version), from: "vm-3" });
    }
    await clock.run(5_000);
    expect(store.getVersion()).toBe(1);
    const isKept = store.listHistory().some((entry) =>
      entry.result === "accepted"
    );
    expect(isKept).toBe(false);
    expect(store.getOrigin()).toEqual({ from: "vm-2", ageMs: 5_000 });
  });

  it("bounds its history and validates an invalid version once", () => {
    const store = createStore();
    for (let version = 1; version <= 100; version += 1) {
      store.apply({ version, records: buildRecords(version), from: "vm-1" });
    }
    expect(store.listHistory()).toHaveLength(32);
    const bad = { version: 101, records: buildBadRecords(1), from: "vm-1" };
    expect(store.apply(bad)).toMatchObject({ kind: "rejected", isNew: true });
    expect(store.apply(bad)).toMatchObject({ kind: "rejected", isNew: false });
    expect(store.getVersion()).toBe(100);
  });
});
