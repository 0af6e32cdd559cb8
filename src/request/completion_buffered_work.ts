/**
 * Completions that are not streamed.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import { checkEngineStatus, readBody } from "./answer_reader.ts";
import { writeAnswer } from "./answer_writer.ts";
import {
  CompletionWork,
  type CompletionWorkContext,
} from "./completion_work.ts";
import { readUpstreamSignals } from "./upstream_signals.ts";
import { BrokenAnswerError, type RelayOptions } from "./upstream_work.ts";

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const FIRST_CALLER_ERROR = 400;

/** Buffers the complete answer before any of it is sent to the caller. */
export class CompletionBufferedWork extends CompletionWork {
  static create(context: CompletionWorkContext): CompletionBufferedWork {
    return new CompletionBufferedWork(context);
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    options.onSignals(readUpstreamSignals(answer));
    await checkEngineStatus(answer);
    const body = await readBody(answer.body, MAX_ANSWER_BYTES);
    if (answer.status < FIRST_CALLER_ERROR) this.#noteAnswer(body, options);
    options.onComplete();
    await writeAnswer(this.context.execution, answer, body);
  }

  /** Nothing has been sent to the caller until the answer is complete. */
  override canContinue(): boolean {
    return !this.context.execution.options.sink.headWritten;
  }

  override endIncomplete(_refusal: Refusal): Promise<void> {
    this.context.execution.options.sink.destroy();
    return Promise.resolve();
  }

  #noteAnswer(body: Buffer, options: RelayOptions): void {
    const { execution } = this.context;
    const answer = parseAnswer(body);
    if (answer.id !== execution.id) {
      throw BrokenAnswerError.create(
        "Engine sent the answer of another request",
      );
    }
    const tokens = answer.usage?.completion_tokens ?? 0;
    options.progress.noteBufferedAnswer(tokens);
    execution.noteBufferedAnswer(tokens);
  }
}

function parseAnswer(
  body: Buffer,
): { id?: unknown; usage?: { completion_tokens?: number } | null } {
  try {
    return JSON.parse(body.toString("utf8")) ?? {};
  } catch {
    throw BrokenAnswerError.create(
      "Engine sent an answer that is not valid JSON",
    );
  }
}
