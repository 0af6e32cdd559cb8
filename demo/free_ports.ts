/**
 * Free ports on loopback.
 *
 * They lie below those that the system gives to connections and to listeners
 * on port 0, which could otherwise take a port before its user listens on it.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import verror from "verror";

const HOST = "127.0.0.1";
const FIRST_PORT = 10_240;
/** Linux gives ports from 32,768 on to connections, other systems later. */
const END_PORT = 32_768;
/** A process claims this many ports by listening on the first of them. */
const BLOCK_PORTS = 32;
const BLOCKS = (END_PORT - FIRST_PORT) / BLOCK_PORTS;

/** The block to take ports from, and how many of it were taken. */
let block = process.pid % BLOCKS;
let takenPorts = BLOCK_PORTS;
let claim: Promise<void> | undefined;

/**
 * Finds `count` free ports on loopback. None is returned twice in a process, or
 * in two that run at the same time; rejects once all are claimed.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = await takePort();
    const server = await openServer(port);
    if (server === undefined) continue;
    await closeServer(server);
    ports.push(port);
  }
  return ports;
}

async function takePort(): Promise<number> {
  while (takenPorts === BLOCK_PORTS) {
    claim ??= claimBlock();
    await claim;
    claim = undefined;
  }
  return computeFirstPort(block) + takenPorts++;
}

/** Claims the next free block for the life of this process. */
async function claimBlock(): Promise<void> {
  for (let skipped = 1; skipped <= BLOCKS; skipped++) {
    const next = (block + skipped) % BLOCKS;
    const server = await openServer(computeFirstPort(next));
    if (server === undefined) continue;
    server.unref();
    block = next;
    takenPorts = 1;
    return;
  }
  throw new verror.VError(
    "all ports from %d to %d are claimed",
    FIRST_PORT,
    END_PORT - 1,
  );
}

function computeFirstPort(number: number): number {
  return FIRST_PORT + number * BLOCK_PORTS;
}

/** Listens on a port; undefined if it is taken. */
function openServer(port: number): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once(
      "error",
      (error: NodeJS.ErrnoException) =>
        error.code === "EADDRINUSE" ? resolve(undefined) : reject(error),
    );
    server.listen(port, HOST, () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
