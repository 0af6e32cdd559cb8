import type http from "node:http";
import https from "node:https";
import type { Socket } from "node:net";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, expect, it, onTestFinished } from "vitest";
import type {
  UpstreamAnswer,
  UpstreamCall,
} from "../../src/connection/index.ts";
import {
  HttpUpstreamTransport,
  UpstreamError,
} from "../../src/connection/index.ts";
import { StepError } from "../../src/errors.ts";
import type { VmId } from "../../src/ids.ts";
import { toId } from "../../src/ids.ts";
import type { Clock } from "../../src/process/clock.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import { CountingClock } from "../support/counting_clock.ts";
import {
  findClosedPort,
  LOOPBACK,
  startServer,
  waitUntil,
} from "../support/loopback.ts";
import { readTls } from "../support/tls_pairs.ts";
import { Relay } from "../support/relay.ts";

const UPSTREAM = toId<VmId>("up-1");
const TIMEOUTS = { firstByteMs: 500, betweenBytesMs: 100, totalMs: 5_000 };

function createTransport(
  port: number,
  clock: Clock = SystemClock.create(),
): HttpUpstreamTransport {
  const transport = HttpUpstreamTransport.create({
    clock,
    log: SilentLog.create(),
    findAddress: (vm) => {
      return vm === UPSTREAM ? { address: LOOPBACK, port } : undefined;
    },
  });
  onTestFinished(() => transport.close());
  return transport;
}

function buildCall(changes: Partial<UpstreamCall> = {}): UpstreamCall {
  return {
    upstream: UPSTREAM,
    method: "POST",
    path: "/v1/completions?x=1",
    headers: { "x-priority": "3" },
    body: Buffer.from("{}"),
    freshConnection: false,
    timeouts: TIMEOUTS,
    signal: new AbortController().signal,
    ...changes,
  };
}

async function readText(answer: UpstreamAnswer): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of answer.body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/** Returns the error of a call that must fail. */
async function findError(work: Promise<unknown>): Promise<UpstreamError> {
  const error = await work.then(() => undefined, (thrown) => thrown);
  expect(error).toBeInstanceOf(UpstreamError);
  return error as UpstreamError;
}

/** Starts a plain TCP server, for answers that are not valid HTTP. */
async function startRawServer(
  onSocket: (socket: Socket) => void,
): Promise<number> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    onTestFinished(() => void socket.destroy());
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  onTestFinished(() => void server.close());
  return (server.address() as AddressInfo).port;
}

describe("HttpUpstreamTransport", () => {
  it("forwards request and answer without hop-by-hop headers", async () => {
    let seen: http.IncomingMessage | undefined;
    const { port } = await startServer((request, response) => {
      seen = request;
      response.writeHead(201, { "x-thing": "one", connection: "x-hop" });
      request.pipe(response);
    });
    const answer = await createTransport(port).send(buildCall({
      headers: {
        "x-priority": "3",
        host: "callers.example",
        "transfer-encoding": "chunked",
        connection: "x-private",
        "x-private": "1",
      },
      body: Buffer.from("text"),
    }));
    expect(await readText(answer)).toBe("text");
    expect(answer.status).toBe(201);
    expect(answer.headers).toMatchObject({ "x-thing": "one" });
    expect(Object.keys(answer.headers)).not.toContain("connection");
    expect(seen?.url).toBe("/v1/completions?x=1");
    expect(seen?.headers).toMatchObject({
      host: `${LOOPBACK}:${port}`,
      "content-length": "4",
      "x-priority": "3",
    });
    expect(seen?.headers).not.toHaveProperty("x-private");
    expect(seen?.headers).not.toHaveProperty("transfer-encoding");
  });

  it("reuses connections unless a new one is requested", async () => {
    const ports: (number | undefined)[] = [];
    const { port } = await startServer((request, response) => {
      ports.push(request.socket.remotePort);
      response.end("ok");
    });
    const transport = createTransport(port);
    for (const freshConnection of [false, false, true]) {
      await readText(await transport.send(buildCall({ freshConnection })));
    }
    expect(ports[1]).toBe(ports[0]);
    expect(ports[2]).not.toBe(ports[0]);
  });

  it.each([false, true])(
    "reports that nothing ran if the connection is refused (fresh: %s)",
    async (freshConnection) => {
      const transport = createTransport(await findClosedPort());
      const error = await findError(
        transport.send(buildCall({ freshConnection })),
      );
      expect(error).toMatchObject({
        kind: "connect",
        mayHaveRun: false,
        peer: UPSTREAM,
      });
    },
  );

  it("reports that nothing ran at an unlisted upstream", async () => {
    const error = await findError(
      createTransport(1).send(buildCall({ upstream: toId<VmId>("up-2") })),
    );
    expect(error).toMatchObject({ kind: "connect", mayHaveRun: false });
  });

  it("reports that nothing ran if the call is already aborted", async () => {
    let connections = 0;
    const port = await startRawServer(() => connections += 1);
    const error = await findError(
      createTransport(port).send(buildCall({ signal: AbortSignal.abort() })),
    );
    expect(error).toMatchObject({ kind: "aborted", mayHaveRun: false });
    expect(connections).toBe(0);
  });

  it("times out a connection that is not established", async () => {
    // Guards against work that waits for its whole first-byte timeout and may
    // then not be retried. The upstream's VM accepts the TCP connection, but
    // the TLS handshake never completes; no byte of the request is sent, and
    // only a connect timeout detects it.
    const port = await startRawServer((socket) => socket.on("data", () => {}));
    const clock = CountingClock.create();
    const transport = HttpUpstreamTransport.create({
      clock,
      log: SilentLog.create(),
      findAddress: () => ({ address: LOOPBACK, port }),
      tls: { ca: readTls("a").cert },
    });
    const failed = findError(
      transport.send(
        buildCall({ timeouts: { ...TIMEOUTS, firstByteMs: 60_000 } }),
      ),
    );
    await waitUntil(() => clock.pending === 2);
    await clock.run(1_000);
    expect(await failed).toMatchObject({ kind: "connect", mayHaveRun: false });
  });

  it("reports that nothing ran if the call is aborted while connecting", async () => {
    let sockets = 0;
    const port = await startRawServer((socket) => {
      sockets += 1;
      socket.on("data", () => {});
    });
    const transport = HttpUpstreamTransport.create({
      clock: CountingClock.create(),
      log: SilentLog.create(),
      findAddress: () => ({ address: LOOPBACK, port }),
      tls: { ca: readTls("a").cert },
    });
    const controller = new AbortController();
    const failed = findError(
      transport.send(buildCall({ signal: controller.signal })),
    );
    await waitUntil(() => sockets === 1);
    controller.abort();
    expect(await failed).toMatchObject({ kind: "aborted", mayHaveRun: false });
  });

  it("connects over TLS only to upstreams of a trusted authority", async () => {
    let requests = 0;
    const server = https.createServer(readTls("a"), (_, response) => {
      requests += 1;
      response.end("ok");
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    onTestFinished(() => {
      server.closeAllConnections();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const [trusting, other] = (["a", "b"] as const).map((name) => {
      return HttpUpstreamTransport.create({
        clock: SystemClock.create(),
        log: SilentLog.create(),
        findAddress: () => ({ address: LOOPBACK, port }),
        tls: { ca: readTls(name).cert },
      });
    });
    for (const freshConnection of [false, false, true]) {
      const answer = await trusting!.send(buildCall({ freshConnection }));
      expect(await readText(answer)).toBe("ok");
    }
    const error = await findError(other!.send(buildCall()));
    expect(error).toMatchObject({ kind: "connect", mayHaveRun: false });
    for (const freshConnection of [false, true]) {
      const notSent = await findError(
        trusting!.send(buildCall({ freshConnection, canSend: () => false })),
      );
      expect(notSent).toMatchObject({ kind: "not_sent", mayHaveRun: false });
    }
    expect(requests).toBe(3);
    trusting!.close();
  });

  it("reports that work may have run if a reused connection closes", async () => {
    // Guards against running work twice. The upstream closes an idle connection
    // while the next request is being written to it; the failed write does not
    // show whether the request was read.
    let requests = 0;
    const { port } = await startServer((request, response) => {
      requests += 1;
      if (requests === 1) response.end("ok");
      else request.socket.destroy();
    });
    const transport = createTransport(port);
    await readText(await transport.send(buildCall()));
    const error = await findError(transport.send(buildCall()));
    expect(error.mayHaveRun).toBe(true);
    expect(requests).toBe(2);
  });

  it("reports that work may have run after connecting", async () => {
    const port = await startRawServer((socket) => socket.destroy());
    const error = await findError(
      createTransport(port).send(buildCall({ freshConnection: true })),
    );
    expect(error.mayHaveRun).toBe(true);
  });

  it("times out an upstream that never answers", async () => {
    const clock = CountingClock.create();
    let sockets = 0;
    const port = await startRawServer((socket) => {
      sockets += 1;
      socket.on("data", () => {});
      socket.on("close", () => sockets -= 1);
    });
    const failed = findError(createTransport(port, clock).send(buildCall()));
    await waitUntil(() => sockets === 1 && clock.pending === 1);
    await clock.run(499);
    expect(sockets).toBe(1);
    await clock.run(1);
    expect(await failed).toMatchObject({
      kind: "first_byte_timeout",
      mayHaveRun: true,
    });
    await waitUntil(() => sockets === 0);
    expect(clock.pending).toBe(0);
  });

  it("closes the other idle connections if one of them is silent", async () => {
    // Guards against calls that time out one after the other. A middlebox drops
    // the state of all open connections; no error is reported on them, so that
    // each idle connection looks usable, while new ones would work.
    const { port } = await startServer((_, response) => response.end("ok"));
    const relay = await Relay.create(port);
    onTestFinished(() => relay.close());
    const clock = CountingClock.create();
    const transport = createTransport(relay.port, clock);
    const calls = [1, 2, 3].map(() => transport.send(buildCall()));
    for (const answer of await Promise.all(calls)) await readText(answer);
    expect(relay.accepted).toBe(3);
    relay.setModeOfOpen("swallow");
    const failed = findError(transport.send(buildCall()));
    await waitUntil(() => clock.pending === 1);
    await clock.run(500);
    expect(await failed).toMatchObject({ kind: "first_byte_timeout" });
    expect(await readText(await transport.send(buildCall()))).toBe("ok");
    expect(relay.accepted).toBe(4);
  });

  it("times out a stream that goes silent", async () => {
    const clock = CountingClock.create();
    const { port } = await startServer((_, response) => {
      response.write("first");
    });
    const transport = createTransport(port, clock);
    const answer = await transport.send(buildCall());
    const body = answer.body[Symbol.asyncIterator]();
    expect(Buffer.from((await body.next()).value).toString()).toBe("first");
    const failed = findError(body.next());
    await clock.run(99);
    await clock.run(1);
    expect(await failed).toMatchObject({
      kind: "between_bytes_timeout",
      mayHaveRun: true,
    });
  });

  it("does not count the time of a slow reader as silence", async () => {
    const clock = CountingClock.create();
    const { port } = await startServer((_, response) => {
      response.write("first");
      response.end("last");
    });
    const answer = await createTransport(port, clock).send(buildCall());
    const body = answer.body[Symbol.asyncIterator]();
    let text = Buffer.from((await body.next()).value).toString();
    await clock.run(4_000);
    for await (const chunk of { [Symbol.asyncIterator]: () => body }) {
      text += Buffer.from(chunk);
    }
    expect(text).toBe("firstlast");
  });

  it("ends a stream after its total timeout", async () => {
    const clock = CountingClock.create();
    const { port } = await startServer((_, response) => {
      const timer = setInterval(() => response.write("more"), 1);
      response.on("close", () => clearInterval(timer));
    });
    const answer = await createTransport(port, clock).send(buildCall());
    const failed = findError(readText(answer));
    await clock.run(0);
    for (let ms = 0; ms < 5_000; ms += 50) {
      await clock.run(50);
      await new Promise((resolve) => setTimeout(resolve, 2));
    }
    expect((await failed).kind).toBe("total_timeout");
  });

  it.each([
    ["a length", "content-length: 10\r\n\r\nhalf"],
    ["chunks", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"],
  ])("detects a truncated answer by %s", async (_, rest) => {
    const port = await startRawServer((socket) => {
      socket.once("data", () => socket.end(`HTTP/1.1 200 OK\r\n${rest}`));
    });
    const answer = await createTransport(port).send(buildCall());
    const error = await findError(readText(answer));
    expect(error).toMatchObject({ kind: "broken", mayHaveRun: true });
  });

  it("refuses an answer whose end cannot be told from a crash", async () => {
    const port = await startRawServer((socket) => {
      socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\n\r\nhalf"));
    });
    const error = await findError(createTransport(port).send(buildCall()));
    expect(error).toMatchObject({ kind: "broken", mayHaveRun: true });
  });

  it("cancels the work at the upstream if aborted during the stream", async () => {
    let isClosed = false;
    const { port } = await startServer((_, response) => {
      response.write("first");
      response.on("close", () => isClosed = true);
    });
    const controller = new AbortController();
    const answer = await createTransport(port).send(
      buildCall({ signal: controller.signal }),
    );
    const body = answer.body[Symbol.asyncIterator]();
    await body.next();
    controller.abort();
    expect((await findError(body.next())).kind).toBe("aborted");
    await waitUntil(() => isClosed);
  });

  it("cancels the work if the reader stops early", async () => {
    let isClosed = false;
    const { port } = await startServer((_, response) => {
      response.write("first");
      response.on("close", () => isClosed = true);
    });
    const answer = await createTransport(port).send(buildCall());
    for await (const _ of answer.body) break;
    await waitUntil(() => isClosed);
  });

  it("applies backpressure to an upstream that outpaces its reader", async () => {
    let written = 0;
    const chunk = Buffer.alloc(65_536, "a");
    const { port } = await startServer((_, response) => {
      const write = () => {
        while (response.write(chunk)) written += chunk.length;
        written += chunk.length;
        response.once("drain", write);
      };
      write();
    });
    const answer = await createTransport(port).send(buildCall());
    const body = answer.body[Symbol.asyncIterator]();
    await body.next();
    let before = -1;
    while (before !== written) {
      before = written;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    // The capacity of the kernel's loopback buffers. Without backpressure the
    // upstream would never stop writing.
    expect(written).toBeLessThan(32 * 1_048_576);
    await body.return?.();
  });
});

describe("engine reports", () => {
  const load = {
    age_ms: 12,
    running: 3,
    waiting: 1,
    cache_used: 0.5,
    leaving: false,
    models: [{ model: "m", version: "1", adapters: ["a"] }],
    role: "general",
    fencing: 4,
    cache_sequence: 9,
  };

  async function startEngine(
    status: number,
    body: string,
  ): Promise<{ transport: HttpUpstreamTransport; seen: string[] }> {
    const seen: string[] = [];
    const { port } = await startServer(async (request, response) => {
      let text = `${request.method} ${request.url} `;
      for await (const chunk of request) text += chunk;
      seen.push(text);
      response.writeHead(status).end(body);
    });
    return { transport: createTransport(port), seen };
  }

  it("parses a load report", async () => {
    const { transport } = await startEngine(200, JSON.stringify(load));
    expect(await transport.fetchLoad(UPSTREAM)).toEqual({
      ageMs: 12,
      running: 3,
      waiting: 1,
      cacheUsed: 0.5,
      leaving: false,
      models: load.models,
      role: "general",
      fencing: 4,
      cacheSequence: 9,
    });
  });

  it.each([
    ["no JSON", 200, "{"],
    ["a wrong type", 200, JSON.stringify({ ...load, running: "3" })],
    ["a negative age", 200, JSON.stringify({ ...load, age_ms: -1 })],
    ["an error", 500, JSON.stringify(load)],
  ])("refuses a report that is %s", async (_, status, body) => {
    const { transport } = await startEngine(status, body);
    await expect(transport.fetchLoad(UPSTREAM)).rejects.toMatchObject({
      step: "fetch_load",
      peer: UPSTREAM,
    });
    await expect(transport.fetchLoad(UPSTREAM)).rejects.toBeInstanceOf(
      StepError,
    );
  });

  it("parses cache events", async () => {
    const events = [{ sequence: 5, prefix: "p", change: "stored" }];
    const { transport, seen } = await startEngine(
      200,
      JSON.stringify({ events }),
    );
    expect(await transport.fetchCacheEvents(UPSTREAM, 4)).toEqual(events);
    expect(seen).toEqual(["GET /v1/cache/events?after=4 "]);
  });

  it.each([[200, true], [409, false]])(
    "reports by status %s whether a command was accepted",
    async (status, isAccepted) => {
      const { transport, seen } = await startEngine(status, "{}");
      const command = {
        action: "load" as const,
        model: "m",
        version: "1",
        adapter: undefined,
        role: undefined,
        fencing: 7,
      };
      expect(await transport.sendCommand(UPSTREAM, command)).toBe(isAccepted);
      expect(seen).toEqual([
        'POST /v1/orders {"action":"load","model":"m","version":"1","fencing":7}',
      ]);
    },
  );

  it("copies cached prefixes", async () => {
    const { transport, seen } = await startEngine(200, "blob");
    expect(await transport.copyCache(UPSTREAM, UPSTREAM, ["a", "b"])).toBe(2);
    expect(seen).toEqual([
      "GET /v1/cache/export?prefixes=a,b ",
      "POST /v1/cache/import blob",
    ]);
  });

  // Guards against the loss of a whole answer, and of the request's outcome, by
  // bytes behind it that belong to no request.
  it("delivers a whole answer though other bytes follow at once", async () => {
    const body = "ok".repeat(5_000);
    const port = await startRawServer((socket) => {
      socket.once("data", () => {
        const head = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}`;
        socket.write(`${head}\r\n\r\n${body}${"x".repeat(99)}`);
      });
    });
    const answer = await createTransport(port).send(buildCall());
    await sleep(50);
    expect(await readText(answer)).toBe(body);
  });
});
