/**
 * Tests that docs/CAPACITY.md shows the measured figures.
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
  // Guards against a page with figures that no run produced: its tables must be
  // rendered again whenever a slope or a computation changes.
  it("has the tables rendered from the saved figures", () => {
    const page = readFileSync("docs/CAPACITY.md", "utf8");
    expect(renderPage(page, file)).toBe(page);
  });

  it("uses lines fitted to at least four sizes", () => {
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
  it("fits a line and reports its residual", () => {
    const labels = { size: "n", unit: "µs" };
    const exact = buildSlope("a", [[1, 5], [2, 7], [4, 11]], labels);
    expect(exact.start).toBeCloseTo(3);
    expect(exact.slope).toBeCloseTo(2);
    expect(exact.residual).toBeCloseTo(0);
    const bent = buildSlope("b", [[0, 1], [1, 0], [2, 1], [3, 0]], labels);
    expect(bent.residual).toBeGreaterThan(0.5);
  });
});
