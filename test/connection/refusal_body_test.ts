import { describe, expect, it } from "vitest";
import { buildRefusal, getRefusalKind } from "../../src/connection/index.ts";
import type { RequestId } from "../../src/ids.ts";
import { toId } from "../../src/ids.ts";
import type { Refusal, RefusalCode } from "../../src/outcome.ts";

const STATUSES: Record<RefusalCode, number> = {
  bad_request: 400,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  payload_too_large: 413,
  rate_limited: 429,
  queue_full: 503,
  deadline_unreachable: 503,
  quarantined: 503,
  shed: 503,
  draining: 503,
  no_upstream: 503,
  version_gone: 503,
  origin_unknown: 503,
  owner_unreachable: 503,
  not_ready: 503,
  upstream_failed: 502,
  answer_truncated: 502,
  upstream_timeout: 504,
  deadline_passed: 504,
  already_submitted: 409,
  fate_unknown: 409,
  paused: 503,
  cancelled: 499,
  internal: 500,
};

function build(changes: Partial<Refusal>) {
  const refusal: Refusal = {
    code: "shed",
    message: "Shed",
    outcome: "not_run",
    ...changes,
  };
  return buildRefusal(refusal, { requestId: toId<RequestId>("r-1") });
}

describe("buildRefusal", () => {
  it.each(Object.entries(STATUSES))(
    "maps %s to status %s",
    (code, status) => {
      expect(getRefusalKind(code as RefusalCode).status).toBe(status);
    },
  );

  it.each([[0, "0"], [1, "1"], [1_000, "1"], [1_001, "2"]])(
    "rounds %s ms up to whole seconds",
    (retryAfterMs, seconds) => {
      expect(build({ retryAfterMs }).headers["retry-after"]).toBe(seconds);
    },
  );

  it("sends no retry-after if a retry is useless", () => {
    const answer = build({});
    expect(answer.headers).not.toHaveProperty("retry-after");
    expect(JSON.parse(String(answer.body)).error.retry_after).toBeNull();
  });

  it.each(
    [
      ["not_run", 1_000, "true"],
      ["not_run", undefined, "false"],
      ["ran", 1_000, "false"],
      ["unknown", 1_000, "false"],
    ] as const,
  )(
    "sets x-should-retry of %s with retry-after %s to %s",
    (outcome, retryAfterMs, expected) => {
      // Guards against running work twice for one request: after a broken
      // answer, client libraries retry every 409, 429 and 5xx unless this header
      // forbids it.
      const answer = build({
        outcome,
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
      });
      expect(answer.headers["x-should-retry"]).toBe(expected);
    },
  );
});
