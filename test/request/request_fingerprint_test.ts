import { describe, expect, it } from "vitest";
import { toId, type WorkspaceName } from "../../src/ids.ts";
import { computeFingerprint } from "../../src/request/request_fingerprint.ts";

const REQUEST = {
  method: "POST",
  path: "/chat/1",
  query: "a=1",
  headers: { host: "caller.example", "x-request-id": "one" },
  body: Buffer.from("prompt"),
};
const WORKSPACE = toId<WorkspaceName>("garage");
const FINGERPRINT = computeFingerprint(REQUEST, WORKSPACE);

describe("a request's fingerprint", () => {
  it("does not depend on request id, port and case of the host", () => {
    const headers = { host: "Caller.Example:8740", "x-request-id": "two" };
    expect(computeFingerprint({ ...REQUEST, headers }, WORKSPACE))
      .toBe(FINGERPRINT);
  });

  for (
    const [name, change] of [
      ["method", { method: "PUT" }],
      ["host", { headers: { host: "other.example" } }],
      ["path", { path: "/chat/2" }],
      ["query", { query: "a=2" }],
      ["body", { body: Buffer.from("prompt.") }],
      ["split of path and query", { path: "/chat/1a=1", query: "" }],
    ] as const
  ) {
    it(`differs with the ${name}`, () => {
      expect(computeFingerprint({ ...REQUEST, ...change }, WORKSPACE))
        .not.toBe(FINGERPRINT);
    });
  }

  it("differs with the caller", () => {
    const other = toId<WorkspaceName>("clerks");
    expect(computeFingerprint(REQUEST, other)).not.toBe(FINGERPRINT);
  });
});
