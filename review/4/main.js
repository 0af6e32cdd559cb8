/**
 * A VM that is stopped in order cuts off answers that their clients are still
 * reading.
 *
 * Clients download documents and read them a while later, within their deadline.
 * The VMs get SIGTERM one after the other. With `TROUBLE=0` none does.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import net from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, sleep } from "../stand_ins/case.js";
import { HOST, KEY } from "../stand_ins/configuration.js";
import { DocumentReplica, PIECE_BYTES } from "../stand_ins/document_replica.js";
import { Replica } from "../stand_ins/replica.js";

const SERVICE_REPLICAS = 4;
const DOCUMENTS = 80;
const DEADLINE_MS = 3_000;
/** From SIGTERM to the requests; the directory's `ttl-s` is 1 s. */
const REQUESTS_AFTER_MS = 800;
/** From a request to the time at which its client begins to read. */
const READ_AFTER_MS = 2_700;
/** `grace-s` and a margin: the process has ended by then. */
const GRACE_MS = 9_000;
const RESTART_MS = 1_000;
const CALIBRATION_MS = 500;
const HEAD_END = "\r\n\r\n";

/** The part of each document that replicas send at once. */
const document = { firstBytes: 0 };

await runCase(dirname(fileURLToPath(import.meta.url)), {
  runTraffic,
  createReplica: (options) =>
    options.number > SERVICE_REPLICAS
      ? Replica.create(options)
      : DocumentReplica.create({ ...options, document }),
});

async function runTraffic({ fleet, runs, record, hasTrouble }) {
  // Sizes are around what the kernel holds of an answer that nobody reads.
  const held = await computeHeldBytes(fleet.address, fleet.takePort());
  const smallest = held - Math.floor(DOCUMENTS / 4) * PIECE_BYTES;
  document.firstBytes = smallest - 2 * PIECE_BYTES;
  record.add("sizes", { held, smallest, documents: DOCUMENTS });
  const broken = [];
  for (const vm of fleet.vms) {
    record.add("vm", { vm: vm.name, isStopped: hasTrouble });
    if (hasTrouble) vm.child.kill("SIGTERM");
    await sleep(REQUESTS_AFTER_MS);
    const answers = await Promise.all(
      Array.from({ length: DOCUMENTS }, (_each, number) =>
        fetchDocument({
          vm,
          id: `${vm.name}-${number}`,
          bytes: smallest + number * PIECE_BYTES,
          record,
        })),
    );
    broken.push(...answers.filter((answer) => isLost(answer, runs)));
    if (hasTrouble) await restartVm(fleet, vm, record);
  }
  return broken.map((answer) => ({ rule: "LOST", ...answer }));
}

/** Whether a request that was passed on got no complete answer in its time. */
function isLost({ id, got, bytes, ms }, runs) {
  return runs.has(id) && got < bytes && ms < DEADLINE_MS;
}

/** The platform starts a process again that has ended. */
async function restartVm(fleet, vm, record) {
  const endsAt = performance.now() + GRACE_MS;
  while (vm.ended === undefined && performance.now() < endsAt) await sleep(50);
  record.add("ended", { vm: vm.name, ...vm.ended });
  fleet.startVm(vm);
  await sleep(RESTART_MS);
}

/** Requests a document, reads it later, and resolves to what came of it. */
function fetchDocument({ vm, id, bytes, record }) {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    const socket = net.connect(vm.front, vm.ip);
    let head;
    let got = 0;
    let status;
    let isOver = false;
    const end = (how) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      clearTimeout(deadline);
      socket.destroy();
      const ms = Math.round(performance.now() - startedAt);
      record.add("answered", { id, how, status, got, bytes, ms });
      resolve({ id, how, status, got, bytes, ms });
    };
    socket.pause();
    const timer = setTimeout(() => socket.resume(), READ_AFTER_MS);
    const deadline = setTimeout(() => end("deadline"), DEADLINE_MS);
    socket.on("error", (error) => end(error.message));
    socket.on("close", () => end("closed"));
    socket.on("data", (data) => {
      got += data.length;
      if (head === undefined) {
        const text = data.toString("latin1");
        head = text.indexOf(HEAD_END) + HEAD_END.length;
        status = Number(text.split(" ")[1]);
        got -= head;
      }
      if (got >= bytes) end("complete");
    });
    record.add("sent", { id, vm: vm.name, bytes });
    socket.write(
      `GET /entrega/${bytes} HTTP/1.1\r\nHost: ${HOST}\r\n` +
        `Authorization: Bearer ${KEY}\r\nX-Request-Id: ${id}\r\n` +
        `X-Timeout-Ms: ${DEADLINE_MS}${HEAD_END}`,
    );
  });
}

/** Bytes that a connection takes while its other end does not read. */
async function computeHeldBytes(address, port) {
  const sockets = [];
  let written = 0;
  const server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    const writeMore = () => {
      while (!socket.destroyed && socket.write(Buffer.alloc(PIECE_BYTES)));
    };
    socket.on("drain", writeMore);
    writeMore();
  });
  await new Promise((resolve) => server.listen(port, address, resolve));
  const reader = net.connect(port, address);
  reader.pause();
  await sleep(CALIBRATION_MS);
  for (const { bytesWritten, writableLength } of sockets) {
    written = bytesWritten - writableLength;
  }
  reader.destroy();
  sockets.forEach((socket) => socket.destroy());
  server.close();
  return written;
}
