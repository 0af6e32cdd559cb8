/**
 * Merges the event streams of several attempts into one stream for the caller.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { SseEvent } from "./sse_events.ts";
import { BrokenAnswerError } from "./upstream_work.ts";

const DONE = "[DONE]";
const DONE_EVENT = Buffer.from(`data: ${DONE}\n\n`);
/** Limit on events from the one with `finish_reason` up to `[DONE]`. */
const MAX_DEFERRED_EVENTS = 16;

interface Choice {
  index?: number;
  text?: string;
  delta?: Record<string, unknown>;
  finish_reason?: string | null;
}

interface Usage {
  prompt_tokens?: number;
  completion_tokens?: number;
  total_tokens?: number;
}

interface Chunk {
  id?: unknown;
  created?: unknown;
  error?: unknown;
  choices?: Choice[];
  usage?: Usage | null;
}

/** The part of an answer that one event adds. */
interface Addition {
  text: string;
  tokens: number;
  isFinish: boolean;
  /** Whether the event sets only the role of the message that follows. */
  isRoleOnly: boolean;
  /** Whether `text` holds everything that the event adds. */
  isPlainText: boolean;
}

/** Bytes to forward now, and the number of tokens in them. */
export interface StreamPart {
  bytes: Uint8Array[];
  tokens: number;
}

/**
 * One caller's stream. Events are forwarded as they arrive, except that events
 * from the one with `finish_reason` up to `[DONE]` are deferred: a stream that
 * breaks in between can then still be resumed, and the caller receives one
 * `finish_reason` and one `[DONE]`.
 */
export class CompletionStream {
  readonly #requestId: RequestId;
  readonly #includeUsage: boolean;
  #tokens = 0;
  #text = "";
  #created: unknown;
  #hasStarted = false;
  #isPlainText = true;
  #isDone = false;
  #isResumed = false;
  #deferred: Uint8Array[] = [];
  #deferredTokens = 0;
  #isFinishing = false;
  #hasUsage = false;

  constructor(requestId: RequestId, includeUsage: boolean) {
    this.#requestId = requestId;
    this.#includeUsage = includeUsage;
  }

  static create(
    requestId: RequestId,
    options: { includeUsage: boolean },
  ): CompletionStream {
    return new CompletionStream(requestId, options.includeUsage);
  }

  /** Tokens that were forwarded. */
  get tokens(): number {
    return this.#tokens;
  }

  /** The text of those tokens. */
  get text(): string {
    return this.#text;
  }

  get isDone(): boolean {
    return this.#isDone;
  }

  /** Whether another engine can continue the stream from here. */
  get canResume(): boolean {
    return !this.#hasStarted || this.#isPlainText;
  }

  /** Starts an attempt; drops events deferred by an earlier one. */
  startAttempt(): void {
    this.#isResumed = this.#hasStarted;
    this.#deferred = [];
    this.#deferredTokens = 0;
    this.#isFinishing = false;
    this.#hasUsage = false;
  }

  /** Applies one event of the engine; throws `BrokenAnswerError`. */
  takeEvent(event: SseEvent): StreamPart {
    if (this.#isDone) return { bytes: [], tokens: 0 };
    if (event.data === undefined) return this.#addPart(event.raw, 0);
    if (event.data === DONE) return this.#endWith(event.raw);
    const chunk = this.#parseChunk(event.data);
    const addition = readAddition(chunk);
    if (this.#isResumed && addition.isRoleOnly) return { bytes: [], tokens: 0 };
    const raw = this.#isResumed
      ? this.#convertChunk(chunk, event.raw)
      : event.raw;
    this.#created ??= chunk.created;
    this.#isFinishing ||= addition.isFinish;
    if (this.#isFinishing) return this.#addDeferred(raw, { chunk, addition });
    this.#text += addition.text;
    this.#isPlainText &&= addition.isPlainText;
    return this.#addPart(raw, addition.tokens);
  }

  /**
   * Ends a stream that broke when only `[DONE]` was missing. Undefined if
   * anything else is missing.
   */
  takeDeferredEnd(): StreamPart | undefined {
    const isComplete = this.#isFinishing &&
      (this.#hasUsage || !this.#includeUsage);
    return isComplete ? this.#endWith(DONE_EVENT) : undefined;
  }

  #addPart(raw: Uint8Array, tokens: number): StreamPart {
    this.#hasStarted = true;
    this.#tokens += tokens;
    return { bytes: [raw], tokens };
  }

  #addDeferred(
    raw: Uint8Array,
    options: { chunk: Chunk; addition: Addition },
  ): StreamPart {
    this.#deferred.push(raw);
    this.#deferredTokens += options.addition.tokens;
    this.#hasUsage ||= options.chunk.usage != null;
    if (this.#deferred.length > MAX_DEFERRED_EVENTS) {
      throw BrokenAnswerError.create(
        "Engine sent too many events after finish_reason",
      );
    }
    return { bytes: [], tokens: 0 };
  }

  #endWith(raw: Uint8Array): StreamPart {
    this.#isDone = true;
    this.#hasStarted = true;
    this.#tokens += this.#deferredTokens;
    return { bytes: [...this.#deferred, raw], tokens: this.#deferredTokens };
  }

  /**
   * Checks that the event belongs to this request. An engine that mixes up two
   * answers would otherwise send one caller's text to another; each event
   * carries the request id, so it is detected before a byte is forwarded.
   */
  #parseChunk(data: string): Chunk {
    let chunk: Chunk;
    try {
      chunk = JSON.parse(data);
    } catch {
      throw BrokenAnswerError.create(
        "Engine sent an event that is not valid JSON",
      );
    }
    if (chunk?.error != null) {
      throw BrokenAnswerError.create("Engine reported an error in its stream");
    }
    if (chunk?.id !== this.#requestId) {
      throw BrokenAnswerError.create("Engine sent an event of another request");
    }
    return chunk;
  }

  /** Rewrites a resuming engine's event to fit the stream already sent. */
  #convertChunk(chunk: Chunk, raw: Uint8Array): Uint8Array {
    const isSame = chunk.created === this.#created && chunk.usage == null;
    if (isSame) return raw;
    const merged = { ...chunk };
    if (this.#created !== undefined) merged.created = this.#created;
    if (chunk.usage != null) merged.usage = this.#countUsage(chunk.usage);
    return Buffer.from(`data: ${JSON.stringify(merged)}\n\n`);
  }

  /** Recounts usage: a resuming engine may count only its own tokens. */
  #countUsage(usage: Usage): Usage {
    const completionTokens = this.#tokens + this.#deferredTokens;
    return {
      ...usage,
      completion_tokens: completionTokens,
      total_tokens: (usage.prompt_tokens ?? 0) + completionTokens,
    };
  }
}

function readAddition(chunk: Chunk): Addition {
  const choices = Array.isArray(chunk.choices) ? chunk.choices : [];
  const choice = choices[0];
  const delta = choice?.delta;
  const content = delta?.["content"];
  const text = typeof content === "string" ? content : choice?.text ?? "";
  const hasOthers = delta != null && hasOtherParts(delta);
  const isFinish = choice?.finish_reason != null;
  return {
    text,
    tokens: text !== "" || hasOthers ? 1 : 0,
    isFinish,
    isRoleOnly: delta?.["role"] !== undefined && text === "" && !hasOthers &&
      !isFinish,
    isPlainText: !hasOthers && choices.length <= 1 &&
      (choice?.index ?? 0) === 0,
  };
}

/** Whether a delta has fields other than its role and its text. */
function hasOtherParts(delta: Record<string, unknown>): boolean {
  for (const name in delta) {
    if (name === "role" || name === "content") continue;
    if (delta[name] != null) return true;
  }
  return false;
}
