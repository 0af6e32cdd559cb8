import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseEvents, SseFramer } from "../../src/connection/index.ts";
import { StepError } from "../../src/errors.ts";

function pushAll(framer: SseFramer, chunks: Uint8Array[]) {
  const frames = chunks.map((chunk) => framer.push(chunk));
  return {
    text: Buffer.concat(frames.map((frame) => frame.bytes)).toString(),
    events: frames.reduce((sum, frame) => sum + frame.events, 0),
  };
}

/** Splits `bytes` at every index for which `isCut` is true. */
function buildChunks(bytes: Buffer, isCut: boolean[]): Buffer[] {
  const chunks: Buffer[] = [];
  let start = 0;
  for (let at = 1; at < bytes.length; at += 1) {
    if (!isCut[at % isCut.length]) continue;
    chunks.push(bytes.subarray(start, at));
    start = at;
  }
  chunks.push(bytes.subarray(start));
  return chunks;
}

describe("SseFramer", () => {
  it("returns a chunk of complete events without a copy", () => {
    const chunk = Buffer.from("data: a\n\ndata: b\n\n");
    const frame = SseFramer.create().push(chunk);
    expect(frame.events).toBe(2);
    expect(frame.bytes.buffer).toBe(chunk.buffer);
    expect(frame.bytes.byteOffset).toBe(chunk.byteOffset);
  });

  it("returns the same bytes and counts however the stream is chunked", () => {
    const event = fc.tuple(
      fc.constantFrom("\n", "\r\n"),
      fc.constantFrom("data: ", "event: x\ndata: "),
      fc.string({ unit: "grapheme-ascii" }),
    ).map(([end, head, text]) => {
      return `${head.replace("\n", end)}${text}${end}${end}`;
    });
    fc.assert(
      fc.property(
        fc.array(event, { minLength: 1, maxLength: 6 }),
        fc.array(fc.boolean(), { minLength: 1, maxLength: 20 }),
        (events, isCut) => {
          const text = events.join("");
          const framer = SseFramer.create();
          const got = pushAll(framer, buildChunks(Buffer.from(text), isCut));
          expect(got).toEqual({ text, events: events.length });
          expect(framer.pendingBytes).toBe(0);
          expect(parseEvents(Buffer.from(got.text))).toHaveLength(
            events.length,
          );
        },
      ),
      { seed: 3, numRuns: 1_000 },
    );
  });

  it("buffers an incomplete event", () => {
    const framer = SseFramer.create();
    const frame = framer.push(Buffer.from("data: a\n\ndata: b"));
    expect(Buffer.from(frame.bytes).toString()).toBe("data: a\n\n");
    expect(framer.pendingBytes).toBe(7);
    expect(pushAll(framer, [Buffer.from("c\n"), Buffer.from("\n")])).toEqual({
      text: "data: bc\n\n",
      events: 1,
    });
  });

  it("does not count comments", () => {
    const frame = SseFramer.create().push(
      Buffer.from(": alive\n\ndata: a\n\n"),
    );
    expect(frame.events).toBe(1);
  });

  it.each(["data: [DONE]\n\n", "data:[DONE]\r\n\r\n"])(
    "detects the end %j, also byte by byte",
    (text) => {
      const framer = SseFramer.create();
      pushAll(framer, [Buffer.from("data: [DONE] not\n\n")]);
      expect(framer.hasDoneMarker).toBe(false);
      for (const byte of Buffer.from(text)) framer.push(Uint8Array.of(byte));
      expect(framer.hasDoneMarker).toBe(true);
    },
  );

  it("throws for an event over the limit, in one or many chunks", () => {
    const single = SseFramer.create({ maxEventBytes: 100 });
    expect(() => single.push(Buffer.alloc(101, "a"))).toThrow(StepError);
    const pieces = SseFramer.create({ maxEventBytes: 100 });
    for (let count = 0; count < 100; count += 1) pieces.push(Buffer.from("a"));
    expect(() => pieces.push(Buffer.from("a"))).toThrow(StepError);
  });

  it("does not change a returned frame on later pushes", () => {
    const framer = SseFramer.create();
    framer.push(Buffer.from("data: a"));
    const frame = framer.push(Buffer.from("b\n\ndata: c"));
    const before = Buffer.from(frame.bytes).toString();
    framer.push(Buffer.from("dddddddddddddddddddddd"));
    expect(Buffer.from(frame.bytes).toString()).toBe(before);
  });
});

describe("SseFramer with other line ends", () => {
  // Guards against a stream with lines that end in CR alone, of which nothing is
  // forwarded until it exceeds the limit on an event's size.
  it("finds events whose lines end in CR", () => {
    const framer = SseFramer.create();
    const frame = framer.push(Buffer.from("data: a\r\rdata: b\r\rdata: c"));
    expect(Buffer.from(frame.bytes).toString()).toBe("data: a\r\rdata: b\r\r");
    expect(frame.events).toBe(2);
    expect(Buffer.from(framer.getPending()).toString()).toBe("data: c");
  });
});
