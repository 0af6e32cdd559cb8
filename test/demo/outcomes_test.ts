/**
 * Tests that the demo detects wrong answers.
 *
 * @module
 */
import { describe, expect, it } from "vitest";
import type { RequestResult } from "../../demo/callers.ts";
import type { HttpResult } from "../../demo/http_call.ts";
import { renderOutcomes } from "../../demo/outcome_table.ts";
import { checkAnswer, type Outcome } from "../../demo/outcomes.ts";
import type { Expectation, PlannedRequest } from "../../demo/workload.ts";

const STREAMED: Expectation = {
  kind: "streamed_chat",
  text: "ab",
  tokens: 2,
};

function buildResult(
  body: string,
  change: { status?: number; headers?: Record<string, string> } = {},
): HttpResult & { kind: "whole" } {
  const headers = { "x-request-id": "r1" };
  return { kind: "whole", status: 200, headers, body, totalMs: 5, ...change };
}

function formatEvent(content: string): string {
  return `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;
}

function buildRequestResult(
  className: string,
  outcome: Outcome,
): RequestResult {
  const request: PlannedRequest = {
    number: 0,
    atMs: 0,
    className,
    key: "k",
    method: "GET",
    path: "/",
    body: undefined,
    expected: STREAMED,
    behaviour: "plain",
    abortAfterBytes: undefined,
  };
  return { request, requestId: "r1", port: 1, outcome };
}

describe("checkAnswer", () => {
  const done = "data: [DONE]\n\n";

  it("accepts only a complete stream", () => {
    const check = (body: string) => checkAnswer(buildResult(body), STREAMED);
    const whole = formatEvent("a") + formatEvent("b");
    expect(check(whole + done).kind).toBe("answered");
    expect(check(whole).kind).toBe("unaccounted");
    expect(check(formatEvent("a") + done).kind).toBe("unaccounted");
    expect(check(whole + formatEvent("b") + done).kind).toBe("unaccounted");
    expect(check("{").kind).toBe("unaccounted");
  });

  it("rejects an answer without a request id or with that of another request", () => {
    const lookup: Expectation = { kind: "lookup", body: "x" };
    const nameless = checkAnswer(buildResult("x", { headers: {} }), lookup);
    expect(nameless.kind).toBe("unaccounted");
    const post: Expectation = { kind: "post", echo: "{}" };
    const formatPost = (id: string) =>
      JSON.stringify({ request_id: id, echo: "{}" });
    expect(checkAnswer(buildResult(formatPost("r1")), post).kind)
      .toBe("answered");
    expect(checkAnswer(buildResult(formatPost("r2")), post).kind)
      .toBe("unaccounted");
  });

  it("accepts a refusal only with a valid outcome", () => {
    const check = (error: unknown) =>
      checkAnswer(
        buildResult(JSON.stringify({ error }), { status: 503 }),
        STREAMED,
      );
    expect(check({ code: "shed", outcome: "not_run" }))
      .toEqual({ kind: "refused", outcome: "not_run", code: "shed" });
    expect(check({ code: "shed" }).kind).toBe("unaccounted");
    expect(check({ code: "shed", outcome: "maybe" }).kind).toBe("unaccounted");
  });
});

describe("renderOutcomes", () => {
  it("counts each outcome once, and late answers also as answered", () => {
    const table = renderOutcomes([
      buildRequestResult("chat", { kind: "answered", totalMs: 5 }),
      buildRequestResult("chat", { kind: "answered", totalMs: 50 }),
      buildRequestResult("chat", {
        kind: "refused",
        outcome: "not_run",
        code: "x",
      }),
      buildRequestResult("hold", { kind: "lost", outcome: "unknown" }),
      buildRequestResult("hold", { kind: "unaccounted", why: "w" }),
      buildRequestResult("hold", { kind: "cancelled" }),
    ], new Map([["chat", 10]]));
    const rows = table.split("\n").map((line) => line.trim().split(/ +/));
    expect(rows).toEqual([
      [
        "class",
        "sent",
        "answered",
        "not_run",
        "ran",
        "unknown",
        "late",
        "cancelled",
        "unaccounted",
      ],
      ["chat", "3", "2", "1", "0", "0", "1", "0", "0"],
      ["hold", "3", "0", "0", "0", "1", "0", "1", "1"],
      ["total", "6", "2", "1", "0", "1", "1", "1", "1"],
    ]);
  });
});
