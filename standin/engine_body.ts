/**
 * Converts a call in the OpenAI format to a stand-in engine's request.
 *
 * @module
 */
import { z } from "zod";
import type { EngineRequest } from "./engine_run.ts";

const DEFAULT_MAX_TOKENS = 4096;
const DEFAULT_PRIORITY = 100;

/** One call to an engine, independent of the transport. */
export interface EngineCall {
  method: string;
  /** Path and query. */
  path: string;
  /** Header names are in lower case. */
  headers: Record<string, string>;
  body: Uint8Array;
}

/** Format of the answer. */
export interface AnswerShape {
  isChat: boolean;
  isStreamed: boolean;
  includeUsage: boolean;
}

/** A validated completion call. */
export interface CompletionCall {
  request: EngineRequest;
  shape: AnswerShape;
}

const CONTENT = z.union([
  z.string(),
  z.array(z.object({ type: z.string(), text: z.string().optional() })),
]);

const COMMON = {
  model: z.string(),
  stream: z.boolean().optional(),
  stream_options: z.object({ include_usage: z.boolean().optional() })
    .nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  resume_text: z.string().optional(),
};

const CHAT_BODY = z.object({
  ...COMMON,
  messages: z.array(z.object({ role: z.string(), content: CONTENT })).min(1),
});

const TEXT_BODY = z.object({ ...COMMON, prompt: z.string() });

type Message = z.infer<typeof CHAT_BODY>["messages"][number];

/** Parses a completion call; throws if it is malformed. */
export function parseCompletionCall(call: EngineCall): CompletionCall {
  const isChat = call.path.startsWith("/v1/chat/");
  const json: unknown = JSON.parse(new TextDecoder().decode(call.body));
  const body = (isChat ? CHAT_BODY : TEXT_BODY).parse(json);
  const prompt = "prompt" in body
    ? body.prompt
    : formatChatPrompt(body.messages);
  const request: EngineRequest = {
    requestId: call.headers["x-request-id"] ?? "",
    model: body.model,
    prompt,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ??
      DEFAULT_MAX_TOKENS,
    priority: readNumber(call.headers["x-priority"], DEFAULT_PRIORITY),
    prefixes: (call.headers["x-prefix-hashes"] ?? "").split(",")
      .map((prefix) => prefix.trim())
      .filter((prefix) => prefix !== ""),
    resumeTokens: readNumber(call.headers["x-resume-tokens"], 0),
    resumeText: body.resume_text ?? "",
  };
  const shape: AnswerShape = {
    isChat,
    isStreamed: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
  };
  return { request, shape };
}

/** Formats a chat as the engine's prompt, on which the answer depends. */
export function formatChatPrompt(messages: readonly Message[]): string {
  return messages
    .map((message) => `${message.role}: ${formatContent(message.content)}`)
    .join("\n");
}

function formatContent(content: Message["content"]): string {
  if (typeof content === "string") return content;
  return content.map((part) => part.text ?? "").join("");
}

function readNumber(text: string | undefined, fallback: number): number {
  if (text === undefined || text === "") return fallback;
  const value = Number(text);
  if (Number.isFinite(value)) return value;
  throw new Error(`Expected a number, got ${JSON.stringify(text)}`);
}
