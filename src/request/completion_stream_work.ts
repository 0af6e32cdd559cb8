/**
 * A streamed completion: one stream for the caller, whatever breaks behind it.
 *
 * @module
 */
import { buildRefusal } from "../connection/refusal_body.ts";
import { SseFramer } from "../connection/sse_frames.ts";
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import type { HeldLease } from "../process/services.ts";
import { AnswerCollector } from "./answer_collector.ts";
import { checkEngineStatus, readWhole } from "./answer_reader.ts";
import { writeWhole } from "./answer_writer.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import { CompletionStream, type StreamPart } from "./completion_stream.ts";
import { CompletionWork, type CompletionWorkStart } from "./completion_work.ts";
import { listEvents } from "./sse_events.ts";
import { readUpstreamSignals } from "./upstream_signals.ts";
import {
  BrokenAnswerError,
  type LeaseNeeds,
  type RelayOptions,
  type WorkCall,
} from "./upstream_work.ts";

const EVENT_STREAM = "text/event-stream";
const FIRST_CALLER_ERROR = 400;
const MAX_REFUSAL_BYTES = 1024 * 1024;

/** Streams a completion and resumes it where it breaks. */
export class CompletionStreamWork extends CompletionWork {
  readonly #stream: CompletionStream;
  readonly #collector: AnswerCollector;

  constructor(start: CompletionWorkStart) {
    super(start);
    this.#stream = CompletionStream.create(start.run.id, {
      includeUsage: start.completion.includeUsage,
    });
    this.#collector = AnswerCollector.create(start.run);
  }

  static create(start: CompletionWorkStart): CompletionStreamWork {
    return new CompletionStreamWork(start);
  }

  override buildLeaseNeeds(): LeaseNeeds {
    return { ...super.buildLeaseNeeds(), doneTokens: this.#stream.tokens };
  }

  override buildCall(lease: HeldLease): WorkCall {
    const { tokens, text } = this.#stream;
    if (tokens === 0) return super.buildCall(lease);
    this.start.run.note("resumed", {
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
    this.#stream.startTry();
    try {
      await this.#sendStream(answer, options);
    } catch (thrown) {
      const end = this.#takeEnd(options);
      if (end === undefined) throw thrown;
      await this.#writePart(end, options);
    }
    this.#collector.putAnswer();
    await this.start.run.start.sink.end();
  }

  override canContinue(): boolean {
    return this.#stream.canResume;
  }

  override async endCut(refusal: Refusal): Promise<void> {
    const { run } = this.start;
    const { body } = buildRefusal(refusal, { requestId: run.id });
    const event = `event: error\ndata: ${body.toString("utf8")}\n\n`;
    // An orderly end would look like a whole answer to a caller that passes
    // over the error event and does not wait for `[DONE]`.
    await run.start.sink.destroyAfter(Buffer.from(event));
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

  /** Passes on the whole events, also those before one that is broken. */
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
      throw BrokenAnswerError.create("The stream was given up");
    }
  }

  async #writePart(part: StreamPart, options: RelayOptions): Promise<void> {
    const { run } = this.start;
    options.progress.noteTokens(part.tokens);
    if (this.#stream.isDone) options.onWhole();
    run.noteTokens(part.tokens);
    if (part.bytes.length === 0) return;
    this.#openStream();
    const bytes = part.bytes.length === 1
      ? part.bytes[0]!
      : Buffer.concat(part.bytes);
    this.#collector.noteBytes(bytes);
    await run.start.sink.write(bytes);
  }

  /** What is left to write where only `[DONE]` did not come. */
  #takeEnd(options: RelayOptions): StreamPart | undefined {
    const isWanted = !this.start.run.start.sink.signal.aborted &&
      !options.signal.aborted;
    return isWanted ? this.#stream.takeHeldEnd() : undefined;
  }

  #openStream(): void {
    const { run } = this.start;
    if (run.start.sink.headWritten) return;
    const headers = buildAnswerHeaders(run, {
      "content-type": EVENT_STREAM,
      "cache-control": "no-cache",
    });
    this.#collector.noteHead(200, headers);
    run.start.sink.writeHead(200, headers);
  }

  /** An engine's own refusal of the caller's fields, as it stands. */
  async #sendRefusal(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    const { run } = this.start;
    const body = await readWhole(answer.body, MAX_REFUSAL_BYTES);
    if (run.start.sink.headWritten) {
      throw BrokenAnswerError.create(`Engine answered ${answer.status}`);
    }
    options.onWhole();
    await writeWhole(run, answer, body);
  }
}

/**
 * Reads on after `[DONE]` without anyone waiting: a body that is left unread
 * costs its connection, which the next request could have used.
 */
function drainInBackground(iterator: AsyncIterator<Uint8Array>): void {
  const readOn = async () => {
    try {
      while (!(await iterator.next()).done);
    } catch {
      // The answer was whole already; what breaks after it is of no concern.
    }
  };
  readOn();
}
