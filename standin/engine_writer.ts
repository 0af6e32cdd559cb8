/**
 * Writes a run's tokens in the OpenAI format, streamed or as one response.
 *
 * @module
 */
import { type AnswerShape, type CompletionCall } from "./engine_body.ts";
import type { EngineRun, RunEnd, RunListener } from "./engine_run.ts";

/** Destination of an answer's bytes. */
export interface AnswerWriter {
  writeHead(status: number, headers: Record<string, string>): void;
  write(text: string): void;
  end(): void;
  /** Closes the connection without completing the answer. */
  destroy(): void;
}

const JSON_TYPE = { "content-type": "application/json" };
const EVENT_STREAM_TYPE = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-cache",
};

/** Sends a JSON response. */
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

/** Sends an error in the OpenAI format. */
export function writeError(
  writer: AnswerWriter,
  options: { status: number; code: string; message: string },
): void {
  const { status, code, message } = options;
  const error = { type: "engine_error", code, message };
  writeJson(writer, { status, body: { error } });
}

/** Encodes the tokens of one run; a stream has one event per token. */
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

  /**
   * Writes the head of a streamed answer; must be called right after the run
   * starts.
   */
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
      writeJson(this.#writer, {
        status: 200,
        body: this.#buildCompletion(end),
      });
    }
  }

  get #shape(): AnswerShape {
    return this.#call.shape;
  }

  #endStream(end: RunEnd): void {
    this.#writeEvent(this.#buildChunk({ index: -1, text: "", end }));
    if (this.#shape.includeUsage) {
      const usage = this.#buildUsage();
      this.#writeEvent({ ...this.#buildEnvelope(), choices: [], usage });
    }
    this.#writer.write("data: [DONE]\n\n");
    this.#writer.end();
  }

  #buildEnvelope() {
    const { isChat, isStreamed } = this.#shape;
    const chatObject = isStreamed ? "chat.completion.chunk" : "chat.completion";
    return {
      id: this.#call.request.requestId,
      object: isChat ? chatObject : "text_completion",
      // Fixed, so that equal requests yield equal bytes.
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
    return { ...this.#buildEnvelope(), choices: [choice] };
  }

  #buildCompletion(end: RunEnd) {
    const choice = this.#shape.isChat
      ? {
        index: 0,
        message: { role: "assistant", content: this.#text },
        finish_reason: end,
      }
      : { index: 0, text: this.#text, finish_reason: end };
    return {
      ...this.#buildEnvelope(),
      choices: [choice],
      usage: this.#buildUsage(),
    };
  }

  /** Counts the tokens of the whole answer, including resumed ones. */
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
