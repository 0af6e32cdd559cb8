import { describe, expect, it } from "vitest";
import { PlatformHeaderCodec } from "../../platform/headers.ts";

const codec = PlatformHeaderCodec.create();

function readSignals(status: number, headers: Record<string, string>) {
  return codec.readAnswer(status, headers).signals;
}

describe("signals in a replica's answer", () => {
  it("parses the rate limit in requests per second", () => {
    for (const [text, requestsPerS] of [["3.5", 3.5], ["0", 0], [" 7 ", 7]]) {
      expect(readSignals(200, { "server-limit": String(text) }))
        .toEqual({
          requestsPerS,
          isLeaving: false,
          backOffMs: 0,
          isRejected: false,
          maxRejectionsPerS: undefined,
          unreadable: [],
        });
    }
  });

  it("lifts the rate limit on an answer without one", () => {
    expect(readSignals(200, {})!.requestsPerS).toBe(Infinity);
    expect(readSignals(500, {})!.requestsPerS).toBe(Infinity);
  });

  it("keeps the rate limit on a refusal without one", () => {
    const refusal = { "x-not-executed": "1" };
    expect(readSignals(503, refusal)!.requestsPerS).toBeUndefined();
    expect(readSignals(503, { ...refusal, "server-limit": "2" })!.requestsPerS)
      .toBe(2);
  });

  it("ignores the signals of another instance", () => {
    expect(readSignals(421, { "server-limit": "2" })).toBeUndefined();
  });

  it("reports and ignores a rate limit that is not a decimal number", () => {
    const values = ["", "many", "-1", "1e3", "3, 4", "NaN", "9".repeat(400)];
    for (const value of values) {
      expect(readSignals(200, { "server-limit": value })).toEqual({
        requestsPerS: undefined,
        isLeaving: false,
        backOffMs: 0,
        isRejected: false,
        maxRejectionsPerS: undefined,
        unreadable: [{ name: "server-limit", value }],
      });
    }
  });

  it("parses the leaving flag in answers of any status", () => {
    const leaving = { "server-leaving": "1" };
    for (const status of [200, 500, 503]) {
      expect(readSignals(status, leaving)!.isLeaving).toBe(true);
      expect(readSignals(status, {})!.isLeaving).toBe(false);
    }
    expect(readSignals(200, { "server-leaving": "0" })!.isLeaving).toBe(false);
  });

  it("reports and ignores an invalid leaving flag", () => {
    for (const value of ["", "yes", "-1", "11", "1, 1"]) {
      const signals = readSignals(200, { "server-leaving": value })!;
      expect(signals.isLeaving).toBe(false);
      expect(signals.unreadable).toEqual([{ name: "server-leaving", value }]);
    }
  });

  it("parses retry-after of refusals as back-off time", () => {
    const refused = { "x-not-executed": "1", "retry-after": "2.5" };
    expect(readSignals(503, refused)!.backOffMs).toBe(2_500);
    expect(readSignals(429, refused)!.backOffMs).toBe(2_500);
    expect(readSignals(503, {})!.backOffMs).toBe(0);
    expect(readSignals(200, refused)!.backOffMs).toBe(0);
  });

  it("parses how many rejections a replica bears in a second", () => {
    const brittle = { "server-brittle": "8" };
    expect(readSignals(200, brittle)!.maxRejectionsPerS).toBe(8);
    expect(readSignals(200, {})!.maxRejectionsPerS).toBeUndefined();
    const rejection = { ...brittle, "x-not-executed": "1" };
    expect(readSignals(503, rejection)!.isRejected).toBe(true);
    expect(readSignals(503, rejection)!.maxRejectionsPerS).toBe(8);
    expect(readSignals(503, brittle)!.isRejected).toBe(false);
    const unreadable = readSignals(200, { "server-brittle": "much" })!;
    expect(unreadable.maxRejectionsPerS).toBeUndefined();
    expect(unreadable.unreadable).toHaveLength(1);
  });

  it("reports and ignores an invalid retry-after and caps a huge one", () => {
    for (const value of ["", "-3", "soon", "Thu, 03 Dec 2026 09:00:00 GMT"]) {
      const signals = readSignals(503, { "retry-after": value })!;
      expect(signals.backOffMs).toBe(0);
      expect(signals.unreadable).toEqual([{ name: "retry-after", value }]);
    }
    const huge = readSignals(503, { "retry-after": "99999999" })!;
    expect(huge.backOffMs).toBe(300_000);
    expect(huge.unreadable).toHaveLength(1);
  });
});
