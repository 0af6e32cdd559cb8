import { createServer } from "node:net";
import { describe, expect, it, onTestFinished } from "vitest";
import { isListening } from "../../src/connection/listening_check.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { findClosedPort, LOOPBACK } from "../support/loopback.ts";

const OPTIONS = { clock: SystemClock.create(), timeoutMs: 1_000 };

describe("isListening", () => {
  it("returns true for an accepting process and sends it nothing", async () => {
    const received: Buffer[] = [];
    const server = createServer((socket) => {
      socket.on("data", (bytes) => received.push(bytes));
      socket.on("error", () => {});
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    onTestFinished(() => void server.close());
    const { port } = server.address() as { port: number };
    const endpoint = { address: LOOPBACK, port };
    expect(await isListening(endpoint, OPTIONS)).toBe(true);
    expect(received).toEqual([]);
  });

  it("returns false for a port that refuses connections", async () => {
    const endpoint = { address: LOOPBACK, port: await findClosedPort() };
    expect(await isListening(endpoint, OPTIONS)).toBe(false);
  });
});
