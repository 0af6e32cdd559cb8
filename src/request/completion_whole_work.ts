/**
 * A completion that is answered whole.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import { checkEngineStatus, readWhole } from "./answer_reader.ts";
import { writeWhole } from "./answer_writer.ts";
import { CompletionWork, type CompletionWorkStart } from "./completion_work.ts";
import { readUpstreamSignals } from "./upstream_signals.ts";
import { BrokenAnswerError, type RelayOptions } from "./upstream_work.ts";

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const FIRST_CALLER_ERROR = 400;

/** Reads an answer whole before the caller sees a byte of it. */
export class CompletionWholeWork extends CompletionWork {
  static create(start: CompletionWorkStart): CompletionWholeWork {
    return new CompletionWholeWork(start);
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    options.onSignals(readUpstreamSignals(answer));
    await checkEngineStatus(answer);
    const body = await readWhole(answer.body, MAX_ANSWER_BYTES);
    if (answer.status < FIRST_CALLER_ERROR) this.#noteAnswer(body, options);
    options.onWhole();
    await writeWhole(this.start.run, answer, body);
  }

  /** The caller has nothing of the answer until all of it is there. */
  override canContinue(): boolean {
    return !this.start.run.start.sink.headWritten;
  }

  override endCut(_refusal: Refusal): Promise<void> {
    this.start.run.start.sink.destroy();
    return Promise.resolve();
  }

  #noteAnswer(body: Buffer, options: RelayOptions): void {
    const { run } = this.start;
    const answer = parseAnswer(body);
    if (answer.id !== run.id) {
      throw BrokenAnswerError.create("Answer belongs to another request");
    }
    const tokens = answer.usage?.completion_tokens ?? 0;
    options.progress.noteWhole(tokens);
    run.noteWhole(tokens);
  }
}

function parseAnswer(
  body: Buffer,
): { id?: unknown; usage?: { completion_tokens?: number } | null } {
  try {
    return JSON.parse(body.toString("utf8")) ?? {};
  } catch {
    throw BrokenAnswerError.create("Answer is not valid JSON");
  }
}
