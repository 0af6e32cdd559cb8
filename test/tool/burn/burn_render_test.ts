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

/** Ends elements and attributes, and writes right to left. */
const HOSTILE = `</text></svg><script>alert("1")</script>'"&\u202e\u001b[2J`;

/** A report in which every name that can come from outside is hostile. */
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

// Symptom: a page opened by an operator runs what a caller wrote. Sequence: a
// record, a log line or a saved report holds a name with markup. Cause: the name
// was put into the page as it stood.
describe("renderPage", () => {
  test("shows hostile names as text alone", () => {
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
    // Each plot stands whole: none was ended by a name.
    const plots = document.querySelectorAll("section.card > svg");
    expect(plots.length).toBe(document.querySelectorAll("section").length);
  });
});

describe("renderText", () => {
  test("lets no name steer the terminal", () => {
    const text = renderText(buildHostileReport(), { hasColour: false });
    expect(text).not.toContain("\u001b");
    expect(text).not.toContain("\u202e");
    expect(text).toContain('<script>alert("1")</script>');
  });
});
