import { expect, test } from "vitest";
import { runHandOver } from "../../bench/experiments/cache_handover.ts";

const OPTIONS = {
  user: "lectura_llana" as const,
  seed: 1,
  cost: { transferMs: 0, stallMs: 0 },
  sharedTokens: 512,
  prefillMsPerToken: 0.05,
  load: 0.2,
  durationMs: 26_000,
};

test("a run is deterministic for a seed, and a copy reduces prefill", async () => {
  const none = await runHandOver({ ...OPTIONS, handOverTo: "none" });
  const again = await runHandOver({ ...OPTIONS, handOverTo: "none" });
  const all = await runHandOver({ ...OPTIONS, handOverTo: "all" });
  expect(again).toEqual(none);
  expect(none.copiedTokens).toBe(0);
  expect(all.copiedTokens).toBeGreaterThan(0);
  expect(all.window.prefillTokens).toBeLessThan(none.window.prefillTokens);
  expect(all.window.met).toBe(all.window.offered);
});

test("a copy that takes longer than the run has no effect", async () => {
  const cost = { transferMs: 1_000, stallMs: 0 };
  const none = await runHandOver({ ...OPTIONS, handOverTo: "none" });
  const late = await runHandOver({ ...OPTIONS, handOverTo: "all", cost });
  expect(late.copiedTokens).toBeGreaterThan(0);
  expect(late.window).toEqual(none.window);
});
