/**
 * One streamed completion of a load run.
 *
 * @module
 */
import type { Agent as HttpAgent } from "node:http";
import type { Agent as HttpsAgent } from "node:https";
import { createParser } from "eventsource-parser";
import { toError } from "../errors.ts";
import type { Clock } from "../process/clock.ts";
import { isSuccess, openAnswer } from "./http_client.ts";
import type { LoadOutcome } from "./load_report.ts";

const STREAM_END_MARKER = "[DONE]";
const MAX_REFUSAL_BYTES = 65_536;

/** Parameters of one request. */
export interface LoadRequest {
  /** URL of an entry VM. */
  url: URL;
  key: string;
  className: string;
  model: string;
  prompt: string;
  maxTokens: number;
  idleTimeoutMs: number;
  ca?: string | undefined;
  agent: HttpAgent | HttpsAgent;
}

/** Sends one request and reads its stream to the end; never rejects. */
export async function runLoadRequest(
  clock: Clock,
  request: LoadRequest,
): Promise<LoadOutcome> {
  const startedAt = clock.now();
  let tokens = 0;
  let firstTokenMs: number | undefined;
  let hasEnded = false;
  const parser = createParser({
    onEvent(event) {
      if (event.data === STREAM_END_MARKER) {
        hasEnded = true;
        return;
      }
      if (!hasToken(event.data)) return;
      firstTokenMs ??= clock.now() - startedAt;
      tokens++;
    },
  });
  try {
    const incoming = await openAnswer(buildCall(request));
    if (!isSuccess(incoming.statusCode ?? 0)) {
      return { kind: "refused", cause: await readCode(incoming), tokens };
    }
    const decoder = new TextDecoder();
    for await (const chunk of incoming) {
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
    }
  } catch (thrown) {
    return { kind: "broken", cause: toError(thrown).message, tokens };
  }
  if (!hasEnded) return { kind: "broken", cause: "stream cut", tokens };
  const totalMs = clock.now() - startedAt;
  return {
    kind: "answered",
    totalMs,
    tokens,
    ...(firstTokenMs !== undefined && { firstTokenMs }),
  };
}

function buildCall(request: LoadRequest) {
  const body = JSON.stringify({
    model: request.model,
    stream: true,
    max_tokens: request.maxTokens,
    messages: [{ role: "user", content: request.prompt }],
  });
  return {
    method: "POST",
    url: new URL("/v1/chat/completions", request.url),
    headers: {
      authorization: `Bearer ${request.key}`,
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
      "x-request-class": request.className,
    },
    body,
    idleTimeoutMs: request.idleTimeoutMs,
    agent: request.agent,
    ...(request.ca !== undefined && { ca: request.ca }),
  };
}

/** Whether an event contains text; the first event often has only the role. */
function hasToken(data: string): boolean {
  try {
    const choice = JSON.parse(data)?.choices?.[0];
    return Boolean(choice?.delta?.content ?? choice?.text);
  } catch {
    return false;
  }
}

async function readCode(
  incoming: AsyncIterable<Buffer> & { statusCode?: number | undefined },
): Promise<string> {
  let text = "";
  for await (const chunk of incoming) {
    text += chunk.toString("utf8");
    if (text.length > MAX_REFUSAL_BYTES) break;
  }
  try {
    const code = JSON.parse(text)?.error?.code;
    if (typeof code === "string") return code;
  } catch {
    // Not an error body of the router; the status is reported instead.
  }
  return `status ${incoming.statusCode}`;
}
