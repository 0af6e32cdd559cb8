import { once } from "node:events";
import http from "node:http";
import { expect, it, vi } from "vitest";
import { DEFAULT_CALLER_LIMITS } from "../../src/connection/caller_listener.ts";
import { HttpServer } from "../../src/connection/http_server.ts";
import { SilentLog } from "../../src/process/log.ts";

const ADDRESS = "127.0.0.1";
/** More than the kernel takes of an answer that nobody reads. */
const ANSWER_BYTES = 16 * 1024 * 1024;

// Guards against answers that a stop cuts off because they are ended, though
// their callers have not read all of them yet.
it("a stop waits until answers have been written", async () => {
  let ended = () => {};
  const isEnded = new Promise<void>((resolve) => ended = resolve);
  const server = HttpServer.create({
    name: "test",
    log: SilentLog.create(),
    limits: DEFAULT_CALLER_LIMITS,
    handle: (_request, response) => {
      response.end(Buffer.alloc(ANSWER_BYTES));
      ended();
      return Promise.resolve();
    },
  });
  await server.start(ADDRESS, 0);
  const request = http.get({
    host: ADDRESS,
    port: server.port,
    agent: new http.Agent({ keepAlive: true }),
  });
  const [answer] = await once(request, "response") as [http.IncomingMessage];
  await isEnded;
  const stopped = server.stop();
  let read = 0;
  answer.on("data", (chunk: Buffer) => read += chunk.length);
  answer.on("error", () => {});
  await once(answer, "close");
  expect(read).toBe(ANSWER_BYTES);
  await stopped;
  await vi.waitFor(() => expect(server.connections).toBe(0));
});
