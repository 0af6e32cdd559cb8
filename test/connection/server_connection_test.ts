import type { IncomingMessage, ServerResponse } from "node:http";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { connect as connectTls } from "node:tls";
import { describe, expect, it, onTestFinished } from "vitest";
import { HttpServer } from "../../src/connection/http_server.ts";
import type { ServerTls } from "../../src/connection/tls_material.ts";
import { SilentLog } from "../../src/process/log.ts";
import { LOOPBACK, RawClient, waitUntil } from "../support/loopback.ts";

const LIMITS = {
  maxHeaderBytes: 8_192,
  maxConnections: 100,
  headersTimeoutMs: 5_000,
  bodyTimeoutMs: 5_000,
  keepAliveMs: 5_000,
};
const REQUESTS = 60;
const MAX_DELAY_MS = 5;
/** Requests that one piece of a connection's bytes may hold. */
const MAX_TAKEN = 20;

interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
}

async function startServer(
  handle: (exchange: Exchange) => Promise<void>,
  { tls, ...limits }: { tls?: ServerTls; inactivityMs?: number } = {},
): Promise<HttpServer> {
  const server = HttpServer.create({
    name: "test",
    log: SilentLog.create(),
    limits: { ...LIMITS, ...limits },
    tls,
    handle: (request, response) => handle({ request, response }),
  });
  await server.start(LOOPBACK, 0);
  onTestFinished(async () => {
    const stopped = server.stop();
    server.closeAll();
    await stopped;
  });
  return server;
}

/** Answers with the path and the length of the body, after a while. */
async function answerLength({ request, response }: Exchange): Promise<void> {
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
  }
  await sleep(Number(request.url!.slice(1)) % MAX_DELAY_MS);
  response.end(`[${request.url} ${length}]`);
}

/** Every third request has a body with a length, every third one in chunks. */
function buildRequest(index: number): string {
  const head = `POST /${index} HTTP/1.1\r\nhost: a\r\n`;
  const body = "x".repeat(index * 97);
  if (index % 3 === 0) return `${head}content-length: 0\r\n\r\n`;
  if (index % 3 === 1) {
    return `${head}content-length: ${body.length}\r\n\r\n${body}`;
  }
  const size = body.length.toString(16);
  return `${head}transfer-encoding: chunked\r\n\r\n` +
    `${size}\r\n${body}\r\n0\r\n\r\n`;
}

const INDICES = Array.from({ length: REQUESTS }, (_, index) => index);
const SENT = INDICES.map(buildRequest).join("");
const EXPECTED = INDICES.map((index) =>
  `[/${index} ${index % 3 === 0 ? 0 : index * 97}]`
);

function listAnswers(received: string): string[] {
  return received.match(/\[\/\d+ \d+\]/g) ?? [];
}

// Guards against answers that a caller who sends requests ahead loses, or gets
// in another order.
describe("requests that are sent ahead are answered in order", () => {
  it("where they arrive together", async () => {
    const server = await startServer(answerLength);
    const client = RawClient.create(server.port);
    client.socket.write(SENT);
    await client.waitFor(EXPECTED.at(-1)!);
    expect(listAnswers(client.received)).toEqual(EXPECTED);
  });

  it("where they arrive in small pieces", async () => {
    const server = await startServer(answerLength);
    const client = RawClient.create(server.port);
    client.socket.setNoDelay(true);
    for (let at = 0; at < SENT.length; at += 700) {
      client.socket.write(SENT.slice(at, at + 700));
      if (at % 7_000 === 0) await sleep(1);
    }
    await client.waitFor(EXPECTED.at(-1)!);
    expect(listAnswers(client.received)).toEqual(EXPECTED);
  });

  it("where the caller reads late", async () => {
    const filler = "f".repeat(100_000);
    const server = await startServer(async ({ request, response }) => {
      for await (const _ of request);
      response.end(`[${request.url} 0]${filler}`);
    });
    const client = RawClient.create(server.port, { isReading: false });
    client.socket.write(SENT);
    await sleep(300);
    let received = "";
    client.socket.on("data", (chunk) => received += chunk);
    await waitUntil(() => listAnswers(received).length === REQUESTS);
    expect(listAnswers(received))
      .toEqual(INDICES.map((index) => `[/${index} 0]`));
  });

  it("over TLS", async () => {
    const read = (kind: "cert" | "key") =>
      readFileSync(
        new URL(`fixtures/tls_a.${kind}.pem`, import.meta.url),
        "utf8",
      );
    const tls = { cert: read("cert"), key: read("key") };
    const server = await startServer(answerLength, { tls });
    const socket = connectTls({
      host: LOOPBACK,
      port: server.port,
      rejectUnauthorized: false,
    });
    onTestFinished(() => void socket.destroy());
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.write(SENT);
    await waitUntil(() => listAnswers(received).length === REQUESTS);
    expect(listAnswers(received)).toEqual(EXPECTED);
  });
});

// Guards against memory for thousands of requests of one connection, none of
// which has an answer yet.
it("few requests of a connection are taken before the first answer", async () => {
  let taken = 0;
  const server = await startServer(async () => {
    taken += 1;
    await sleep(1_000_000, undefined, { ref: false });
  });
  const client = RawClient.create(server.port);
  client.socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(10_000));
  await waitUntil(() => taken > 0);
  await sleep(200);
  expect(taken).toBeLessThanOrEqual(MAX_TAKEN);
});

// Guards against connections that stand for ever, since nobody reads the answer.
it("a connection whose answer is not read is closed", async () => {
  const server = await startServer(({ response }) => {
    response.end("x".repeat(20_000_000));
    return Promise.resolve();
  }, { inactivityMs: 200 });
  const client = RawClient.create(server.port, { isReading: false });
  client.socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await waitUntil(() => server.connections === 1);
  await waitUntil(() => server.connections === 0);
});

// Guards against clients that offer another protocol with each first request and
// lose their connection by it.
it("a connection goes on after a request that offers an upgrade", async () => {
  const server = await startServer(answerLength);
  const client = RawClient.create(server.port);
  const upgrade = "connection: upgrade\r\nupgrade: h2c\r\n\r\n";
  client.socket.write(`GET /1 HTTP/1.1\r\nhost: a\r\n${upgrade}`);
  await client.waitFor("[/1 0]");
  client.socket.write("GET /2 HTTP/1.1\r\nhost: a\r\n\r\n");
  await client.waitFor("[/2 0]");
});

it("a request without a host is refused", async () => {
  const server = await startServer(answerLength);
  const client = RawClient.create(server.port);
  client.socket.write("GET /1 HTTP/1.1\r\n\r\n");
  await client.waitClosed();
  expect(client.received).toContain("HTTP/1.1 400");
});
