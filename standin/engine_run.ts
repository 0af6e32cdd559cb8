/**
 * One request inside a stand-in engine.
 *
 * @module
 */
import { countTextTokens, EngineAnswer } from "./engine_answer.ts";

/** A request as the engine takes it. */
export interface EngineRequest {
  requestId: string;
  model: string;
  prompt: string;
  /** A cap on the whole answer, resumed tokens included. */
  maxTokens: number;
  /** Lower goes first. */
  priority: number;
  /** Hashes of the prompt's growing prefixes. */
  prefixes: string[];
  /** Tokens that the caller already has. */
  resumeTokens: number;
  /** Their text; it must be what this engine would have said. */
  resumeText: string;
}

/** How a run ended. */
export type RunEnd = "stop" | "length" | "cancelled" | "crashed";

/** Hears of a run's progress; called in the engine's own step. */
export interface RunListener {
  /** `index` counts from 0 over the whole answer. */
  onToken(index: number, text: string): void;
  /** Called once, last; not after the run's own `cancel`. */
  onEnd(end: RunEnd): void;
}

/** What became of one run, for tests. */
export interface RunRecord {
  requestId: string;
  resumedFrom: number;
  /** Tokens that this run generated. */
  tokens: number;
  promptTokens: number;
  /** Prompt tokens that the cache spared. */
  cachedTokens: number;
  end: RunEnd | undefined;
}

/** A run's place in the engine. */
export class EngineRun {
  readonly request: EngineRequest;
  readonly answer: EngineAnswer;
  readonly record: RunRecord;
  readonly listener: RunListener;
  readonly order: number;
  /** Index of the next token. */
  nextToken: number;
  /** Tokens to work through before the next token. */
  prefillLeft = 0;
  /** A silent run goes on, but nobody hears of it again. */
  silent = false;
  readonly #onCancel: (run: EngineRun) => void;

  constructor(
    request: EngineRequest,
    options: {
      listener: RunListener;
      order: number;
      onCancel: (run: EngineRun) => void;
    },
  ) {
    this.request = request;
    this.answer = EngineAnswer.create(request);
    this.listener = options.listener;
    this.order = options.order;
    this.nextToken = request.resumeTokens;
    this.#onCancel = options.onCancel;
    this.record = {
      requestId: request.requestId,
      resumedFrom: request.resumeTokens,
      tokens: 0,
      promptTokens: countTextTokens(request.prompt),
      cachedTokens: 0,
      end: undefined,
    };
  }

  /** Tokens that the run holds in memory. */
  get memoryTokens(): number {
    return this.record.promptTokens + this.nextToken;
  }

  get isFinished(): boolean {
    return this.nextToken >= this.answer.length;
  }

  /** Stops the work; nothing is heard of it afterwards. */
  cancel(): void {
    if (this.record.end === undefined) this.#onCancel(this);
  }

  /** Generates the next token. */
  addToken(): void {
    const index = this.nextToken++;
    this.record.tokens++;
    if (!this.silent) {
      this.listener.onToken(index, this.answer.getToken(index));
    }
  }

  /** Notes the end and tells the listener, once. */
  settle(end: RunEnd): void {
    if (this.record.end !== undefined) return;
    this.record.end = end;
    if (!this.silent && end !== "cancelled") this.listener.onEnd(end);
  }
}
