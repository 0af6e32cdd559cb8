/**
 * The configuration service as a source, over HTTP on loopback.
 *
 * @module
 */
import http from "node:http";
import type { AddressInfo } from "node:net";
import { describe, expect, it, onTestFinished } from "vitest";
import { ServiceSource } from "../../src/process/configuration_service_source.ts";
import { MAX_VALUE_BYTES } from "../../src/process/configuration_source.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

const NEVER = new AbortController().signal;
const WAIT_MS = 5_000;

type Answer = (path: string, response: http.ServerResponse) => void;

/** Starts a service on loopback; `paths` records the requested paths. */
async function startService(
  answer: Answer,
): Promise<{ url: string; paths: string[] }> {
  const paths: string[] = [];
  const server = http.createServer((request, response) => {
    paths.push(request.url!);
    answer(request.url!, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, paths };
}

function sendJson(response: http.ServerResponse, value: unknown): void {
  response.end(JSON.stringify(value));
}

const sendNothingNew: Answer = (_, response) => {
  response.statusCode = 304;
  response.end();
};

const sendSilence: Answer = () => {};

function sendIndex(version: number): Answer {
  return (_, response) => sendJson(response, { version, groups: { a: 1 } });
}

async function createSource(answers: Answer[]) {
  const services = await Promise.all(answers.map(startService));
  const clock = VirtualClock.create();
  const urls = services.map(({ url }) => url);
  return { source: ServiceSource.create({ urls, clock }), clock, services };
}

describe("ServiceSource", () => {
  it("sends its version and reads the index", async () => {
    const { source, services } = await createSource([sendIndex(8)]);
    const index = await source.fetchIndex(7, WAIT_MS, NEVER);
    expect(index).toEqual({ version: 8, groups: new Map([["a", 1]]) });
    expect(services[0]!.paths).toEqual([
      "/v1/values/index?after=7&wait_ms=5000",
    ]);
  });

  it("ignores an index that is older than requested", async () => {
    const { source } = await createSource([sendIndex(6)]);
    expect(await source.fetchIndex(7, WAIT_MS, NEVER)).toBeUndefined();
  });

  it("returns the newer version if another address is stale", async () => {
    const { source } = await createSource([sendNothingNew, sendIndex(8)]);
    const index = await source.fetchIndex(7, WAIT_MS, NEVER);
    expect(index?.version).toBe(8);
  });

  it("returns the newer version if another address is silent", async () => {
    const { source } = await createSource([sendSilence, sendIndex(8)]);
    const index = await source.fetchIndex(7, WAIT_MS, NEVER);
    expect(index?.version).toBe(8);
  });

  it("times out on a silent connection", async () => {
    // If the connection goes silent after the request, TCP reports no failure
    // while nothing is sent. Without a deadline the long poll never ends, and
    // the VM stays on an old version.
    let onRequest = () => {};
    const requested = new Promise<void>((resolve) => onRequest = resolve);
    const { source, clock } = await createSource([() => onRequest()]);
    const read = source.fetchIndex(7, WAIT_MS, NEVER).catch((error) => error);
    await requested;
    let isOver = false;
    void read.then(() => isOver = true);
    await clock.run(WAIT_MS + 1_900);
    expect(isOver).toBe(false);
    await clock.run(200);
    expect((await read).message).toContain("The service failed");
  });

  it("rejects a value larger than 1 MiB", async () => {
    const { source } = await createSource([(_, response) => {
      response.end(Buffer.alloc(MAX_VALUE_BYTES + 1, 32));
    }]);
    await expect(source.fetchGroup("a", 1)).rejects.toThrow();
  });

  it("rejects a truncated response", async () => {
    const { source } = await createSource([(_, response) => {
      response.writeHead(200, { "content-length": "1000" });
      response.write('{"records": [');
      setImmediate(() => response.destroy());
    }]);
    await expect(source.fetchGroup("a", 1)).rejects.toThrow();
  });

  it("rejects a malformed index", async () => {
    for (const body of ["[]", "{", '{"version": "8", "groups": {}}']) {
      const { source } = await createSource([(_, response) => {
        response.end(body);
      }]);
      await expect(source.fetchIndex(0, 0, NEVER)).rejects.toThrow();
    }
  });

  it("reads groups from the address of the index, else from another", async () => {
    const sendGroup: Answer = (path, response) =>
      path.includes("groups")
        ? sendJson(response, { records: [{ kind: "tier" }] })
        : sendNothingNew(path, response);
    const loseGroups: Answer = (path, response) => {
      if (path.includes("index")) return sendIndex(8)(path, response);
      response.statusCode = 500;
      response.end();
    };
    const { source, services } = await createSource([sendGroup, loseGroups]);
    await source.fetchIndex(7, WAIT_MS, NEVER);
    expect(await source.fetchGroup("a", 1)).toEqual([{ kind: "tier" }]);
    expect(services[1]!.paths).toContain("/v1/values/groups/a/1");
  });

  it("fails only if every address fails", async () => {
    const refuse: Answer = (_, response) => response.destroy();
    const one = await createSource([refuse, sendNothingNew]);
    expect(await one.source.fetchMembership(1, 0, NEVER)).toBeUndefined();
    const all = await createSource([refuse, refuse]);
    await expect(all.source.fetchMembership(1, 0, NEVER)).rejects.toThrow();
  });
});
