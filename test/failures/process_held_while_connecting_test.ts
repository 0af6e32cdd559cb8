import { connect } from "node:net";
import process from "node:process";
import { describe, expect, it, onTestFinished } from "vitest";
import { HttpUpstreamTransport } from "../../src/connection/index.ts";
import type { OpenConnection } from "../../src/connection/upstream_agent.ts";
import { toId, type VmId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import { LOOPBACK, startServer } from "../support/loopback.ts";

const UPSTREAM = toId<VmId>("up-1");
const CONNECT_TIMEOUT_MS = 250;
const HELD_MS = 400;
const TIMEOUTS = { firstByteMs: 2_000, betweenBytesMs: 2_000, totalMs: 5_000 };

function holdProcess(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** Holds the process after a connection was begun and its timer started. */
const openAndHold: OpenConnection = (options) => {
  process.nextTick(() => holdProcess(HELD_MS));
  return connect(options);
};

async function createTransport(): Promise<HttpUpstreamTransport> {
  const { port } = await startServer((_request, response) => response.end());
  const transport = HttpUpstreamTransport.create({
    clock: SystemClock.create(),
    log: SilentLog.create(),
    findAddress: () => ({ address: LOOPBACK, port }),
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    openConnection: openAndHold,
  });
  onTestFinished(() => transport.close());
  // Timers are the next phase of the event loop after this one.
  await new Promise((resolve) => setImmediate(resolve));
  return transport;
}

// Guards against a VM that takes its own lack of processor time for silence of
// the other side: the connection is there, but after a stall timers run before
// sockets are read. Two such calls to the store count as an outage, in which
// requests go on by the old list.
describe("a connection that was made while the process was held", () => {
  it("is used for the call", async () => {
    const transport = await createTransport();
    const answer = await transport.send({
      upstream: UPSTREAM,
      method: "GET",
      path: "/",
      headers: {},
      body: Buffer.alloc(0),
      freshConnection: true,
      timeouts: TIMEOUTS,
      signal: new AbortController().signal,
    });
    expect(answer.status).toBe(200);
  });

  it("shows that the other side listens", async () => {
    const transport = await createTransport();
    expect(await transport.isListening(UPSTREAM)).toBe(true);
  });
});
