/**
 * HTTP client for the listeners of one VM.
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

const IDLE_TIMEOUT_MS = 10_000;
const STATUS_NOT_FOUND = 404;

/** Options for connecting to a VM. */
export interface VmClientOptions {
  url: URL;
  /** Sent as a bearer token. */
  token?: string | undefined;
  ca?: string | undefined;
}

/** Client of a VM's operators' or callers' listener. */
export class VmClient {
  readonly #options: VmClientOptions;

  constructor(options: VmClientOptions) {
    this.#options = options;
  }

  static create(options: VmClientOptions): VmClient {
    return new VmClient(options);
  }

  /**
   * Sends a GET request. Rejects with a `ToolError` unless it succeeds and the
   * answer matches the schema.
   */
  async fetch<T>(path: string, schema: z.ZodType<T>): Promise<T> {
    return await this.#send(this.#buildCall("GET", path), schema);
  }

  /** Like `fetch`, but resolves with undefined for status 404. */
  async find<T>(path: string, schema: z.ZodType<T>): Promise<T | undefined> {
    const call = this.#buildCall("GET", path);
    const answer = await sendCall(call);
    if (answer.status === STATUS_NOT_FOUND) return undefined;
    return parseAnswer(call, answer, schema);
  }

  /** Sends a POST request without a body. */
  async send<T>(path: string, schema: z.ZodType<T>): Promise<T> {
    return await this.#send(this.#buildCall("POST", path), schema);
  }

  async #send<T>(call: HttpCall, schema: z.ZodType<T>): Promise<T> {
    return parseAnswer(call, await sendCall(call), schema);
  }

  #buildCall(method: string, path: string): HttpCall {
    const { url, token, ca } = this.#options;
    return {
      method,
      url: new URL(path, url),
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      ...(ca !== undefined && { ca }),
    };
  }
}

function parseAnswer<T>(
  call: HttpCall,
  answer: HttpAnswer,
  schema: z.ZodType<T>,
): T {
  if (!isSuccess(answer.status)) throw buildRefusedError(call, answer);
  const result = schema.safeParse(parseJson(answer.body));
  if (result.success) return result.data;
  throw new ToolError(
    `${call.url.host} sent an answer in an unexpected format for ${call.url.pathname}`,
    {
      exitCode: EXIT_UNREACHABLE,
      step: "read_answer",
      peer: call.url.host,
      hint:
        "The address may be that of another listener, or the VM may run another release",
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
