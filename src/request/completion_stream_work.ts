/**
 * Streamed completions, resumed at another engine if the stream breaks.
 *
 * @module
 */
import { buildRefusal } from "../connection/refusal_body.ts";
import { SseFramer } from "../connection/sse_frames.ts";
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import type { HeldLease } from "../process/services.ts";
import { AnswerCollector } from "./answer_collector.ts";
import { checkEngineStatus, readBody } from "./answer_reader.ts";
import { writeAnswer } from "./answer_writer.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import { CompletionStream, type StreamPart } from "./completion_stream.ts";
import {
  CompletionWork,
  type CompletionWorkContext,
} from "./completion_work.ts";
import { listEvents } from "./sse_events.ts";
import { readUpstreamSignals } from "./upstream_signals.ts";
import {
  BrokenAnswerError,
  type LeaseRequirements,
  type RelayOptions,
  type WorkCall,
} from "./upstream_work.ts";

const EVENT_STREAM = "text/event-stream";
const FIRST_CALLER_ERROR = 400;
const MAX_REFUSAL_BYTES = 1024 * 1024;

/** Streams a completion and resumes it after a break. */
export class CompletionStreamWork extends CompletionWork {
  readonly #stream: CompletionStream;
  readonly #collector: AnswerCollector;

  constructor(context: CompletionWorkContext) {
    super(context);
    this.#stream = CompletionStream.create(context.execution.id, {
      includeUsage: context.completion.includeUsage,
    });
    this.#collector = AnswerCollector.create(context.execution);
  }

  static create(context: CompletionWorkContext): CompletionStreamWork {
    return new CompletionStreamWork(context);
  }

  override buildLeaseRequirements(): LeaseRequirements {
    return {
      ...super.buildLeaseRequirements(),
      doneTokens: this.#stream.tokens,
    };
  }

  override buildCall(lease: HeldLease): WorkCall {
    const { tokens, text } = this.#stream;
    if (tokens === 0) return super.buildCall(lease);
    this.context.execution.note("resumed", {
      peer: lease.upstream,
      detail: `after ${tokens} tokens`,
    });
    return this.buildCallWith(lease, {
      headers: { "x-resume-tokens": String(tokens) },
      fields: { resume_text: text },
    });
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    options.onSignals(readUpstreamSignals(answer));
    await checkEngineStatus(answer);
    if (answer.status >= FIRST_CALLER_ERROR) {
      await this.#sendRefusal(answer, options);
      return;
    }
    this.#stream.startAttempt();
    try {
      await this.#sendStream(answer, options);
    } catch (thrown) {
      const end = this.#takeDeferredEnd(options);
      if (end === undefined) throw thrown;
      await this.#writePart(end, options);
    }
    this.#collector.putAnswer();
    await this.context.execution.options.sink.end();
  }

  override canContinue(): boolean {
    return this.#stream.canResume;
  }

  override async endIncomplete(refusal: Refusal): Promise<void> {
    const { execution } = this.context;
    const { body } = buildRefusal(refusal, { requestId: execution.id });
    const event = `event: error\ndata: ${body.toString("utf8")}\n\n`;
    // A clean end would look like a complete answer to a caller that ignores
    // the error event and does not wait for `[DONE]`.
    await execution.options.sink.destroyAfter(Buffer.from(event));
  }

  async #sendStream(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    const framer = SseFramer.create();
    const iterator = answer.body[Symbol.asyncIterator]();
    try {
      while (!this.#stream.isDone) {
        const next = await iterator.next();
        if (next.done) throw BrokenAnswerError.create("Stream ended early");
        await this.#sendEvents(framer, { bytes: next.value, ...options });
      }
    } catch (thrown) {
      await iterator.return?.();
      throw thrown;
    }
    drainInBackground(iterator);
  }

  /** Forwards complete events, including those before an invalid one. */
  async #sendEvents(
    framer: SseFramer,
    options: RelayOptions & { bytes: Uint8Array },
  ): Promise<void> {
    const part: StreamPart = { bytes: [], tokens: 0 };
    try {
      for (const event of listEvents(framer.push(options.bytes).bytes)) {
        const added = this.#stream.takeEvent(event);
        part.bytes.push(...added.bytes);
        part.tokens += added.tokens;
      }
    } finally {
      await this.#writePart(part, options);
    }
    if (options.signal.aborted && !this.#stream.isDone) {
      throw BrokenAnswerError.create("Attempt cancelled during the stream");
    }
  }

  async #writePart(part: StreamPart, options: RelayOptions): Promise<void> {
    const { execution } = this.context;
    options.progress.noteTokens(part.tokens);
    if (this.#stream.isDone) options.onComplete();
    execution.noteTokens(part.tokens);
    if (part.bytes.length === 0) return;
    this.#openStream();
    const bytes = part.bytes.length === 1
      ? part.bytes[0]!
      : Buffer.concat(part.bytes);
    this.#collector.noteBytes(bytes);
    await execution.options.sink.write(bytes);
  }

  /** The events left to write if only `[DONE]` is missing. */
  #takeDeferredEnd(options: RelayOptions): StreamPart | undefined {
    const isWanted = !this.context.execution.options.sink.signal.aborted &&
      !options.signal.aborted;
    return isWanted ? this.#stream.takeDeferredEnd() : undefined;
  }

  #openStream(): void {
    const { execution } = this.context;
    if (execution.options.sink.headWritten) return;
    const headers = buildAnswerHeaders(execution, {
      "content-type": EVENT_STREAM,
      "cache-control": "no-cache",
    });
    this.#collector.noteHead(200, headers);
    execution.options.sink.writeHead(200, headers);
  }

  /** Forwards an engine's 4xx answer unchanged. */
  async #sendRefusal(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    const { execution } = this.context;
    const body = await readBody(answer.body, MAX_REFUSAL_BYTES);
    if (execution.options.sink.headWritten) {
      throw BrokenAnswerError.create(`Engine answered ${answer.status}`);
    }
    options.onComplete();
    await writeAnswer(execution, answer, body);
  }
}

/**
 * Reads the rest of the body after `[DONE]` in the background: a connection
 * whose body is not read to its end cannot be reused.
 */
function drainInBackground(iterator: AsyncIterator<Uint8Array>): void {
  const readRest = async () => {
    try {
      while (!(await iterator.next()).done);
    } catch {
      // The answer is complete; a later error does not matter.
    }
  };
  readRest();
}
