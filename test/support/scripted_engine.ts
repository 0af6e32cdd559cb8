/**
 * A model engine's answers as bytes, cut and mixed up where a test says so.
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

/** What goes wrong in one answer. */
export interface EngineFault {
  /** The stream breaks after so many bytes. */
  breakAt?: number;
  kind?: UpstreamErrorKind;
  mayHaveRun?: boolean;
  /** Fails before there is a head. */
  failsAtHead?: boolean;
  /** Ends as if it were whole instead of breaking. */
  endsSilently?: boolean;
  /** Another request's id in the answer, from that event on. */
  wrongIdFrom?: number;
}

const TOKENS = ["La", " oficina", " señora", " día", " žádost", " 🙂", " fin"];
const FIRST_CREATED = 1_000;

/** The events of one engine's answer; `created` tells engines apart. */
export function buildEngineEvents(
  call: Pick<UpstreamCall, "headers" | "body">,
  options: { engine: number; wrongIdFrom?: number },
): string[] {
  const body = JSON.parse(Buffer.from(call.body).toString("utf8"));
  const resumed = Number(call.headers["x-resume-tokens"] ?? 0);
  if (resumed > 0 && body.resume_text !== TOKENS.slice(0, resumed).join("")) {
    throw new Error("Resumed with the wrong text");
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
    // Counts its own tokens only, as an engine that resumes may.
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

/** An engine's streamed answer with a fault in it. */
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

/** A whole answer of JSON. */
export function answerJson(status: number, value: unknown): UpstreamAnswer {
  return {
    status,
    headers: { "content-type": "application/json" },
    body: sendOnce(Buffer.from(JSON.stringify(value))),
  };
}

/** The error of a failed call. */
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
