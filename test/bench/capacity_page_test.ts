/**
 * Holds docs/CAPACITY.md to the figures that were measured.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { renderPage } from "../../bench/slopes/capacity_page.ts";
import { buildSlope } from "../../bench/slopes/slope.ts";
import type { SlopeFile } from "../../bench/slopes/slope_file.ts";

const LEAST_SIZES = 4;

const file = JSON.parse(
  readFileSync("bench/results/slopes.json", "utf8"),
) as SlopeFile;

describe("docs/CAPACITY.md", () => {
  // Symptom: the page promises what no run showed. Sequence: a slope is
  // measured anew, or a sum is changed, and the page is not. Cause: figures
  // copied by hand.
  it("has the tables that the saved figures give", () => {
    const page = readFileSync("docs/CAPACITY.md", "utf8");
    expect(renderPage(page, file)).toBe(page);
  });

  it("rests on lines through four sizes at least", () => {
    expect(file.slopes.length).toBeGreaterThan(0);
    for (const { name, points, size, unit, ...line } of file.slopes) {
      const sizes = new Set(points.map(([one]) => one));
      expect(sizes.size, name).toBeGreaterThanOrEqual(LEAST_SIZES);
      const fitted = buildSlope(name, points, { size, unit });
      expect(fitted).toMatchObject(line);
    }
  });
});

describe("buildSlope", () => {
  it("finds a line and tells how far the points lie from it", () => {
    const labels = { size: "n", unit: "µs" };
    const exact = buildSlope("a", [[1, 5], [2, 7], [4, 11]], labels);
    expect(exact.start).toBeCloseTo(3);
    expect(exact.slope).toBeCloseTo(2);
    expect(exact.residual).toBeCloseTo(0);
    const bent = buildSlope("b", [[0, 1], [1, 0], [2, 1], [3, 0]], labels);
    expect(bent.residual).toBeGreaterThan(0.5);
  });
});
