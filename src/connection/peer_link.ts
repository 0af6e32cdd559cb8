/**
 * tRPC's last link: one call over Node's own HTTP.
 *
 * tRPC's `httpLink` goes through the fetch API's shapes and two abort signals
 * for each call; this link speaks the same protocol at a fraction of the cost.
 *
 * @module
 */
import type { SocketAddress } from "./endpoint.ts";
import type { Agent, ClientRequest, IncomingMessage } from "node:http";
import http from "node:http";
import https from "node:https";
import type { TRPCLink } from "@trpc/client";
import { TRPCClientError } from "@trpc/client";
import { observable } from "@trpc/server/observable";
import { toError } from "../errors.ts";
import type { Clock } from "../process/clock.ts";
import type { PeerRouter } from "./peer_router.ts";

const MAX_ANSWER_BYTES = 33_554_432;
const UNAUTHORIZED = 401;

/** What calls go out on. */
export interface PeerLinkOptions {
  clock: Clock;
  agent: Agent;
  endpoint: SocketAddress;
  headers: Record<string, string>;
  /** Options for TLS; undefined for plain TCP. */
  tls: { ca: string; servername: string } | undefined;
  /** Called when a call passed its deadline. */
  onLate: () => void;
}

/** What `PeerLink` reads from a call's tRPC context. */
export interface PeerCallContext extends Record<string, unknown> {
  /** Milliseconds for the whole call. */
  deadlineMs: number;
}

/** A call that passed its deadline. */
export class PeerDeadlineError extends Error {
  constructor() {
    super("VM did not answer in time");
    this.name = "PeerDeadlineError";
  }
}

/**
 * Sends each call in a request of its own. A call past its deadline has its
 * connection destroyed, not only its answer given up: a connection that went
 * silent would otherwise go back among the kept ones.
 */
export function createPeerLink(
  options: PeerLinkOptions,
): TRPCLink<PeerRouter> {
  return () => ({ op }) =>
    observable((observer) => {
      const { deadlineMs } = op.context as PeerCallContext;
      const request = openRequest(op.path, options);
      const cancelTimer = options.clock.startTimer(deadlineMs, () => {
        options.onLate();
        request.destroy(new PeerDeadlineError());
      });
      const fail = (thrown: unknown) => {
        cancelTimer();
        request.destroy();
        observer.error(TRPCClientError.from(toError(thrown)));
      };
      request.on("error", fail);
      request.on("response", (message) => {
        if (message.statusCode === UNAUTHORIZED) {
          fail(new Error("VM refused the credential"));
          return;
        }
        readAnswer(message, fail, {
          onText: (text) => {
            cancelTimer();
            try {
              const data = parseResult(text);
              observer.next({ result: { type: "data", data } });
              observer.complete();
            } catch (thrown) {
              fail(thrown);
            }
          },
        });
      });
      sendInput(request, op.input);
      return () => cancelTimer();
    });
}

function openRequest(path: string, options: PeerLinkOptions): ClientRequest {
  const { agent, endpoint, headers, tls } = options;
  const settings = {
    agent,
    host: endpoint.address,
    port: endpoint.port,
    method: "POST",
    path: `/${path}`,
    headers,
  };
  return tls === undefined
    ? http.request(settings)
    : https.request({ ...settings, ...tls });
}

function sendInput(request: ClientRequest, input: unknown): void {
  const text = input === undefined ? "" : JSON.stringify(input);
  request.setHeader("content-length", Buffer.byteLength(text));
  request.end(text);
}

function readAnswer(
  message: IncomingMessage,
  onError: (thrown: unknown) => void,
  options: { onText: (text: string) => void },
): void {
  const chunks: Buffer[] = [];
  let length = 0;
  message.on("data", (chunk: Buffer) => {
    length += chunk.length;
    if (length <= MAX_ANSWER_BYTES) chunks.push(chunk);
    else message.destroy(new Error("Answer is too large"));
  });
  message.on("error", onError);
  message.on("end", () => options.onText(Buffer.concat(chunks).toString()));
}

/** The data of a whole answer; throws what the other side told of. */
function parseResult(text: string): unknown {
  const answer = JSON.parse(text);
  if (answer.result !== undefined) return answer.result.data;
  throw new Error(String(answer.error?.message ?? "Answer is not tRPC's"));
}
