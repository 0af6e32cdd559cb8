import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, expect, it, onTestFinished } from "vitest";
import {
  HttpUpstreamTransport,
  type UpstreamCall,
  UpstreamError,
} from "../../src/connection/index.ts";
import { toId, type VmId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import { LOOPBACK, waitUntil } from "../support/loopback.ts";

const UPSTREAM = toId<VmId>("up-1");
const TIMEOUTS = { firstByteMs: 5_000, betweenBytesMs: 5_000, totalMs: 5_000 };
const MAX_ANSWER_BYTES = 1_048_576;
/** What the kernel's buffers of both sides hold at most, and some more. */
const MAX_SENT_BYTES = 33_554_432;
const CHUNK_BYTES = 65_536;
const OK = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${OK}transfer-encoding: chunked\r\n\r\n`;

/** How an answer begins, and what follows without end. */
const ANSWERS: Record<string, { start: string; rest: string }> = {
  "the value of a header": { start: `${OK}x: `, rest: "a" },
  "lines of a head": { start: OK, rest: "x: a\r\n" },
  "a reason phrase": { start: "HTTP/1.1 200 ", rest: "a" },
  "interim answers": { start: "", rest: "HTTP/1.1 103 Hints\r\nx: a\r\n\r\n" },
  "interim answers without headers": {
    start: "",
    rest: "HTTP/1.1 100 Continue\r\n\r\n",
  },
  "blank lines before the head": { start: "", rest: "\r\n" },
  "bytes that are no answer": { start: "", rest: "x" },
  "the size of a chunk": { start: CHUNKED, rest: "0" },
  "the extension of a chunk": { start: `${CHUNKED}5;a=`, rest: "0" },
  "trailers": { start: `${CHUNKED}0\r\n`, rest: "x: a\r\n" },
  "a body without a length": { start: `${OK}\r\n`, rest: "a" },
  "the chunks of a body": { start: CHUNKED, rest: "5\r\nhello\r\n" },
};

interface EndlessServer {
  port: number;
  sentBytes: number;
  openConnections: number;
}

/** A server that goes on with its answer until the other side closes. */
async function startEndless(
  { start, rest }: { start: string; rest: string },
): Promise<EndlessServer> {
  const chunk = Buffer.from(rest.repeat(CHUNK_BYTES / rest.length));
  const started: EndlessServer = { port: 0, sentBytes: 0, openConnections: 0 };
  const sendOn = (socket: Socket) => {
    if (socket.destroyed) return;
    started.sentBytes += chunk.length;
    if (socket.write(chunk)) setImmediate(() => sendOn(socket));
    else socket.once("drain", () => sendOn(socket));
  };
  const server = createServer((socket) => {
    started.openConnections += 1;
    socket.on("error", () => {});
    socket.on("close", () => started.openConnections -= 1);
    socket.once("data", () => {
      socket.write(start);
      sendOn(socket);
    });
    onTestFinished(() => void socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  onTestFinished(() => void server.close());
  started.port = (server.address() as AddressInfo).port;
  return started;
}

function createTransport({ port }: EndlessServer): HttpUpstreamTransport {
  const transport = HttpUpstreamTransport.create({
    clock: SystemClock.create(),
    log: SilentLog.create(),
    findAddress: () => ({ address: LOOPBACK, port }),
    allowsCloseDelimited: true,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  onTestFinished(() => transport.close());
  return transport;
}

const CALL: UpstreamCall = {
  upstream: UPSTREAM,
  method: "POST",
  path: "/",
  headers: {},
  body: Buffer.from("{}"),
  freshConnection: false,
  timeouts: TIMEOUTS,
  signal: new AbortController().signal,
};

async function readWhole(transport: HttpUpstreamTransport): Promise<number> {
  const answer = await transport.send(CALL);
  let length = 0;
  for await (const bytes of answer.body) length += bytes.length;
  return length;
}

// Guards against an upstream that takes a VM's processor time until a timeout, or
// for good, by bytes that belong to no answer or to one that never ends.
describe("an upstream that sends without end", () => {
  for (const [what, answer] of Object.entries(ANSWERS)) {
    it(`${what} is cut off`, async () => {
      const server = await startEndless(answer);
      const error = await readWhole(createTransport(server))
        .catch((thrown: unknown) => thrown);
      expect(error).toBeInstanceOf(UpstreamError);
      expect(error).toMatchObject({ kind: "broken", mayHaveRun: true });
      await waitUntil(() => server.openConnections === 0);
      expect(server.sentBytes).toBeLessThan(MAX_SENT_BYTES);
    });
  }

  it("bytes after its answer loses the connection", async () => {
    const start = `${OK}content-length: 2\r\n\r\nok`;
    const server = await startEndless({ start, rest: "a" });
    expect(await readWhole(createTransport(server))).toBe(2);
    await waitUntil(() => server.openConnections === 0);
    expect(server.sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });
});

it("an answer in chunks of one byte is whole", async () => {
  const body = "1\r\na\r\n".repeat(CHUNK_BYTES);
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(`${CHUNKED}${body}0\r\n\r\n`));
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  onTestFinished(() => void server.close());
  const { port } = server.address() as AddressInfo;
  const transport = createTransport({ port, sentBytes: 0, openConnections: 0 });
  expect(await readWhole(transport)).toBe(CHUNK_BYTES);
});
