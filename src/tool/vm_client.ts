/**
 * Calls of the tool to one VM.
 *
 * @module
 */
import type { z } from "zod";
import {
  buildRefusedError,
  type HttpAnswer,
  type HttpCall,
  isSuccess,
  sendCall,
} from "./http_client.ts";
import { EXIT_UNREACHABLE, ToolError } from "./tool_error.ts";

const SILENCE_MS = 10_000;
const NOT_FOUND = 404;

/** How a VM is reached. */
export interface VmClientOptions {
  url: URL;
  /** Sent as a bearer token. */
  token?: string | undefined;
  ca?: string | undefined;
}

/** A VM's operator or callers' listener. */
export class VmClient {
  readonly #options: VmClientOptions;

  constructor(options: VmClientOptions) {
    this.#options = options;
  }

  static create(options: VmClientOptions): VmClient {
    return new VmClient(options);
  }

  /** Rejects with a `ToolError` unless the answer is a success of the shape. */
  async fetch<T>(path: string, shape: z.ZodType<T>): Promise<T> {
    return await this.#send(this.#buildCall("GET", path), shape);
  }

  /** As `fetch`, but undefined where the VM knows nothing of it. */
  async find<T>(path: string, shape: z.ZodType<T>): Promise<T | undefined> {
    const call = this.#buildCall("GET", path);
    const answer = await sendCall(call);
    if (answer.status === NOT_FOUND) return undefined;
    return parseAnswer(call, answer, shape);
  }

  /** Sends an order without a body. */
  async send<T>(path: string, shape: z.ZodType<T>): Promise<T> {
    return await this.#send(this.#buildCall("POST", path), shape);
  }

  async #send<T>(call: HttpCall, shape: z.ZodType<T>): Promise<T> {
    return parseAnswer(call, await sendCall(call), shape);
  }

  #buildCall(method: string, path: string): HttpCall {
    const { url, token, ca } = this.#options;
    return {
      method,
      url: new URL(path, url),
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      silenceMs: SILENCE_MS,
      ...(ca !== undefined && { ca }),
    };
  }
}

function parseAnswer<T>(
  call: HttpCall,
  answer: HttpAnswer,
  shape: z.ZodType<T>,
): T {
  if (!isSuccess(answer.status)) throw buildRefusedError(call, answer);
  const result = shape.safeParse(parseJson(answer.body));
  if (result.success) return result.data;
  throw new ToolError(
    `${call.url.host} gave an answer of another form to ${call.url.pathname}`,
    {
      exitCode: EXIT_UNREACHABLE,
      step: "read_answer",
      peer: call.url.host,
      hint: "The address may be of another listener, or of another release",
    },
  );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
