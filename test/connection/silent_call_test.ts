import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { HttpUpstreamTransport } from "../../src/connection/http_transport.ts";
import { toId, type VmId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import { LOOPBACK, startServer } from "../support/loopback.ts";

const UPSTREAM = toId<VmId>("i-1");
/** Longer than ten keep-alive probes, one a second, and the second before. */
const SILENT_MS = 12_500;
const TIMEOUT_MS = 20_000;

// Guards against a long silent call that ends by the keep-alive probes of its
// connection, which Node turns on for connections that were idle once.
it("a silent call on a reused connection is not ended by probes", async () => {
  const ports = new Set<number | undefined>();
  const { port } = await startServer((request, response) => {
    ports.add(request.socket.remotePort);
    void sleep(request.url === "/silent" ? SILENT_MS : 0)
      .then(() => response.end("whole"));
  });
  const transport = HttpUpstreamTransport.create({
    clock: SystemClock.create(),
    log: SilentLog.create(),
    findAddress: () => ({ address: LOOPBACK, port }),
  });
  const send = async (path: string) => {
    const answer = await transport.send({
      upstream: UPSTREAM,
      method: "GET",
      path,
      headers: {},
      body: new Uint8Array(),
      freshConnection: false,
      timeouts: {
        firstByteMs: TIMEOUT_MS,
        betweenBytesMs: TIMEOUT_MS,
        totalMs: TIMEOUT_MS,
      },
      signal: new AbortController().signal,
    });
    let body = "";
    for await (const bytes of answer.body) body += Buffer.from(bytes);
    return body;
  };
  await send("/");
  await sleep(10);
  expect(await send("/silent")).toBe("whole");
  expect(ports.size).toBe(1);
  transport.close();
}, 30_000);
