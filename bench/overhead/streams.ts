/**
 * Callers of the overhead benchmark: timed streams over Node's HTTP client.
 *
 * @module
 */
import http from "node:http";
import { performance } from "node:perf_hooks";

const HOST = "127.0.0.1";

/** Destination of a stream. */
export interface StreamTarget {
  port: number;
  model: string;
  /** API key; undefined for an engine, which needs none. */
  key: string | undefined;
}

/** Figures of one stream. */
export interface StreamFigures {
  /** Time from sending the request to the first token, in milliseconds. */
  firstTokenMs: number;
  totalMs: number;
  bytes: number;
}

/** Opens streams on keep-alive connections. */
export class StreamCaller {
  readonly #agent = new http.Agent({ keepAlive: true });

  static create(): StreamCaller {
    return new StreamCaller();
  }

  /** Runs one stream of `tokens` to its end; rejects if it is incomplete. */
  run(target: StreamTarget, tokens: number): Promise<StreamFigures> {
    return new Promise((resolve, reject) => {
      const startedAt = performance.now();
      const request = this.#open(target, tokens, (answer) => {
        let firstTokenMs = 0;
        let bytes = 0;
        let tail = "";
        answer.on("data", (chunk: Buffer) => {
          if (firstTokenMs === 0 && chunk.includes('"content":"')) {
            firstTokenMs = performance.now() - startedAt;
          }
          bytes += chunk.length;
          tail = (tail + chunk.toString("latin1")).slice(-32);
        });
        answer.on("error", reject);
        answer.on("end", () => {
          if (answer.statusCode !== 200 || !tail.includes("[DONE]")) {
            reject(
              new Error(
                `Stream is incomplete: status ${answer.statusCode}, end ${tail}`,
              ),
            );
            return;
          }
          const totalMs = performance.now() - startedAt;
          resolve({ firstTokenMs, totalMs, bytes });
        });
      });
      request.on("error", reject);
    });
  }

  /**
   * Opens a stream; resolves with a function that closes it once the response
   * has started.
   */
  open(target: StreamTarget, tokens: number): Promise<() => void> {
    return new Promise((resolve, reject) => {
      const request = this.#open(target, tokens, (answer) => {
        answer.on("error", () => {});
        answer.resume();
        if (answer.statusCode === 200) resolve(() => request.destroy());
        else reject(new Error(`Refused: status ${answer.statusCode}`));
      });
      request.on("error", reject);
    });
  }

  close(): void {
    this.#agent.destroy();
  }

  #open(
    target: StreamTarget,
    tokens: number,
    onAnswer: (answer: http.IncomingMessage) => void,
  ): http.ClientRequest {
    const body = JSON.stringify({
      model: target.model,
      stream: true,
      max_tokens: tokens,
      messages: [{ role: "user", content: `[[tokens=${tokens}]] hello` }],
    });
    const request = http.request({
      host: HOST,
      port: target.port,
      method: "POST",
      path: "/v1/chat/completions",
      agent: this.#agent,
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...(target.key && { authorization: `Bearer ${target.key}` }),
      },
    }, onAnswer);
    request.end(body);
    return request;
  }
}
