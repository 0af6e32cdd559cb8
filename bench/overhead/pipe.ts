/**
 * The baseline of the overhead benchmark: a bare Node HTTP proxy to one
 * upstream. `node --import tsx bench/overhead/pipe.ts UPSTREAM_PORT` prints its
 * port.
 *
 * @module
 */
import http from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";

const HOST = "127.0.0.1";

startPipe(Number(process.argv[2]));

function startPipe(upstreamPort: number): void {
  const agent = new http.Agent({ keepAlive: true });
  const server = http.createServer((incoming, response) => {
    const outgoing = http.request({
      host: HOST,
      port: upstreamPort,
      method: incoming.method,
      path: incoming.url,
      headers: incoming.headers,
      agent,
    }, (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.headers);
      answer.pipe(response);
    });
    outgoing.on("error", () => response.destroy());
    response.on("close", () => outgoing.destroy());
    incoming.pipe(outgoing);
  });
  server.listen(0, HOST, () => {
    const { port } = server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ port })}\n`);
  });
  process.once("SIGTERM", () => process.exit(0));
}
