/**
 * What of an engine's event stream goes to the caller, over several tries.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { SseEvent } from "./sse_events.ts";
import { BrokenAnswerError } from "./upstream_work.ts";

const DONE = "[DONE]";
const DONE_EVENT = Buffer.from(`data: ${DONE}\n\n`);
/** Events between the one that finishes and the one that ends. */
const MAX_HELD_EVENTS = 16;

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

/** What one event adds to the answer. */
interface Addition {
  text: string;
  tokens: number;
  isFinish: boolean;
  /** Whether the event only names the role of what follows. */
  isOpening: boolean;
  /** Whether the text alone says what the event added. */
  isPlainText: boolean;
}

/** The bytes to pass on now, and the tokens that they hold. */
export interface StreamPart {
  bytes: Uint8Array[];
  tokens: number;
}

/**
 * One caller's stream. Events go on as they come, but from the finishing one
 * to `[DONE]` they are held back: a stream that breaks in between can then
 * still be resumed, and the caller sees one finish and one `[DONE]`.
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
  #held: Uint8Array[] = [];
  #heldTokens = 0;
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

  /** Tokens that were passed on. */
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

  /** Whether another engine can go on where this stream is. */
  get canResume(): boolean {
    return !this.#hasStarted || this.#isPlainText;
  }

  /** Begins a try; what an earlier one held back is dropped. */
  startTry(): void {
    this.#isResumed = this.#hasStarted;
    this.#held = [];
    this.#heldTokens = 0;
    this.#isFinishing = false;
    this.#hasUsage = false;
  }

  /** Takes one event; throws `BrokenAnswerError`. */
  takeEvent(event: SseEvent): StreamPart {
    if (this.#isDone) return { bytes: [], tokens: 0 };
    if (event.data === undefined) return this.#addPart(event.raw, 0);
    if (event.data === DONE) return this.#endWith(event.raw);
    const chunk = this.#parseChunk(event.data);
    const addition = readAddition(chunk);
    if (this.#isResumed && addition.isOpening) return { bytes: [], tokens: 0 };
    const raw = this.#isResumed
      ? this.#convertChunk(chunk, event.raw)
      : event.raw;
    this.#created ??= chunk.created;
    this.#isFinishing ||= addition.isFinish;
    if (this.#isFinishing) return this.#addHeld(raw, { chunk, addition });
    this.#text += addition.text;
    this.#isPlainText &&= addition.isPlainText;
    return this.#addPart(raw, addition.tokens);
  }

  /**
   * Ends a stream that broke after everything of it had come but `[DONE]`.
   * Undefined where something else is missing.
   */
  takeHeldEnd(): StreamPart | undefined {
    const isWhole = this.#isFinishing &&
      (this.#hasUsage || !this.#includeUsage);
    return isWhole ? this.#endWith(DONE_EVENT) : undefined;
  }

  #addPart(raw: Uint8Array, tokens: number): StreamPart {
    this.#hasStarted = true;
    this.#tokens += tokens;
    return { bytes: [raw], tokens };
  }

  #addHeld(
    raw: Uint8Array,
    options: { chunk: Chunk; addition: Addition },
  ): StreamPart {
    this.#held.push(raw);
    this.#heldTokens += options.addition.tokens;
    this.#hasUsage ||= options.chunk.usage != null;
    if (this.#held.length > MAX_HELD_EVENTS) {
      throw BrokenAnswerError.create("Stream goes on after its finish");
    }
    return { bytes: [], tokens: 0 };
  }

  #endWith(raw: Uint8Array): StreamPart {
    this.#isDone = true;
    this.#hasStarted = true;
    this.#tokens += this.#heldTokens;
    return { bytes: [...this.#held, raw], tokens: this.#heldTokens };
  }

  /**
   * An answer that an engine mixed up would go to the wrong caller, seen as a
   * stranger's text; each event carries the request's id, so it is noticed
   * before a byte of it goes on.
   */
  #parseChunk(data: string): Chunk {
    let chunk: Chunk;
    try {
      chunk = JSON.parse(data);
    } catch {
      throw BrokenAnswerError.create("Event is not valid JSON");
    }
    if (chunk?.error != null) {
      throw BrokenAnswerError.create("Engine reported an error in its stream");
    }
    if (chunk?.id !== this.#requestId) {
      throw BrokenAnswerError.create("Answer belongs to another request");
    }
    return chunk;
  }

  /** Makes a resumed engine's event one of the stream that the caller has. */
  #convertChunk(chunk: Chunk, raw: Uint8Array): Uint8Array {
    const isSame = chunk.created === this.#created && chunk.usage == null;
    if (isSame) return raw;
    const merged = { ...chunk };
    if (this.#created !== undefined) merged.created = this.#created;
    if (chunk.usage != null) merged.usage = this.#countUsage(chunk.usage);
    return Buffer.from(`data: ${JSON.stringify(merged)}\n\n`);
  }

  /** A resumed engine may count only what it generated itself. */
  #countUsage(usage: Usage): Usage {
    const completionTokens = this.#tokens + this.#heldTokens;
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
    isOpening: delta?.["role"] !== undefined && text === "" && !hasOthers &&
      !isFinish,
    isPlainText: !hasOthers && choices.length <= 1 &&
      (choice?.index ?? 0) === 0,
  };
}

/** Whether a delta holds more than its role and its text. */
function hasOtherParts(delta: Record<string, unknown>): boolean {
  for (const name in delta) {
    if (name === "role" || name === "content") continue;
    if (delta[name] != null) return true;
  }
  return false;
}
