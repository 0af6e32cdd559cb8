/**
 * HTTP client of the tool, based on `node:http`.
 *
 * @module
 */
import { Agent as HttpAgent, type IncomingMessage, request } from "node:http";
import { Agent as HttpsAgent, request as requestTls } from "node:https";
import { toError } from "../errors.ts";
import { EXIT_UNREACHABLE, EXIT_USAGE, ToolError } from "./tool_error.ts";

const MAX_ANSWER_BYTES = 64 * 1_024 * 1_024;
const MAX_SHOWN_CHARACTERS = 300;
const OK_STATUSES = { from: 200, to: 299 };

/** One HTTP call. */
export interface HttpCall {
  method: string;
  url: URL;
  headers: Record<string, string>;
  body?: string;
  /** Silence on the connection after which the call fails. */
  idleTimeoutMs: number;
  /** PEM text of the CA to trust, for https. */
  ca?: string;
  /** Pool of connections to reuse. */
  agent?: HttpAgent | HttpsAgent;
}

/** A complete answer. */
export interface HttpAnswer {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/**
 * Sends a call; resolves when the headers of the answer have arrived. Rejects
 * with a `ToolError`.
 */
export function openAnswer(call: HttpCall): Promise<IncomingMessage> {
  const send = call.url.protocol === "https:" ? requestTls : request;
  return new Promise((resolve, reject) => {
    const outgoing = send(call.url, {
      method: call.method,
      headers: call.headers,
      timeout: call.idleTimeoutMs,
      ...(call.ca !== undefined && { ca: call.ca }),
      ...(call.agent !== undefined && { agent: call.agent }),
    });
    // Without this time-out, the tool would hang without a message if the
    // connection stays open but silent.
    outgoing.on("timeout", () => {
      outgoing.destroy(new Error(`Silent for ${call.idleTimeoutMs} ms`));
    });
    outgoing.on("error", (error) => reject(toUnreachableError(call, error)));
    outgoing.on("response", resolve);
    outgoing.end(call.body);
  });
}

/** Sends a call and reads the complete answer. Rejects with a `ToolError`. */
export async function sendCall(call: HttpCall): Promise<HttpAnswer> {
  const incoming = await openAnswer(call);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
      size += (chunk as Buffer).length;
      if (size > MAX_ANSWER_BYTES) throw new Error("Answer is too large");
    }
  } catch (thrown) {
    throw toUnreachableError(call, toError(thrown));
  }
  return {
    status: incoming.statusCode ?? 0,
    headers: toPlainHeaders(incoming),
    body: Buffer.concat(chunks).toString("utf8"),
  };
}

/** Converts the headers of an answer to one string each. */
function toPlainHeaders(
  incoming: IncomingMessage,
): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}

/** Whether an HTTP status indicates success. */
export function isSuccess(status: number): boolean {
  return status >= OK_STATUSES.from && status <= OK_STATUSES.to;
}

/** Parses the URL given for an option. Throws a `ToolError`. */
export function parseUrl(text: string | undefined, option: string): URL {
  const variable = `PERSIMMONSLIP_${option.toUpperCase().replaceAll("-", "_")}`;
  if (text === undefined || text === "") {
    throw new ToolError(`Address is missing`, {
      exitCode: EXIT_USAGE,
      step: "read_arguments",
      hint: `Use --${option} http://ADDRESS:PORT or set ${variable}`,
    });
  }
  const url = URL.canParse(text) ? new URL(text) : undefined;
  if (url?.protocol === "http:" || url?.protocol === "https:") return url;
  throw new ToolError(`Expected an http or https URL, not ${text}`, {
    exitCode: EXIT_USAGE,
    step: "read_arguments",
    hint: `Use --${option} http://ADDRESS:PORT`,
  });
}

/** Whether a call failed because nothing listens at its address. */
export function isConnectionRefused(thrown: unknown): boolean {
  if (!(thrown instanceof ToolError)) return false;
  const cause = thrown.cause() as NodeJS.ErrnoException | undefined;
  return cause?.code === "ECONNREFUSED";
}

/** Builds the error for a refused call, with the message of its JSON body. */
export function buildRefusedError(
  call: { url: URL },
  answer: HttpAnswer,
): ToolError {
  const isTokenRefused = answer.status === 401 || answer.status === 403;
  return new ToolError(
    `${call.url.host} answered ${answer.status}: ${readMessage(answer.body)}`,
    {
      exitCode: EXIT_UNREACHABLE,
      step: "call",
      peer: call.url.host,
      ...(isTokenRefused && {
        hint: "Check --token, or PERSIMMONSLIP_TOKEN, against the VM's " +
          "setting listeners.operators.token",
      }),
    },
  );
}

function readMessage(body: string): string {
  try {
    const error = JSON.parse(body)?.error;
    if (typeof error?.message === "string") return error.message;
  } catch {
    // Not a JSON error body; its text is shown unchanged.
  }
  return body.slice(0, MAX_SHOWN_CHARACTERS) || "an empty answer";
}

function toUnreachableError(call: HttpCall, error: Error): ToolError {
  const { host } = call.url;
  return new ToolError(`${host} cannot be reached`, {
    exitCode: EXIT_UNREACHABLE,
    step: "call",
    peer: host,
    cause: error,
    hint: "Check that the address is that of the right listener and that " +
      "the VM is running",
  });
}
