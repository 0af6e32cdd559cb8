/**
 * A model engine's answers as bytes, with faults that tests configure.
 *
 * @module
 */
import {
  type UpstreamAnswer,
  type UpstreamCall,
  UpstreamError,
  type UpstreamErrorKind,
} from "../../src/connection/upstream_transport.ts";
import type { Clock } from "../../src/process/clock.ts";

/** A fault in one answer. */
export interface EngineFault {
  /** The number of bytes after which the stream breaks. */
  breakAt?: number;
  kind?: UpstreamErrorKind;
  mayHaveRun?: boolean;
  /** Fails before the response head. */
  failsAtHead?: boolean;
  /** Ends like a complete answer instead of breaking. */
  endsSilently?: boolean;
  /** Index of the first event that has another request's id. */
  wrongIdFrom?: number;
}

const TOKENS = ["La", " oficina", " señora", " día", " žádost", " 🙂", " fin"];
const FIRST_CREATED = 1_000;

/** Builds the events of an engine's answer; `created` identifies the engine. */
export function buildEngineEvents(
  call: Pick<UpstreamCall, "headers" | "body">,
  options: { engine: number; wrongIdFrom?: number },
): string[] {
  const body = JSON.parse(Buffer.from(call.body).toString("utf8"));
  const resumed = Number(call.headers["x-resume-tokens"] ?? 0);
  if (resumed > 0 && body.resume_text !== TOKENS.slice(0, resumed).join("")) {
    throw new Error("resume_text does not match the resumed tokens");
  }
  const isChat = body.messages !== undefined;
  const id = call.headers["x-request-id"]!;
  const events: unknown[] = [];
  const add = (choice: unknown, usage?: unknown) => {
    const isWrong = events.length >= (options.wrongIdFrom ?? Infinity);
    events.push({
      id: isWrong ? "r~other" : id,
      object: "chunk",
      created: FIRST_CREATED + options.engine,
      choices: choice === undefined ? [] : [choice],
      ...(usage === undefined ? {} : { usage }),
    });
  };
  const buildChoice = (text: string, finish: string | null) => ({
    index: 0,
    ...(isChat ? { delta: text === "" ? {} : { content: text } } : { text }),
    finish_reason: finish,
  });
  if (isChat) {
    const delta = { role: "assistant", content: "" };
    add({ index: 0, delta, finish_reason: null });
  }
  TOKENS.slice(resumed).forEach((token) => add(buildChoice(token, null)));
  add(buildChoice("", "stop"));
  if (body.stream_options?.include_usage) {
    // An engine that resumes may count only the tokens that it generated.
    const own = TOKENS.length - resumed;
    add(undefined, {
      prompt_tokens: 5,
      completion_tokens: own,
      total_tokens: 5 + own,
    });
  }
  const lines = events.map((event) => JSON.stringify(event));
  return [...lines, "[DONE]"].map((line) => `data: ${line}\n\n`);
}

/** Answers with a stream that has the fault. */
export function answerStream(
  call: UpstreamCall,
  options: {
    engine: number;
    fault?: EngineFault;
    chunkBytes?: number;
    clock?: Clock;
    tokenMs?: number;
  },
): UpstreamAnswer {
  const fault = options.fault ?? {};
  if (fault.failsAtHead) throw createError(call, fault);
  const events = buildEngineEvents(call, {
    engine: options.engine,
    ...(fault.wrongIdFrom === undefined
      ? {}
      : { wrongIdFrom: fault.wrongIdFrom }),
  });
  const bytes = Buffer.from(events.join(""));
  return {
    status: 200,
    headers: { "content-type": "text/event-stream" },
    body: sendChunks(call, { ...options, fault, bytes }),
  };
}

/** Answers with a complete JSON body. */
export function answerJson(status: number, value: unknown): UpstreamAnswer {
  return {
    status,
    headers: { "content-type": "application/json" },
    body: sendOnce(Buffer.from(JSON.stringify(value))),
  };
}

/** Creates the error of a failed call. */
export function createError(
  call: Pick<UpstreamCall, "upstream">,
  fault: EngineFault,
): UpstreamError {
  return new UpstreamError({ step: "upstream_call", peer: call.upstream }, {
    kind: fault.kind ?? "broken",
    mayHaveRun: fault.mayHaveRun ?? true,
    message: `Call failed: ${fault.kind ?? "broken"}`,
  });
}

async function* sendOnce(bytes: Uint8Array): AsyncGenerator<Uint8Array> {
  await Promise.resolve();
  yield bytes;
}

async function* sendChunks(
  call: UpstreamCall,
  options: {
    fault: EngineFault;
    bytes: Buffer;
    chunkBytes?: number;
    clock?: Clock;
    tokenMs?: number;
  },
): AsyncGenerator<Uint8Array> {
  const end = Math.min(options.bytes.length, options.fault.breakAt ?? Infinity);
  const step = options.chunkBytes ?? 64;
  for (let at = 0; at < end; at += step) {
    if (options.clock !== undefined) {
      await options.clock.sleep(options.tokenMs ?? 0, call.signal);
    }
    if (call.signal.aborted) throw createError(call, { kind: "aborted" });
    yield options.bytes.subarray(at, Math.min(end, at + step));
  }
  const isBroken = end < options.bytes.length;
  if (isBroken && !options.fault.endsSilently) {
    throw createError(call, options.fault);
  }
}
