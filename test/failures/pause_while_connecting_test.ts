// Guards against a slot hold that is sent after its claim and its lease have
// expired. The task checks both and opens a connection, the process is paused
// for minutes, and on resuming it writes to the established connection. A check
// before the connect doesn't hold for the time of the write.
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, expect, it, onTestFinished } from "vitest";
import {
  HttpUpstreamTransport,
  type UpstreamCall,
  UpstreamError,
} from "../../src/connection/index.ts";
import { toId, type VmId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import { LOOPBACK } from "../support/loopback.ts";

const UPSTREAM = toId<VmId>("up-1");
const TIMEOUTS = { firstByteMs: 2_000, betweenBytesMs: 2_000, totalMs: 5_000 };

describe("a lease or claim that expires while a connection is opened", () => {
  it("prevents any write, and the work counts as not run", async () => {
    let bytes = 0;
    const closed: Promise<void>[] = [];
    const server = createServer((socket) => {
      socket.on("data", (chunk) => bytes += chunk.length);
      socket.on("error", () => {});
      closed.push(
        new Promise((resolve) => socket.on("close", () => resolve())),
      );
    });
    await new Promise<void>((resolve) =>
      server.listen(0, LOOPBACK, () => resolve())
    );
    onTestFinished(() => void server.close());
    const { port } = server.address() as AddressInfo;
    const transport = HttpUpstreamTransport.create({
      clock: SystemClock.create(),
      log: SilentLog.create(),
      findAddress: () => ({ address: LOOPBACK, port }),
    });
    onTestFinished(() => transport.close());
    const call: UpstreamCall = {
      upstream: UPSTREAM,
      method: "POST",
      path: "/holds",
      headers: {},
      body: Buffer.from("{}"),
      freshConnection: true,
      timeouts: TIMEOUTS,
      signal: new AbortController().signal,
      canSend: () => false,
    };
    const error = await transport.send(call).catch((thrown: unknown) => thrown);
    await Promise.all(closed);
    expect(error).toBeInstanceOf(UpstreamError);
    expect((error as UpstreamError).kind).toBe("not_sent");
    expect((error as UpstreamError).mayHaveRun).toBe(false);
    expect(bytes).toBe(0);
  });
});
