/**
 * Writes a run's tokens in the OpenAI shapes, streamed or whole.
 *
 * @module
 */
import { type AnswerShape, type CompletionCall } from "./engine_body.ts";
import type { EngineRun, RunEnd, RunListener } from "./engine_run.ts";

/** Where an answer's bytes go. */
export interface AnswerWriter {
  writeHead(status: number, headers: Record<string, string>): void;
  write(text: string): void;
  end(): void;
  /** Cuts the answer off. */
  destroy(): void;
}

const JSON_TYPE = { "content-type": "application/json" };
const EVENT_STREAM_TYPE = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-cache",
};

/** Sends a whole JSON answer. */
export function writeJson(
  writer: AnswerWriter,
  options: { status: number; body: unknown },
): void {
  const text = JSON.stringify(options.body);
  const length = String(new TextEncoder().encode(text).length);
  writer.writeHead(options.status, { ...JSON_TYPE, "content-length": length });
  writer.write(text);
  writer.end();
}

/** Sends an error in the OpenAI shape. */
export function writeError(
  writer: AnswerWriter,
  options: { status: number; code: string; message: string },
): void {
  const { status, code, message } = options;
  const error = { type: "engine_error", code, message };
  writeJson(writer, { status, body: { error } });
}

/** Turns one run's tokens to bytes; one event a token where streamed. */
export class RunWriter implements RunListener {
  readonly #call: CompletionCall;
  readonly #writer: AnswerWriter;
  #run: EngineRun | undefined;
  #text = "";

  constructor(call: CompletionCall, writer: AnswerWriter) {
    this.#call = call;
    this.#writer = writer;
  }

  static create(call: CompletionCall, writer: AnswerWriter): RunWriter {
    return new RunWriter(call, writer);
  }

  /** Begins a streamed answer; call it as soon as the run has started. */
  start(run: EngineRun): void {
    this.#run = run;
    if (this.#shape.isStreamed) this.#writer.writeHead(200, EVENT_STREAM_TYPE);
  }

  onToken(index: number, text: string): void {
    if (!this.#shape.isStreamed) {
      this.#text += text;
      return;
    }
    this.#writeEvent(this.#buildChunk({ index, text, end: null }));
  }

  onEnd(end: RunEnd): void {
    if (end === "crashed" || end === "cancelled") {
      this.#writer.destroy();
    } else if (this.#shape.isStreamed) {
      this.#endStream(end);
    } else {
      writeJson(this.#writer, { status: 200, body: this.#buildWhole(end) });
    }
  }

  get #shape(): AnswerShape {
    return this.#call.shape;
  }

  #endStream(end: RunEnd): void {
    this.#writeEvent(this.#buildChunk({ index: -1, text: "", end }));
    if (this.#shape.includeUsage) {
      const usage = this.#buildUsage();
      this.#writeEvent({ ...this.#buildFrame(), choices: [], usage });
    }
    this.#writer.write("data: [DONE]\n\n");
    this.#writer.end();
  }

  #buildFrame() {
    const { isChat, isStreamed } = this.#shape;
    const chatObject = isStreamed ? "chat.completion.chunk" : "chat.completion";
    return {
      id: this.#call.request.requestId,
      object: isChat ? chatObject : "text_completion",
      // Fixed, so that the same request gives the same bytes.
      created: 0,
      model: this.#call.request.model,
    };
  }

  #buildChunk(part: { index: number; text: string; end: RunEnd | null }) {
    const last = part.end !== null;
    const content = last ? {} : { content: part.text };
    const role = part.index === 0 ? { role: "assistant" } : {};
    const choice = this.#shape.isChat
      ? { index: 0, delta: { ...role, ...content }, finish_reason: part.end }
      : { index: 0, text: part.text, finish_reason: part.end };
    return { ...this.#buildFrame(), choices: [choice] };
  }

  #buildWhole(end: RunEnd) {
    const choice = this.#shape.isChat
      ? {
        index: 0,
        message: { role: "assistant", content: this.#text },
        finish_reason: end,
      }
      : { index: 0, text: this.#text, finish_reason: end };
    return {
      ...this.#buildFrame(),
      choices: [choice],
      usage: this.#buildUsage(),
    };
  }

  /** Counts the whole answer, resumed tokens included. */
  #buildUsage() {
    const prompt = this.#run?.record.promptTokens ?? 0;
    const completion = this.#run?.nextToken ?? 0;
    return {
      prompt_tokens: prompt,
      completion_tokens: completion,
      total_tokens: prompt + completion,
    };
  }

  #writeEvent(event: unknown): void {
    this.#writer.write(`data: ${JSON.stringify(event)}\n\n`);
  }
}
