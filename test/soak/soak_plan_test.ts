import { describe, expect, it } from "vitest";
import { buildPlan } from "./soak_plan.ts";

const OPTIONS = { seed: 7, forMs: 600_000, vms: 4, replicas: 3 };

describe("the plan of a soak", () => {
  it("is the same for the same seed and differs between seeds", () => {
    expect(buildPlan(OPTIONS)).toEqual(buildPlan(OPTIONS));
    expect(buildPlan({ ...OPTIONS, seed: 8 })).not.toEqual(buildPlan(OPTIONS));
  });

  it("has every kind of fault, in order and within the duration", () => {
    const plan = buildPlan(OPTIONS);
    const kinds = new Set(plan.map(({ fault }) => fault.kind));
    expect(kinds.size).toBe(23);
    const times = plan.map(({ at }) => at);
    expect(times).toEqual(times.toSorted((left, right) => left - right));
    expect(Math.max(...times)).toBeLessThan(OPTIONS.forMs);
  });
});
