import { parseHTML } from "linkedom";
import { describe, expect, test } from "vitest";
import { toId } from "../../../src/ids.ts";
import { mergeSamples } from "../../../src/tool/burn/burn_fold.ts";
import { renderPage } from "../../../src/tool/burn/burn_html.ts";
import {
  type BurnReport,
  computeReport,
} from "../../../src/tool/burn/burn_report.ts";
import { buildSpans } from "../../../src/tool/burn/burn_sources.ts";
import { renderText } from "../../../src/tool/burn/burn_terminal.ts";
import { ExampleVm } from "../../support/burn_examples.ts";

/** Closes elements and attributes, and changes the writing direction. */
const HOSTILE = `</text></svg><script>alert("1")</script>'"&\u202e\u001b[2J`;

/** Builds a report in which every external name is hostile. */
function buildHostileReport(): BurnReport {
  const vm = ExampleVm.create({ vm: HOSTILE, incarnation: HOSTILE, seed: 1 });
  vm.record({
    requestId: toId(HOSTILE),
    workspace: toId(HOSTILE),
    className: toId(HOSTILE),
    pool: toId(HOSTILE),
    upstream: toId(HOSTILE),
    result: "lost",
    step: HOSTILE,
    firstTokenMs: 1,
    betweenTokensMs: 1,
    totalMs: 1,
    tokens: 1,
    wastedTokens: 1,
  });
  const series = vm.collect();
  const gatheredAtMs = Date.UTC(2030, 0, 1);
  return computeReport(mergeSamples([{
    gatheredAtMs,
    sources: [{
      vm: HOSTILE,
      incarnation: HOSTILE,
      gatheredAtMs,
      series,
      spans: buildSpans(series),
    }],
    missing: [{ vm: HOSTILE, why: HOSTILE, gatheredAtMs }],
    objectives: [{
      className: HOSTILE,
      tier: HOSTILE,
      objective: 0.99,
      workspaces: new Map([[HOSTILE, 0.999]]),
    }],
  }]));
}

// Guards against script injection into the operator's page: a record, a log
// line or a saved report contains a name with markup that is not escaped.
describe("renderPage", () => {
  test("renders hostile names as plain text", () => {
    const page = renderPage(buildHostileReport());
    expect(page).not.toContain("<script");
    expect(page).not.toContain("\u202e");
    expect(page).not.toContain("\u001b");
    const { document } = parseHTML(page);
    expect(document.querySelectorAll("script")).toHaveLength(0);
    expect(document.querySelector("tbody td bdi")!.textContent)
      .toContain('<script>alert("1")</script>');
    const attributes = [...document.querySelectorAll("*")].flatMap((element) =>
      [...element.attributes].map(({ name }) => name)
    );
    expect(attributes.filter((name) => name.startsWith("on"))).toEqual([]);
    // No name has closed the element of a plot.
    const plots = document.querySelectorAll("section.card > svg");
    expect(plots.length).toBe(document.querySelectorAll("section").length);
  });
});

describe("renderText", () => {
  test("replaces control characters in names", () => {
    const text = renderText(buildHostileReport(), { hasColour: false });
    expect(text).not.toContain("\u001b");
    expect(text).not.toContain("\u202e");
    expect(text).toContain('<script>alert("1")</script>');
  });
});
