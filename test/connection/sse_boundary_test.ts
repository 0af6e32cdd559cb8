import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { SseBoundary } from "../../src/connection/sse_boundary.ts";

const MARK = "\ufeff";

/** What the boundary says after the whole text. */
function readAll(chunks: Iterable<Uint8Array>) {
  const boundary = SseBoundary.create();
  for (const chunk of chunks) boundary.push(chunk);
  const { events, isBetweenEvents } = boundary;
  return { events, isBetweenEvents };
}

function readText(text: string) {
  return readAll([Buffer.from(text)]);
}

describe("SseBoundary", () => {
  it.each([
    ["", 0],
    ["data: a\n\n", 1],
    ["data: a\r\n\r\n", 1],
    ["data: a\r\r", 1],
    ["data: a\n\r\n", 1],
    ["data: a\r\r\n", 1],
    ["data: a\n\rdata: b\n\n", 2],
    ["data: a\n\n: comment\n", 1],
    [": comment\ndata: a\n\n", 1],
    [": comment\n\n", 0],
    [`${MARK}data: a\n\n`, 1],
    [`${MARK}: comment\n`, 0],
  ])("takes %j for whole", (text, events) => {
    expect(readText(text)).toEqual({ events, isBetweenEvents: true });
  });

  // Guards against a stream that was cut and counts as whole: in the middle of a
  // line, of a line end, of a comment or of a byte-order mark.
  it.each([
    ["data: a", 0],
    ["data: a\n", 0],
    ["data: a\r\n\r", 0],
    ["data: a\n\r", 0],
    ["data: a\n\nd", 1],
    ["data: a\n\n: comment", 1],
    ["data: a\n\nid: 2\n", 1],
  ])("takes %j for broken off", (text, events) => {
    expect(readText(text)).toEqual({ events, isBetweenEvents: false });
    expect(readAll([Buffer.from(MARK).subarray(0, 2)]).isBetweenEvents)
      .toBe(false);
  });

  it("says the same however the stream is split into chunks", () => {
    const piece = fc.constantFrom("data: a", ": b", "\n", "\r", "\r\n", MARK);
    fc.assert(
      fc.property(
        fc.array(piece, { maxLength: 12 }),
        fc.array(fc.nat(3), { minLength: 1, maxLength: 5 }),
        (pieces, lengths) => {
          const bytes = Buffer.from(pieces.join(""));
          const chunks: Buffer[] = [];
          for (let at = 0, turn = 0; at < bytes.length; turn++) {
            const length = 1 + lengths[turn % lengths.length]!;
            chunks.push(bytes.subarray(at, at + length));
            at += length;
          }
          expect(readAll(chunks)).toEqual(readAll([bytes]));
        },
      ),
      { seed: 57, numRuns: 2_000 },
    );
  });

  it("returns the index after each event", () => {
    const bytes = Buffer.from("data: a\n\ndata: b\r\n\r\ndata: c");
    const boundary = SseBoundary.create();
    expect(boundary.findNext(bytes, 0)).toBe(9);
    expect(boundary.findNext(bytes, 9)).toBe(20);
    expect(boundary.findNext(bytes, 20)).toBeUndefined();
  });
});
