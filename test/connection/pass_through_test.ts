import type { ServerResponse } from "node:http";
import { describe, expect, it, onTestFinished } from "vitest";
import type { CallerRequest } from "../../src/connection/index.ts";
import {
  CallerHandler,
  CallerListener,
  DEFAULT_CALLER_LIMITS,
  HttpUpstreamTransport,
  SseFramer,
} from "../../src/connection/index.ts";
import type { VmId } from "../../src/ids.ts";
import { toId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import type { CallerSink } from "../../src/request/caller_sink.ts";
import {
  LOOPBACK,
  RawClient,
  startServer,
  waitUntil,
} from "../support/loopback.ts";

const EVENT = "data: one\n\n";
const UPSTREAM = toId<VmId>("up-1");

/** Forwards requests to the upstream, and answers by complete events. */
class ForwardingHandler extends CallerHandler {
  readonly #transport: HttpUpstreamTransport;

  constructor(transport: HttpUpstreamTransport) {
    super();
    this.#transport = transport;
  }

  override async handle(
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void> {
    const answer = await this.#transport.send({
      upstream: UPSTREAM,
      method: request.method,
      path: request.path,
      headers: {},
      body: request.body,
      freshConnection: false,
      timeouts: { firstByteMs: 5_000, betweenBytesMs: 5_000, totalMs: 20_000 },
      signal: sink.signal,
    });
    sink.writeHead(answer.status, answer.headers);
    const framer = SseFramer.create();
    for await (const chunk of answer.body) {
      await sink.write(framer.push(chunk).bytes);
    }
    await sink.end();
  }
}

/** Starts an upstream and a listener in front; returns the listener's port. */
async function startRouter(
  answer: (response: ServerResponse) => void,
): Promise<number> {
  const { port } = await startServer((_, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    answer(response);
  });
  const clock = SystemClock.create();
  const log = SilentLog.create();
  const transport = HttpUpstreamTransport.create({
    clock,
    log,
    findAddress: () => ({ address: LOOPBACK, port }),
  });
  const listener = CallerListener.create({
    clock,
    log,
    limits: DEFAULT_CALLER_LIMITS,
    handler: new ForwardingHandler(transport),
  });
  await listener.start(LOOPBACK, 0);
  onTestFinished(async () => {
    const stopped = listener.stop();
    listener.closeAll();
    await stopped;
    transport.close();
  });
  return listener.port;
}

describe("forwarding between caller and upstream", () => {
  it("cancels the upstream's work when the caller disconnects", async () => {
    // Guards against engines that generate answers nobody reads: the caller
    // disconnects during a stream, but the upstream's connection stays open.
    let isCancelled = false;
    const port = await startRouter((response) => {
      response.write(EVENT);
      response.on("close", () => isCancelled = true);
    });
    const client = RawClient.create(port);
    client.socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    await client.waitFor(EVENT.trim());
    client.socket.destroy();
    await waitUntil(() => isCancelled);
  });

  it("cancels the upstream's work before the first byte as well", async () => {
    let isCancelled = false;
    let isReceived = false;
    const port = await startRouter((response) => {
      isReceived = true;
      response.on("close", () => isCancelled = true);
    });
    const client = RawClient.create(port);
    client.socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    await waitUntil(() => isReceived);
    client.socket.destroy();
    await waitUntil(() => isCancelled);
  });

  it("aborts the answer if the upstream's answer is broken", async () => {
    // Guards against a caller that takes a truncated answer for a complete one:
    // the upstream crashes during its stream, which an orderly end would hide.
    let fail = () => {};
    const port = await startRouter((response) => {
      response.write(EVENT);
      fail = () => response.destroy();
    });
    const answer = await fetch(`http://${LOOPBACK}:${port}/`);
    const reader = answer.body!.getReader();
    expect(Buffer.from((await reader.read()).value!).toString()).toBe(EVENT);
    fail();
    await expect(reader.read()).rejects.toThrow();
  });

  it("forwards complete streams byte for byte", async () => {
    const text = Array.from({ length: 500 }, (_, index) => {
      return `data: {"token":"á${index}"}\n\n`;
    }).join("");
    const port = await startRouter((response) => {
      const bytes = Buffer.from(text);
      for (let at = 0; at < bytes.length; at += 7) {
        response.write(bytes.subarray(at, at + 7));
      }
      response.end();
    });
    const answer = await fetch(`http://${LOOPBACK}:${port}/`);
    expect(await answer.text()).toBe(text);
  });
});
