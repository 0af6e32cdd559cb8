/**
 * Parses a completion's body and builds the body that is sent to the engine.
 *
 * @module
 */
import { z } from "zod";
import { parseJsonBody } from "../connection/json_body.ts";
import { type ModelName, toId } from "../ids.ts";
import { RefusalError } from "../outcome.ts";
import type {
  RequestClass,
  Snapshot,
  UpstreamPool,
} from "../version/records.ts";
import { computePrefixes, countPromptTokens } from "./prompt_prefixes.ts";

const ADAPTER_SEPARATOR = ":";
const MESSAGE_SEPARATOR = "\n";

const TOKEN_COUNT = z.int().min(1).nullish();

/** The fields that the router reads; engines validate the others. */
const BODY_SCHEMA = z.looseObject({
  model: z.string().min(1).max(256),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() })
    .nullish(),
  max_tokens: TOKEN_COUNT,
  max_completion_tokens: TOKEN_COUNT,
  n: z.literal(1, "Only one answer at a time is supported").nullish(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() }))
    .min(1).optional(),
  prompt: z.union([z.string(), z.array(z.string()).length(1)]).optional(),
});

type Body = z.infer<typeof BODY_SCHEMA>;

/** One validated completion request. */
export interface Completion {
  model: ModelName;
  adapter: string | undefined;
  pool: UpstreamPool;
  stream: boolean;
  includeUsage: boolean;
  /** Limit on generated tokens: the caller's, at most the class's. */
  maxTokens: number;
  promptTokens: number;
  prefixes: string[];
  /** The body to send to the engine. */
  body: Record<string, unknown>;
}

/**
 * Validates a completion's body. Throws `RefusalError` (`bad_request`, or
 * `not_found` for a model that no pool serves).
 */
export function parseCompletion(
  bytes: Uint8Array,
  options: { path: string; snapshot: Snapshot; requestClass: RequestClass },
): Completion {
  const body = checkBody(parseJsonBody(bytes), options.path);
  const target = findTarget(options.snapshot, body.model);
  const prompt = collectPrompt(body);
  const maxTokens = Math.min(
    body.max_completion_tokens ?? body.max_tokens ?? Infinity,
    options.requestClass.maxOutputTokens,
  );
  return {
    ...target,
    stream: body.stream === true,
    includeUsage: body.stream_options?.include_usage === true,
    maxTokens,
    promptTokens: countPromptTokens(prompt),
    prefixes: computePrefixes(prompt, body.model),
    body: buildEngineBody(body, maxTokens),
  };
}

function checkBody(value: unknown, path: string): Body {
  const result = BODY_SCHEMA.safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0];
    const field = issue?.path.join(".") || "body";
    throw createBadRequest(`${field}: ${issue?.message}`);
  }
  const requiredField = path.endsWith("/chat/completions")
    ? "messages"
    : "prompt";
  if (result.data[requiredField] === undefined) {
    throw createBadRequest(`${requiredField}: Required`);
  }
  return result.data;
}

/** Finds the pool of `MODEL` or `MODEL:ADAPTER`. */
function findTarget(
  snapshot: Snapshot,
  name: string,
): Pick<Completion, "model" | "adapter" | "pool"> {
  const wholeName = toId<ModelName>(name);
  const wholePool = snapshot.poolsByModel.get(wholeName)?.[0];
  if (wholePool !== undefined) {
    return { model: wholeName, adapter: undefined, pool: wholePool };
  }
  const at = name.lastIndexOf(ADAPTER_SEPARATOR);
  const model = toId<ModelName>(name.slice(0, Math.max(0, at)));
  const adapter = name.slice(at + 1);
  const pool = snapshot.poolsByModel.get(model)?.find((each) =>
    each.models.some((served) =>
      served.model === model && served.adapters.includes(adapter)
    )
  );
  if (pool !== undefined) return { model, adapter, pool };
  throw new RefusalError({
    code: "not_found",
    message: `No pool serves the model ${name}`,
    outcome: "not_run",
  });
}

/** The prompt as one text; content that is not text is included as JSON. */
function collectPrompt(body: Body): string {
  if (body.messages === undefined) {
    return Array.isArray(body.prompt) ? body.prompt.join("") : body.prompt!;
  }
  return body.messages
    .map((message) => `${message.role}:${toText(message.content)}`)
    .join(MESSAGE_SEPARATOR);
}

function toText(content: unknown): string {
  return typeof content === "string" ? content : JSON.stringify(content) ?? "";
}

function buildEngineBody(
  body: Body,
  maxTokens: number,
): Record<string, unknown> {
  const limitField = body.max_completion_tokens != null
    ? "max_completion_tokens"
    : "max_tokens";
  return { ...body, [limitField]: maxTokens };
}

function createBadRequest(message: string): RefusalError {
  return new RefusalError({ code: "bad_request", message, outcome: "not_run" });
}
