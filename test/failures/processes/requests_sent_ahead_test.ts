import { beforeAll, describe, expect, it } from "vitest";
import { HOST, KEY } from "../../platform/configurations.ts";
import { Crowd } from "../../support/crowd.ts";
import {
  buildDaemon,
  PlatformProcesses,
} from "../../support/platform_processes.ts";
import type { ListenerName } from "../../soak/soak_vm.ts";

const CONNECTIONS = 16;
/** Where fewer do no harm. */
const MANY_CONNECTIONS = 100;
const SENDING_MS = 3_000;
/** The process has this much heap, about half of what it is deployed with. */
const HEAP_MB = 64;
/** What a VM may use. */
const MAX_VM_BYTES = 256_000_000;
/** Descriptors of a VM beside those of the crowd. */
const MAX_OWN_DESCRIPTORS = 100;

interface Ahead {
  listener: ListenerName;
  request: string;
  /** Sent once, before the requests. */
  start?: string;
  connections?: number;
}

function buildHead(line: string, ...headers: string[]): string {
  return [line, ...headers, "", ""].join("\r\n");
}

const TO_HOST = `Host: ${HOST}`;
const WITH_KEY = `Authorization: Bearer ${KEY}`;

const CASES: Record<string, Ahead> = {
  "without a host": {
    listener: "callers",
    request: buildHead("GET /nothing HTTP/1.1"),
  },
  "at a path that no route has": {
    listener: "callers",
    request: buildHead("GET /nothing HTTP/1.1", TO_HOST),
  },
  "with bodies, not idempotent": {
    listener: "callers",
    request: buildHead(
      "POST /unsafe/x HTTP/1.1",
      TO_HOST,
      WITH_KEY,
      "Content-Length: 2",
    ) + "{}",
  },
  "for streams": {
    listener: "callers",
    request: buildHead("GET /stream/x HTTP/1.1", TO_HOST, WITH_KEY),
  },
  "with chunked bodies": {
    listener: "callers",
    request: buildHead(
      "POST /safe/x HTTP/1.1",
      TO_HOST,
      WITH_KEY,
      "Transfer-Encoding: chunked",
    ) + "1;a=b\r\nx\r\n0\r\n\r\n",
  },
  "or chunks of one byte in a body without end": {
    connections: MANY_CONNECTIONS,
    listener: "callers",
    start: buildHead(
      "POST /safe/x HTTP/1.1",
      TO_HOST,
      WITH_KEY,
      "Transfer-Encoding: chunked",
    ),
    request: "1\r\nx\r\n",
  },
  "by HEAD": {
    listener: "callers",
    request: buildHead("HEAD /safe/x HTTP/1.1", TO_HOST, WITH_KEY),
  },
  "by HTTP/1.0 with keep-alive": {
    connections: MANY_CONNECTIONS,
    listener: "callers",
    request: buildHead(
      "GET /safe/x HTTP/1.0",
      TO_HOST,
      "Connection: keep-alive",
    ),
  },
  "that expect to continue": {
    listener: "callers",
    request: buildHead("GET /safe/x HTTP/1.1", TO_HOST, "Expect: 100-continue"),
  },
  "that expect something else": {
    connections: MANY_CONNECTIONS,
    listener: "callers",
    request: buildHead("GET /safe/x HTTP/1.1", TO_HOST, "Expect: more"),
  },
  "that upgrade": {
    connections: MANY_CONNECTIONS,
    listener: "callers",
    request: buildHead(
      "GET /safe/x HTTP/1.1",
      TO_HOST,
      "Connection: upgrade",
      "Upgrade: websocket",
    ),
  },
  "at the path that says ready": {
    listener: "readiness",
    request: buildHead("GET /api/ready HTTP/1.1", "Host: a"),
  },
  "for readiness, without a host": {
    connections: MANY_CONNECTIONS,
    listener: "readiness",
    request: buildHead("GET /api/ready HTTP/1.1"),
  },
  "for addresses": {
    listener: "directory",
    request: buildHead("GET /api/resolve HTTP/1.1", "Host: a"),
  },
  "for the status page": {
    listener: "state",
    request: buildHead("GET /v1/status HTTP/1.1", "Host: a"),
  },
  "to the listener between VMs": {
    listener: "peers",
    request: buildHead("GET /nothing HTTP/1.1", "Host: a"),
  },
};

beforeAll(buildDaemon);

// Guards against a process that ends for lack of memory, since clients send
// requests ahead and read no answer.
describe("a VM lives and serves after many requests", () => {
  for (const [name, ahead] of Object.entries(CASES)) {
    const { listener, start, request, connections = CONNECTIONS } = ahead;
    it(name, async () => {
      const processes = await PlatformProcesses.create();
      await processes.addReplica("i-1");
      await processes.addReplica("i-2");
      await processes.addVms(1, { heapMb: HEAP_MB });
      const [vm] = processes.vms;
      const crowd = await Crowd.create({
        ...vm!.getEndpoint(listener),
        connections,
      });
      if (start !== undefined) await crowd.sendOnce(start, 0);
      await crowd.send(request, SENDING_MS);
      expect(vm!.hasEnded, vm!.readLogTail()).toBe(false);
      expect(processes.countMostDescriptors())
        .toBeLessThanOrEqual(MAX_OWN_DESCRIPTORS + connections);
      expect((await processes.send(vm!)).status).toBe(200);
      expect(vm!.hasEnded, vm!.readLogTail()).toBe(false);
      expect(processes.readPeakMemory()).toBeLessThanOrEqual(MAX_VM_BYTES);
    });
  }
});
