import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { expect, it, onTestFinished } from "vitest";
import { parseEndpoint } from "../../src/connection/endpoint.ts";
import { HOST, KEY } from "../platform/configurations.ts";
import { PlatformFleet, sendRequest } from "../platform/platform_fleet.ts";
import { runStall } from "../support/process_stall.ts";

const CALLERS = 20;
const STALL_MS = 90;
const SENT_AFTER_MS = 20;
const LEFT_AFTER_MS = 50;
const SETTLE_MS = 300;

/** Callers in a thread of their own, which sends while this one stands still. */
const CALLER_CODE = `
const { parentPort, workerData } = require("node:worker_threads");
const net = require("node:net");
const { callers, host, port, head, sentAfterMs, leftAfterMs } = workerData;
const sockets = Array.from({ length: callers }, () => net.connect(port, host));
let connected = 0;
for (const socket of sockets) {
  socket.on("error", () => {});
  socket.on("connect", () => {
    connected += 1;
    if (connected === callers) parentPort.postMessage("connected");
  });
}
parentPort.on("message", () => {
  setTimeout(() => {
    sockets.forEach((socket, number) => {
      socket.write(head.replace("NUMBER", String(number)));
    });
  }, sentAfterMs);
  setTimeout(() => {
    for (const socket of sockets) socket.destroy();
  }, leftAfterMs);
});
`;

// Guards against requests that a busy VM sends to replicas though their callers
// have left, since it reads late that a connection has ended.
it("a VM that was stalled sends nothing for callers that left", async () => {
  const fleet = await PlatformFleet.create();
  const [vm] = fleet.vms;
  // The VM keeps these connections to replicas, and can send at once.
  const first = Array.from(
    { length: CALLERS },
    () => sendRequest(vm!, { path: "/safe/x" }),
  );
  await Promise.all(first);
  const { address: host, port } = parseEndpoint(
    vm!.settings.listeners.callers,
  );
  const head = [
    "GET /safe/x HTTP/1.1",
    `host: ${HOST}`,
    `authorization: Bearer ${KEY}`,
    "x-request-id: request-NUMBER",
    "x-timeout-ms: 2000",
    "\r\n",
  ].join("\r\n");
  const callers = new Worker(CALLER_CODE, {
    eval: true,
    workerData: {
      callers: CALLERS,
      host,
      port,
      head,
      sentAfterMs: SENT_AFTER_MS,
      leftAfterMs: LEFT_AFTER_MS,
    },
  });
  onTestFinished(async () => void await callers.terminate());
  await once(callers, "message");
  callers.postMessage("send");
  runStall(STALL_MS);
  await sleep(SETTLE_MS);
  expect(fleet.replicas.flatMap(({ ran }) => ran)).toHaveLength(CALLERS);
});
