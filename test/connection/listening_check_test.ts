import { createServer } from "node:net";
import { describe, expect, it, onTestFinished } from "vitest";
import { isListening } from "../../src/connection/listening_check.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { findClosedPort, LOOPBACK } from "../support/loopback.ts";

const OPTIONS = { clock: SystemClock.create(), limitMs: 1_000 };

describe("a check whether something listens", () => {
  it("finds a process that takes connections, and leaves it alone", async () => {
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

  it("finds a port that refuses connections", async () => {
    const endpoint = { address: LOOPBACK, port: await findClosedPort() };
    expect(await isListening(endpoint, OPTIONS)).toBe(false);
  });
});
