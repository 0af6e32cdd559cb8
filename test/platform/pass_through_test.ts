import { once } from "node:events";
import net from "node:net";
import { describe, expect, it } from "vitest";
import { startServer, waitUntil } from "../support/loopback.ts";
import { HOST, KEY } from "./configurations.ts";
import { sendCall } from "./test_call.ts";
import { PlatformFleet, sendRequest } from "./platform_fleet.ts";
import { CLOSE_DELIMITED_BODY } from "./replica_stand_in.ts";

/** Headers that the router sets or that identify the request. */
const PROTECTED_HEADERS = [
  "x-tenant",
  "x-expect-instance",
  "x-timeout-ms",
  "x-request-priority",
  "x-request-id",
  "x-token-count",
  "x-prompt-prefix",
];

// Guards against a client that takes its workspace, the expected instance or the
// time left off its request by naming them in its `connection` header.
describe("headers that the client's connection header names", () => {
  for (const path of ["/safe/x", "/unsafe/x", "/stream/x", "/restream/x"]) {
    it(`reach the replica of ${path}`, async () => {
      const fleet = await PlatformFleet.create();
      const answer = await sendRequest(fleet.vms[0]!, {
        path,
        headers: {
          "x-request-id": "request-a",
          "x-token-count": "10,1",
          "x-prompt-prefix": "a1:10",
          "x-private": "1",
          connection: `keep-alive, X-Private, ${PROTECTED_HEADERS}`,
        },
      });
      expect(answer.status).toBe(200);
      const [seen] = fleet.replicas.flatMap(({ ran }) => ran);
      for (const name of PROTECTED_HEADERS) {
        expect(seen!.headers).toHaveProperty(name);
      }
      expect(seen!.headers["x-tenant"]).toBe("tenant-1");
      expect(seen!.headers).not.toHaveProperty("x-private");
    });
  }
});

describe("a request on the platform", () => {
  it("is forwarded unchanged except for the router's own headers", async () => {
    const fleet = await PlatformFleet.create();
    const answer = await sendRequest(fleet.vms[0]!, {
      path: "/unsafe/thing%20x?a=1&b=%2F",
      body: "the body",
      headers: {
        "x-request-id": "request-a",
        "x-thing": "one",
        "x-tenant": "forged",
        "x-expect-instance": "forged",
        "x-request-priority": "0",
        "x-hold": "forged",
        "x-pin-ms": "1000",
        "kv-from": "forged",
        "x-kv-backup": "forged",
        connection: "x-private",
        "x-private": "1",
      },
    });
    const [seen] = fleet.replicas.flatMap(({ ran }) => ran);
    expect(seen).toMatchObject({
      method: "POST",
      path: "/unsafe/thing%20x?a=1&b=%2F",
    });
    expect(Buffer.from(seen!.body).toString()).toBe("the body");
    expect(seen!.headers).toMatchObject({
      host: "host.example",
      "x-request-id": "request-a",
      "x-thing": "one",
      "x-tenant": "tenant-1",
      "x-request-priority": "0",
    });
    for (
      const name of [
        "authorization",
        "x-hold",
        "x-pin-ms",
        "kv-from",
        "x-kv-backup",
        "x-private",
      ]
    ) {
      expect(seen!.headers).not.toHaveProperty(name);
    }
    const leftMs = Number(seen!.headers["x-timeout-ms"]);
    expect(leftMs).toBeGreaterThan(1_000);
    expect(leftMs).toBeLessThanOrEqual(2_000);
    expect(answer).toMatchObject({ status: 200, isWhole: true });
    expect(answer.headers).toMatchObject({
      "x-request-id": "request-a",
      "x-response-seal": "seal",
    });
  });

  // Guards against a VM that takes an answer without a length for a broken one:
  // a replica may end an answer by closing the connection.
  it("gets an answer that its replica delimits by closing", async () => {
    const fleet = await PlatformFleet.create();
    for (const replica of fleet.replicas) replica.mode = "close_delimited";
    const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
    expect(answer).toMatchObject({
      status: 200,
      isWhole: true,
      body: CLOSE_DELIMITED_BODY,
    });
  });

  // Guards against work for callers that have disconnected. While a VM is delayed,
  // a caller sends a request and closes its connection; the VM then reads both at
  // once and must not forward the request before it has seen the close.
  it("is not forwarded if its caller has already disconnected", async () => {
    const fleet = await PlatformFleet.create();
    const [address, port] = fleet.vms[0]!.settings.listeners.callers.split(":");
    for (let index = 0; index < 20; index++) {
      const socket = net.connect(Number(port), address);
      await once(socket, "connect");
      socket.write(
        `GET /safe/x HTTP/1.1\r\nhost: ${HOST}\r\n` +
          `authorization: Bearer ${KEY}\r\nx-request-id: left-${index}\r\n` +
          "x-timeout-ms: 2000\r\n\r\n",
      );
      socket.destroy();
      await once(socket, "close");
    }
    const answer = await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
    expect(answer.status).toBe(200);
    expect(fleet.replicas.flatMap(({ seen }) => seen)).toHaveLength(1);
  });

  // Guards against a replica that runs another target than the caller's: an empty
  // query is part of it.
  it("keeps a question mark at the end of its target", async () => {
    const fleet = await PlatformFleet.create();
    await sendRequest(fleet.vms[0]!, { path: "/safe/x?" });
    const [seen] = fleet.replicas.flatMap(({ ran }) => ran);
    expect(seen!.path).toBe("/safe/x?");
  });

  it("is refused without a matching route, key or configuration", async () => {
    const fleet = await PlatformFleet.create();
    const [vm] = fleet.vms;
    const unrouted = await sendRequest(vm!, { path: "/unknown/x" });
    expect(unrouted.status).toBe(404);
    const headers = { authorization: "Bearer wrong" };
    const unknown = await sendRequest(vm!, { path: "/safe/x", headers });
    expect(unknown.status).toBe(401);
    expect(fleet.replicas.flatMap(({ seen }) => seen)).toEqual([]);
    // A VM without a configuration cannot tell that a key is wrong.
    fleet.store.mode = "silent";
    const unread = await PlatformFleet.create({ vms: 0 });
    unread.store.mode = "silent";
    const late = await unread.addVm({ isAwaited: false });
    const early = await sendRequest(late, { path: "/safe/x" });
    expect(early.status).toBe(503);
    expect(Number(early.headers["retry-after"])).toBeGreaterThan(0);
  });

  // Guards against answers that reach another caller: a replica sends a late
  // second answer on a keep-alive connection, where the next request would take
  // it for its own unless the request id is checked.
  for (const mode of ["other_id", "no_id"] as const) {
    it(`does not get the answer of another request: ${mode}`, async () => {
      const fleet = await PlatformFleet.create();
      fleet.replicas.forEach((replica) => replica.mode = mode);
      const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
      expect(answer.status).toBe(502);
      expect(answer.headers).not.toHaveProperty("x-response-seal");
    });
  }

  for (const mode of ["extra", "extra_late", "page_late"] as const) {
    // Guards against the same failure if a keep-alive connection carries an
    // unsolicited answer, either while idle or before the next answer.
    it(`gets its own answer if a replica sends another: ${mode}`, async () => {
      const fleet = await PlatformFleet.create();
      fleet.replicas.forEach((replica) => replica.mode = mode);
      for (let index = 0; index < 8; index++) {
        const headers = { "x-request-id": `own-${index}` };
        const answer = await sendRequest(fleet.vms[0]!, {
          path: "/safe/x",
          headers,
        });
        expect(answer.body).not.toContain("extra");
        if (answer.status !== 200) continue;
        expect(answer.headers["x-request-id"]).toBe(`own-${index}`);
      }
    });
  }

  // Guards against a replica that reads the next request as part of a body. It
  // answers before it has read a long body; the rest of the body must be sent
  // before the next request on that connection.
  it("is sent completely if its replica answers early", async () => {
    const fleet = await PlatformFleet.create({ replicas: 0, vms: 0 });
    const bodies: number[] = [];
    const { port } = await startServer((request, response) => {
      let length = 0;
      request.on("data", (chunk) => length += chunk.length);
      request.on("end", () => bodies.push(length));
      response.writeHead(200, {
        "x-request-id": request.headers["x-request-id"],
        "x-response-seal": "seal",
        "content-length": 2,
      });
      response.end("ok");
    });
    fleet.listReplica({ id: "i-early", port });
    const vm = await fleet.addVm();
    const body = "x".repeat(60_000);
    for (let index = 0; index < 4; index++) {
      const answer = await sendRequest(vm, { path: "/safe/x", body });
      expect(answer.status).toBe(200);
    }
    await waitUntil(() => bodies.length >= 4);
    expect(bodies).toEqual([60_000, 60_000, 60_000, 60_000]);
  });

  it("does not get an unsigned success", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "unsigned");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
    expect(answer.status).toBe(502);
  });

  // Guards against replicas that work for disconnected callers: the close of the
  // caller's connection must cancel the request at the replica.
  it("is cancelled at its replica if its caller disconnects", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "hang");
    const caller = new AbortController();
    const answered = sendRequest(fleet.vms[0]!, {
      path: "/safe/x",
      signal: caller.signal,
    });
    const listRan = () => fleet.replicas.flatMap(({ ran }) => ran);
    await waitUntil(() => listRan().length > 0);
    caller.abort();
    await answered;
    const listCancelled = () =>
      fleet.replicas.flatMap(({ cancelled }) => cancelled);
    await waitUntil(() => listCancelled().length > 0);
    expect(listRan()).toHaveLength(1);
  });

  it("is answered with 504 at its timeout", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "hang");
    const startedAt = performance.now();
    const answer = await sendRequest(fleet.vms[0]!, {
      path: "/unsafe/x",
      timeoutMs: 400,
    });
    expect(answer.status).toBe(504);
    expect(performance.now() - startedAt).toBeLessThan(900);
  });

  it("is refused with 413 if its body is too large", async () => {
    const fleet = await PlatformFleet.create();
    const body = "x".repeat(65_537);
    const answer = await sendRequest(fleet.vms[0]!, { path: "/safe/x", body });
    expect(answer.status).toBe(413);
  });

  it("accepts a lower-case bearer scheme; directory and readiness answer", async () => {
    const fleet = await PlatformFleet.create();
    const headers = { authorization: `bearer ${KEY}` };
    const answer = await sendRequest(fleet.vms[0]!, {
      path: "/safe/x",
      headers,
    });
    expect(answer.status).toBe(200);
    const { directory, readiness } = fleet.vms[0]!.settings.listeners;
    const method = "GET";
    const entries = await sendCall(directory, { path: "/api/resolve", method });
    expect(JSON.parse(entries.body)).toEqual({
      addresses: [fleet.vms[0]!.settings.listeners.callers],
      "ttl-s": 0.1,
    });
    const ready = await sendCall(readiness, { path: "/api/ready", method });
    expect(ready.status).toBe(200);
  });
});
