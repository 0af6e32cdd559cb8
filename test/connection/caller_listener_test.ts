import { setTimeout as sleep } from "node:timers/promises";
import https from "node:https";
import type { TLSSocket } from "node:tls";
import { describe, expect, it, onTestFinished } from "vitest";
import type {
  CallerLimits,
  CallerRequest,
  HttpSink,
  ServerTls,
} from "../../src/connection/index.ts";
import {
  CallerHandler,
  CallerListener,
  DEFAULT_CALLER_LIMITS,
} from "../../src/connection/index.ts";
import type { Incarnation, RequestId, VmId } from "../../src/ids.ts";
import { toId } from "../../src/ids.ts";
import { RefusalError } from "../../src/outcome.ts";
import type { Clock } from "../../src/process/clock.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { formatRequestId } from "../../src/process/request_ids.ts";
import { type Log, SilentLog } from "../../src/process/log.ts";
import type { CallerSink } from "../../src/request/caller_sink.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { CountingClock } from "../support/counting_clock.ts";
import { LOOPBACK, RawClient, waitUntil } from "../support/loopback.ts";
import { FakeLog } from "../support/request_fakes.ts";
import { readTls } from "../support/tls_pairs.ts";

const GET = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
/** Time in which a listener reads what was sent. */
const GARBAGE_READ_MS = 100;
const CHUNK = Buffer.alloc(65_536, "a");

type Handle = (request: CallerRequest, sink: CallerSink) => Promise<void>;

class FakeHandler extends CallerHandler {
  readonly #handle: Handle;

  constructor(handle: Handle) {
    super();
    this.#handle = handle;
  }

  override handle(request: CallerRequest, sink: CallerSink): Promise<void> {
    return this.#handle(request, sink);
  }
}

async function answerEcho(
  request: CallerRequest,
  sink: CallerSink,
): Promise<void> {
  sink.writeHead(200, { "content-type": "application/json" });
  await sink.write(Buffer.from(JSON.stringify({
    ...request,
    body: Buffer.from(request.body).toString(),
    arrivedAt: undefined,
  })));
  await sink.end();
}

async function startListener(
  handle: Handle,
  options: {
    limits?: Partial<CallerLimits>;
    clock?: Clock;
    tls?: ServerTls;
    log?: Log;
  } = {},
): Promise<CallerListener> {
  const listener = CallerListener.create({
    clock: options.clock ?? SystemClock.create(),
    log: options.log ?? SilentLog.create(),
    limits: { ...DEFAULT_CALLER_LIMITS, ...options.limits },
    tls: options.tls,
    handler: new FakeHandler(handle),
    issueId: () => toId<RequestId>("id-1"),
  });
  await listener.start(LOOPBACK, 0);
  onTestFinished(async () => {
    const stopped = listener.stop();
    listener.closeAll();
    await stopped;
  });
  return listener;
}

/** Fetches the name on the certificate of a new connection. */
function fetchCertificateName(port: number, ca: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const options = { host: LOOPBACK, port, ca, agent: false as const };
    https.get(options, (message) => {
      const socket = message.socket as TLSSocket;
      resolve(String(socket.getPeerCertificate().subject.CN));
      message.resume();
    }).on("error", reject);
  });
}

describe("CallerListener", () => {
  it("passes the complete request to its handler", async () => {
    const listener = await startListener(answerEcho);
    const url = `http://${LOOPBACK}:${listener.port}/v1/x%20y?a=1&b=?`;
    const answer = await fetch(url, {
      method: "PUT",
      headers: { "X-Thing": "one" },
      body: "text",
    });
    expect(await answer.json()).toMatchObject({
      method: "PUT",
      path: "/v1/x%20y",
      query: "a=1&b=?",
      headers: { "x-thing": "one" },
      body: "text",
      remoteAddress: LOOPBACK,
    });
  });

  it("answers with the refusal that its handler throws", async () => {
    const listener = await startListener(() => {
      throw new RefusalError({
        code: "rate_limited",
        message: "Too many requests",
        outcome: "not_run",
        retryAfterMs: 1_001,
      });
    });
    const answer = await fetch(`http://${LOOPBACK}:${listener.port}/`);
    expect(answer.status).toBe(429);
    expect(answer.headers.get("retry-after")).toBe("2");
    expect(answer.headers.get("x-request-id")).toBe("id-1");
    expect(await answer.json()).toEqual({
      error: {
        type: "rate_limit_error",
        code: "rate_limited",
        message: "Too many requests",
        outcome: "not_run",
        retry_after: 1.001,
      },
    });
  });

  it("hides the cause of an internal error and reports outcome unknown", async () => {
    const listener = await startListener(() => {
      throw new Error("Secret detail");
    });
    const answer = await fetch(`http://${LOOPBACK}:${listener.port}/`);
    expect(answer.status).toBe(500);
    expect(answer.headers.get("x-should-retry")).toBe("false");
    const text = await answer.text();
    expect(JSON.parse(text)).toMatchObject({ error: { outcome: "unknown" } });
    expect(text).not.toContain("Secret");
  });

  // Guards against reporting not_run for work that ran. A caller submits a
  // request id and the work runs; then it submits the id again with a body over
  // the limit, which the listener refuses before the id is looked up.
  it("does not report not_run if it refuses a known request id", async () => {
    const listener = await startListener(answerEcho, {
      limits: { maxBodyBytes: 1_000 },
    });
    const url = `http://${LOOPBACK}:${listener.port}/`;
    const parts = {
      vm: toId<VmId>("vm-a"),
      incarnation: toId<Incarnation>("1"),
      sequence: 1,
      issuedAt: 1,
      isSingle: false,
    };
    const id = formatRequestId(parts, "secret");
    const send = async (headers: Record<string, string>) => {
      const init = { method: "POST", body: CHUNK, headers };
      const answer = await fetch(url, init);
      const { error } = await answer.json() as {
        error: { outcome: string };
      };
      return { answer, error };
    };
    const taken = await send({ "x-request-id": id });
    expect(taken.error.outcome).toBe("unknown");
    expect(taken.answer.headers.get("x-request-id")).toBe(id);
    expect((await send({})).error.outcome).toBe("not_run");
  });

  it("refuses a body over the limit, with or without content-length", async () => {
    const listener = await startListener(answerEcho, {
      limits: { maxBodyBytes: 1_000 },
    });
    const url = `http://${LOOPBACK}:${listener.port}/`;
    const announced = await fetch(url, { method: "POST", body: CHUNK });
    expect(announced.status).toBe(413);
    const stream = new ReadableStream({
      start(controller) {
        controller.enqueue(CHUNK);
        controller.close();
      },
    });
    const init = { method: "POST", body: stream, duplex: "half" } as const;
    expect((await fetch(url, init)).status).toBe(413);
  });

  it("refuses HTTP/1.0, which cannot mark truncated answers", async () => {
    const listener = await startListener(answerEcho);
    const client = RawClient.create(listener.port);
    client.socket.write("GET / HTTP/1.0\r\n\r\n");
    await client.waitClosed();
    expect(client.received).toContain("400 Bad Request");
  });

  it("answers headers over the limit with 431", async () => {
    const listener = await startListener(answerEcho, {
      limits: { maxHeaderBytes: 1_000 },
    });
    const client = RawClient.create(listener.port);
    client.socket.write(`GET / HTTP/1.1\r\nx: ${"a".repeat(2_000)}\r\n\r\n`);
    await client.waitClosed();
    expect(client.received).toContain("431 ");
    expect(client.received).toContain('"outcome":"not_run"');
    expect(client.received).toContain("x-request-id: id-1");
  });

  it("refuses connections over the limit", async () => {
    let goOn = () => {};
    const isOver = new Promise<void>((resolve) => goOn = resolve);
    let handled = 0;
    const listener = await startListener(async (request, sink) => {
      handled += 1;
      await isOver;
      await answerEcho(request, sink);
    }, { limits: { maxConnections: 2 } });
    const first = RawClient.create(listener.port);
    const second = RawClient.create(listener.port);
    first.socket.write(GET);
    second.socket.write(GET);
    await waitUntil(() => handled === 2);
    await RawClient.create(listener.port).waitClosed();
    expect(listener.connections).toBe(2);
    goOn();
    await first.waitFor("200 OK");
    await second.waitFor("200 OK");
  });

  // Guards against callers that are kept out by connections that stand idle.
  it("closes the connection that is idle for longest at the limit", async () => {
    const listener = await startListener(answerEcho, {
      limits: { maxConnections: 2 },
    });
    const first = RawClient.create(listener.port);
    await waitUntil(() => listener.connections === 1);
    const second = RawClient.create(listener.port);
    await waitUntil(() => listener.connections === 2);
    first.socket.write(GET);
    await first.waitFor("200 OK");
    const third = RawClient.create(listener.port);
    await second.waitClosed();
    third.socket.write(GET);
    await third.waitFor("200 OK");
    first.socket.write(GET.replace("/", "/again"));
    await first.waitFor("/again");
    expect(listener.connections).toBe(2);
  });

  it("disconnects a caller that sends its head too slowly", async () => {
    // Guards against running out of connections: without a timeout, a caller
    // that sends a head byte by byte and never ends it holds its connection for
    // ever.
    let handled = 0;
    const listener = await startListener(() => {
      handled += 1;
      return Promise.resolve();
    }, { limits: { headersTimeoutMs: 50 } });
    const client = RawClient.create(listener.port);
    client.socket.write("GET / HTTP/1.1\r\nhost:");
    await client.waitClosed();
    expect(client.received).toContain("408 Request Timeout");
    expect(client.received).toContain('"code":"bad_request"');
    expect(handled).toBe(0);
  });

  it("disconnects a caller that sends its body too slowly", async () => {
    // Guards against memory filled by partial bodies: a caller announces a body
    // and sends single bytes, so that an idle timeout never fires.
    const clock = CountingClock.create();
    let handled = 0;
    const listener = await startListener(() => {
      handled += 1;
      return Promise.resolve();
    }, { clock, limits: { bodyTimeoutMs: 1_000 } });
    const client = RawClient.create(listener.port);
    client.socket.write(
      "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n",
    );
    await waitUntil(() => clock.pending > 0);
    client.socket.write("a");
    await clock.run(999);
    client.socket.write("a");
    await clock.run(1);
    await client.waitClosed();
    expect(client.received).toContain("408 Request Timeout");
    expect(client.received).toContain('"outcome":"not_run"');
    expect(handled).toBe(0);
  });

  it("aborts a failed answer so that it does not look complete", async () => {
    // Guards against a caller that takes a truncated answer for a complete one:
    // the handler fails after part of the body, and an orderly end would look
    // like the end of the answer.
    let fail = () => {};
    const listener = await startListener(async (_, sink) => {
      sink.writeHead(200, {});
      await sink.write(Buffer.from("half"));
      await new Promise<void>((resolve) => fail = resolve);
      throw new RefusalError({
        code: "upstream_failed",
        message: "Upstream failed",
        outcome: "ran",
      });
    });
    const answer = await fetch(`http://${LOOPBACK}:${listener.port}/`);
    expect(answer.status).toBe(200);
    fail();
    await expect(answer.text()).rejects.toThrow();
  });

  it("aborts an answer that its handler left open", async () => {
    let leave = () => {};
    const listener = await startListener(async (_, sink) => {
      sink.writeHead(200, {});
      await sink.write(Buffer.from("half"));
      await new Promise<void>((resolve) => leave = resolve);
    });
    const answer = await fetch(`http://${LOOPBACK}:${listener.port}/`);
    leave();
    await expect(answer.text()).rejects.toThrow();
  });

  it("delivers the last chunk before it aborts the answer", async () => {
    // Guards against a broken stream that looks complete or lacks its error
    // event: `end` would write the terminating chunk, and an immediate `destroy`
    // would discard buffered bytes.
    const listener = await startListener(async (_request, sink) => {
      sink.writeHead(200, { "content-type": "text/event-stream" });
      for (let part = 0; part < 8; part++) await sink.write(CHUNK);
      await sink.destroyAfter(Buffer.from("event: error\n\n"));
    });
    const client = RawClient.create(listener.port);
    client.socket.write(GET);
    await client.waitClosed();
    expect(client.received).toContain("event: error\n\n");
    expect(client.received).not.toMatch(/\r\n0\r\n\r\n$/);
  });

  // Guards against a caller who gets nothing, not even a status, of an answer that
  // broke in the same turn as its first bytes came.
  it("delivers what was written before it aborts the answer", async () => {
    const listener = await startListener(async (_request, sink) => {
      sink.writeHead(200, { "content-type": "text/event-stream" });
      void sink.write(Buffer.from("data: x"));
      await sink.destroyWritten();
    });
    const client = RawClient.create(listener.port);
    client.socket.write(GET);
    await client.waitClosed();
    expect(client.received).toContain("HTTP/1.1 200");
    expect(client.received).toContain("data: x");
    expect(client.received).not.toMatch(/\r\n0\r\n\r\n$/);
  });

  it("buffers little for a slow reader and disconnects it in the end", async () => {
    // Guards against unbounded memory: a caller requests a long answer, stops
    // reading and stays connected, while the upstream keeps writing.
    const clock = VirtualClock.create();
    let written = 0;
    let held: CallerSink | undefined;
    let isOver = false;
    const listener = await startListener(async (_, sink) => {
      held = sink;
      sink.writeHead(200, {});
      while (!sink.signal.aborted) {
        await sink.write(CHUNK);
        written += CHUNK.length;
      }
      isOver = true;
    }, { clock, limits: { writeTimeoutMs: 1_000 } });
    const client = RawClient.create(listener.port, { isReading: false });
    client.socket.pause();
    client.socket.write(GET);
    // The kernel buffers some; then the handler waits for the caller.
    let before = -1;
    while (before !== written) {
      before = written;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    const { bufferedBytes } = held as HttpSink;
    expect(bufferedBytes).toBeGreaterThan(0);
    expect(bufferedBytes).toBeLessThan(2 * CHUNK.length);
    expect(isOver).toBe(false);
    await clock.run(1_000);
    await waitUntil(() => isOver);
    await waitUntil(() => listener.connections === 0);
  });

  it("aborts the signal if the caller disconnects", async () => {
    let isAborted = false;
    const listener = await startListener(async (_, sink) => {
      sink.writeHead(200, {});
      await sink.write(Buffer.from("first"));
      await new Promise<void>((resolve) => {
        sink.signal.addEventListener("abort", () => resolve());
      });
      isAborted = true;
    });
    const client = RawClient.create(listener.port);
    client.socket.write(GET);
    await client.waitFor("first");
    client.socket.destroy();
    await waitUntil(() => isAborted);
  });

  // Guards against lines that report a defect for each caller that disconnects.
  it("logs no error for a caller that has disconnected", async () => {
    const log = new FakeLog();
    let isHandled = false;
    let isOver = false;
    const listener = await startListener(async (_request, sink) => {
      isHandled = true;
      await new Promise((resolve) =>
        sink.signal.addEventListener("abort", resolve)
      );
      isOver = true;
    }, { log });
    const client = RawClient.create(listener.port);
    client.socket.write(GET);
    await waitUntil(() => isHandled);
    client.socket.end();
    await waitUntil(() => isOver);
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(log.lines.map(({ event }) => event)).not.toContain("handler_failed");
  });

  it("stops without aborting requests in flight or waiting for idle callers", async () => {
    // Guards against a draining process that never exits or aborts an answer.
    // At the stop, one caller waits for its answer, one is idle, and one has sent
    // a partial head; Node stops checking head timeouts once it closes.
    let release = () => {};
    const listener = await startListener(async (_, sink) => {
      sink.writeHead(200, {});
      await sink.write(Buffer.from("first"));
      await new Promise<void>((resolve) => release = resolve);
      await sink.write(Buffer.from("last"));
      await sink.end();
    });
    const busy = RawClient.create(listener.port);
    const idle = RawClient.create(listener.port);
    const half = RawClient.create(listener.port);
    busy.socket.write(GET);
    half.socket.write("GET / HTTP/1.1\r\n");
    await busy.waitFor("first");
    await waitUntil(() => listener.connections === 3);
    const stopped = listener.stop();
    await idle.waitClosed();
    await half.waitClosed();
    await RawClient.create(listener.port).waitClosed();
    release();
    await stopped;
    await busy.waitClosed();
    expect(busy.received).toMatch(/last\r\n0\r\n\r\n$/);
  });

  it("never writes an error into an answer in flight", async () => {
    // Guards against an error that becomes part of an answer: during its stream
    // the caller sends bytes that are not valid HTTP, and errors of the parser
    // are written directly to the socket.
    let goOn = () => {};
    const garbageSent = new Promise<void>((resolve) => goOn = resolve);
    const listener = await startListener(async (_, sink) => {
      sink.writeHead(200, {});
      await sink.write(Buffer.from("first"));
      await garbageSent;
      await sink.write(Buffer.from("last"));
      await sink.end();
    });
    const client = RawClient.create(listener.port);
    client.socket.write(GET);
    await client.waitFor("first");
    client.socket.write("\0\0 no request\r\n\r\n");
    await sleep(GARBAGE_READ_MS);
    expect(client.received).not.toContain("bad_request");
    goOn();
    await client.waitClosed();
    const [answer, ...rest] = client.received.split("last\r\n0\r\n\r\n");
    expect(answer).toMatch(/first\r\n4\r\n$/);
    expect(answer).not.toContain("bad_request");
    expect(rest).toHaveLength(1);
    expect(rest[0]).toContain("bad_request");
  });

  it("uses a new certificate after an update", async () => {
    const first = readTls("a");
    const second = readTls("b");
    const listener = await startListener(answerEcho, { tls: first });
    const ca = first.cert + second.cert;
    expect(await fetchCertificateName(listener.port, ca)).toBe(
      "persimmonslip-test-a",
    );
    listener.updateTls(second);
    expect(await fetchCertificateName(listener.port, ca)).toBe(
      "persimmonslip-test-b",
    );
    await expect(fetchCertificateName(listener.port, first.cert)).rejects
      .toThrow();
  });
});
