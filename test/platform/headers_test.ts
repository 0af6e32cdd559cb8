import { describe, expect, it } from "vitest";
import { PlatformHeaderCodec } from "../../platform/headers.ts";

const dialect = PlatformHeaderCodec.create();

function readSignals(status: number, headers: Record<string, string>) {
  return dialect.readAnswer(status, headers).signals;
}

describe("what a replica's answer asks", () => {
  it("reads the requests a second that it takes", () => {
    for (const [text, requestsPerS] of [["3.5", 3.5], ["0", 0], [" 7 ", 7]]) {
      expect(readSignals(200, { "server-limit": String(text) }))
        .toEqual({
          requestsPerS,
          isLeaving: false,
          backOffMs: 0,
          unreadable: [],
        });
    }
  });

  it("takes an answer without a limit for the end of it", () => {
    expect(readSignals(200, {})!.requestsPerS).toBe(Infinity);
    expect(readSignals(500, {})!.requestsPerS).toBe(Infinity);
  });

  it("learns nothing from a refusal that names no limit", () => {
    const refusal = { "x-not-executed": "1" };
    expect(readSignals(503, refusal)!.requestsPerS).toBeUndefined();
    expect(readSignals(503, { ...refusal, "server-limit": "2" })!.requestsPerS)
      .toBe(2);
  });

  it("learns nothing from another replica at the address", () => {
    expect(readSignals(421, { "server-limit": "2" })).toBeUndefined();
  });

  it("names a limit that is no decimal number, and goes by none", () => {
    const values = ["", "many", "-1", "1e3", "3, 4", "NaN", "9".repeat(400)];
    for (const value of values) {
      expect(readSignals(200, { "server-limit": value })).toEqual({
        requestsPerS: undefined,
        isLeaving: false,
        backOffMs: 0,
        unreadable: [{ name: "server-limit", value }],
      });
    }
  });

  it("reads that the replica leaves, in answers of any status", () => {
    const leaving = { "server-leaving": "1" };
    for (const status of [200, 500, 503]) {
      expect(readSignals(status, leaving)!.isLeaving).toBe(true);
      expect(readSignals(status, {})!.isLeaving).toBe(false);
    }
    expect(readSignals(200, { "server-leaving": "0" })!.isLeaving).toBe(false);
  });

  it("names a leaving that is no flag, and takes it for none", () => {
    for (const value of ["", "yes", "-1", "11", "1, 1"]) {
      const signals = readSignals(200, { "server-leaving": value })!;
      expect(signals.isLeaving).toBe(false);
      expect(signals.unreadable).toEqual([{ name: "server-leaving", value }]);
    }
  });

  it("reads how long a replica that turned a request away wants none", () => {
    const refused = { "x-not-executed": "1", "retry-after": "2.5" };
    expect(readSignals(503, refused)!.backOffMs).toBe(2_500);
    expect(readSignals(429, refused)!.backOffMs).toBe(2_500);
    expect(readSignals(503, {})!.backOffMs).toBe(0);
    expect(readSignals(200, refused)!.backOffMs).toBe(0);
  });

  it("names a time to back off that is none, and bounds a huge one", () => {
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
