import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { expect, it, onTestFinished } from "vitest";
import { HttpUpstreamTransport } from "../../src/connection/index.ts";
import { toId, type VmId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import { LOOPBACK, waitUntil } from "../support/loopback.ts";

/** More than the kernel's buffers of one connection hold. */
const BODY_BYTES = 32 * 1024 * 1024;
const TIMEOUT_MS = 5_000;

// Guards against a request that reaches a replica after it was abandoned: its bytes
// wait in the kernel's buffers behind a cut, and arrive when that heals, at a
// replica that has left meanwhile or beside the attempt that took its place.
it("the bytes of an abandoned call do not arrive later", async () => {
  let accepted: Socket | undefined;
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    socket.on("error", () => {});
    accepted = socket;
  });
  onTestFinished(() => void server.close());
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  const transport = HttpUpstreamTransport.create({
    clock: SystemClock.create(),
    log: SilentLog.create(),
    findAddress: () => ({ address: LOOPBACK, port }),
  });
  onTestFinished(() => transport.close());
  const caller = new AbortController();
  const call = transport.send({
    upstream: toId<VmId>("up-1"),
    method: "POST",
    path: "/",
    headers: {},
    body: new Uint8Array(BODY_BYTES),
    freshConnection: true,
    timeouts: {
      firstByteMs: TIMEOUT_MS,
      betweenBytesMs: TIMEOUT_MS,
      totalMs: TIMEOUT_MS,
    },
    signal: caller.signal,
  });
  await waitUntil(() => accepted !== undefined);
  caller.abort();
  await expect(call).rejects.toThrow("aborted");
  // A connection that was closed in order still delivers what was written.
  // One that was reset has no remote address at its end, even if the last bytes
  // came with the reset and no error is reported.
  let wasReset = false;
  accepted!.on("error", () => wasReset = true);
  accepted!.prependOnceListener("end", () => {
    wasReset ||= accepted!.remoteAddress === undefined;
  });
  const closed = new Promise((resolve) => accepted!.on("close", resolve));
  accepted!.resume();
  await closed;
  expect(wasReset).toBe(true);
});
