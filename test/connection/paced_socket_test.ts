import { type AddressInfo, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, it, onTestFinished } from "vitest";
import { PacedSocket } from "../../src/connection/paced_socket.ts";
import { ReadPacer } from "../../src/connection/read_pacer.ts";
import { Clock, SystemClock } from "../../src/process/clock.ts";
import { LOOPBACK, waitUntil } from "../support/loopback.ts";

const PIECE_BYTES = 16_384;
/** Cost of each piece of a costly reader. */
const PIECE_MS = 4;
const READ_MS = 1_000;
const BODY = Buffer.from(
  Array.from({ length: 1_048_576 }, (_, index) => index % 251),
);

/** A connection to a server that sends `BODY` and ends. */
async function openSocket() {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.end(BODY);
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  onTestFinished(() => void server.close());
  const { port } = server.address() as AddressInfo;
  const pacer = ReadPacer.create(SystemClock.create());
  const socket = PacedSocket.open(pacer, { host: LOOPBACK, port });
  onTestFinished(() => void socket.destroy());
  const received = { chunks: [] as Buffer[], isEnded: false };
  socket.on("data", (chunk: Buffer) => received.chunks.push(chunk));
  socket.on("end", () => received.isEnded = true);
  return { socket: socket as PacedSocket, received };
}

function countBytes(chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, { length }) => sum + length, 0);
}

it("hands all bytes on in pieces, in order, and then the end", async () => {
  const { received } = await openSocket();
  await waitUntil(() => received.isEnded);
  expect(Buffer.concat(received.chunks).equals(BODY)).toBe(true);
  const largest = Math.max(...received.chunks.map(({ length }) => length));
  expect(largest).toBeLessThanOrEqual(PIECE_BYTES);
});

// Guards against memory that grows with what an upstream sends, while a caller
// reads nothing.
it("hands nothing on while nobody wants it", async () => {
  const { socket, received } = await openSocket();
  socket.once("data", () => socket.setWanted(false));
  await waitUntil(() => received.chunks.length > 0);
  await sleep(100);
  expect(countBytes(received.chunks)).toBeLessThanOrEqual(PIECE_BYTES);
  expect(received.isEnded).toBe(false);
  socket.setWanted(true);
  await waitUntil(() => received.isEnded);
  expect(Buffer.concat(received.chunks).equals(BODY)).toBe(true);
});

it("a connection that ends while it waits for its turn pushes nothing", async () => {
  const { socket, received } = await openSocket();
  await waitUntil(() => received.chunks.length > 0);
  socket.destroy();
  const before = countBytes(received.chunks);
  await sleep(50);
  expect(countBytes(received.chunks)).toBe(before);
});

/** Time that only pieces and pauses take. */
class SteppingClock extends Clock {
  pausedMs = 0;
  #now = 0;

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  startTimer(ms: number, callback: () => void): () => void {
    this.pausedMs += ms;
    this.add(ms);
    const timer = setImmediate(callback);
    return () => clearImmediate(timer);
  }

  add(ms: number): void {
    this.#now += ms;
  }
}

// Guards against a process whose time goes to bytes that are costly to parse, and
// against a connection that waits for the others for good.
it("readers take turns for half of the time", async () => {
  const clock = new SteppingClock();
  const pacer = ReadPacer.create(clock);
  const pieces = [0, 0, 0];
  const readers = pieces.map((_count, index) => ({
    pushPiece() {
      clock.add(PIECE_MS);
      pieces[index]! += 1;
      if (clock.now() < READ_MS) pacer.add(this);
    },
  }));
  readers.forEach((reader) => pacer.add(reader));
  await waitUntil(() => clock.now() >= READ_MS);
  const total = pieces.reduce((sum, count) => sum + count, 0);
  expect(Math.max(...pieces) - Math.min(...pieces)).toBeLessThanOrEqual(1);
  expect(clock.pausedMs).toBeGreaterThanOrEqual(PIECE_MS * (total - 1));
});
