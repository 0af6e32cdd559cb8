import { PassThrough } from "node:stream";
import type { IncomingMessage } from "node:http";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { describe, expect, it } from "vitest";
import { BodyBudget } from "../../src/connection/body_budget.ts";
import { ChunkBuffer } from "../../src/connection/chunk_buffer.ts";
import { readRequestBody } from "../../src/connection/request_body.ts";
import { SystemClock } from "../../src/process/clock.ts";

const BODY_BYTES = 512 * 1024;
/** A few times the body; chunks kept by themselves take some 90 times as much. */
const MAX_GROWTH_BYTES = 4 * BODY_BYTES;

const LIMITS = {
  clock: SystemClock.create(),
  maxBodyBytes: 1_000,
  bodyTimeoutMs: 5_000,
};

function countHeapBytes(): number {
  setFlagsFromString("--expose_gc");
  runInNewContext("gc")();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function createRequest(): PassThrough & IncomingMessage {
  return Object.assign(new PassThrough(), { headers: {} }) as
    & PassThrough
    & IncomingMessage;
}

describe("a body in chunks", () => {
  for (const size of [1, 32, 16_384]) {
    // Guards against a process that ends by its heap limit while callers send
    // documents in small chunks.
    it(`takes memory in proportion to its bytes: ${size}`, () => {
      const bytes = Buffer.alloc(BODY_BYTES, "0123456789");
      const buffer = ChunkBuffer.create();
      const before = countHeapBytes();
      for (let at = 0; at < BODY_BYTES; at += size) {
        buffer.add(bytes.subarray(at, at + size));
      }
      expect(countHeapBytes() - before).toBeLessThan(MAX_GROWTH_BYTES);
      expect(buffer.length).toBe(BODY_BYTES);
      expect(buffer.take().equals(bytes)).toBe(true);
    });
  }

  it("keeps its order where small and large chunks alternate", () => {
    const buffer = ChunkBuffer.create();
    const chunks = [3, 5_000, 1, 4_096, 4_097, 16_000, 2, 400].map(
      (size, index) => Buffer.alloc(size, index + 1),
    );
    chunks.forEach((chunk) => buffer.add(chunk));
    expect(buffer.take().equals(Buffer.concat(chunks))).toBe(true);
  });

  it("may be empty", () => {
    expect(ChunkBuffer.create().take()).toHaveLength(0);
  });
});

describe("bodies that are being read", () => {
  // Guards against a VM that runs out of memory by many bodies at once, each of
  // them within its limit.
  it("are refused beyond the bound of the VM", async () => {
    const budget = BodyBudget.create(1_500);
    const first = createRequest();
    const second = createRequest();
    const reading = readRequestBody(first, { ...LIMITS, budget });
    const refused = readRequestBody(second, { ...LIMITS, budget });
    first.write(Buffer.alloc(900));
    second.write(Buffer.alloc(700));
    await expect(refused).rejects.toMatchObject({
      refusal: { code: "queue_full", outcome: "not_run", retryAfterMs: 1_000 },
    });
    expect(budget.refused).toBe(1);
    first.end();
    expect(await reading).toHaveLength(900);
    expect(budget.bytes).toBe(0);
  });

  it("give their room back when they are too large", async () => {
    const budget = BodyBudget.create(1_500);
    const request = createRequest();
    const reading = readRequestBody(request, { ...LIMITS, budget });
    request.write(Buffer.alloc(1_001));
    await expect(reading).rejects.toMatchObject({
      refusal: { code: "payload_too_large" },
    });
    expect(budget.bytes).toBe(0);
  });
});
