/**
 * Stand-in for a replica that answers with documents.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import { sleep } from "./case.js";

/** The last part of a document is sent in pieces of this size. */
export const PIECE_BYTES = 4_096;
/** Time between them. */
const PIECE_GAP_MS = 2;

/** A replica of the portal: sends documents of the size that the path says. */
export class DocumentReplica {
  #options;
  #server = http.createServer((request, response) => {
    void this.#handleRequest(request, response);
  });

  constructor(options) {
    this.#options = options;
  }

  static create(options) {
    return new DocumentReplica(options);
  }

  start(address, port) {
    return new Promise((resolve) =>
      this.#server.listen(port, address, () => resolve())
    );
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handleRequest({ headers, method, url }, response) {
    const { id: replica, onRun, document } = this.#options;
    const id = headers["x-request-id"];
    if (id === undefined) {
      const status = url === "/health" ? 200 : 400;
      response.writeHead(status, {
        "x-instance-id": replica,
        ...(status === 200 ? {} : { "x-not-executed": "1" }),
      });
      return response.end();
    }
    if (headers["x-expect-instance"] !== replica) {
      response.writeHead(421, { "x-instance-id": replica });
      return response.end();
    }
    onRun({ replica, id, method, url, headers });
    const bytes = Number(url.split("/").at(-1));
    response.writeHead(200, {
      "x-request-id": id,
      "x-response-seal": `seal.${id}`,
      "content-length": bytes,
    });
    await writePart(response, document.firstBytes);
    for (let sent = document.firstBytes; sent < bytes; sent += PIECE_BYTES) {
      if (response.destroyed) return;
      await writePart(response, Math.min(PIECE_BYTES, bytes - sent));
      await sleep(PIECE_GAP_MS);
    }
    response.end();
  }
}

async function writePart(response, bytes) {
  if (response.write(Buffer.alloc(bytes, "x"))) return;
  await new Promise((resolve) => {
    response.once("drain", resolve);
    response.once("close", resolve);
  });
}
