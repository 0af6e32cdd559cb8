/**
 * A completion that is answered whole.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import { AnswerCollector } from "./answer_collector.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import { checkEngineStatus, readWhole } from "./answer_reader.ts";
import { CompletionWork, type CompletionWorkStart } from "./completion_work.ts";
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
    await checkEngineStatus(answer);
    const body = await readWhole(answer.body, MAX_ANSWER_BYTES);
    if (answer.status < FIRST_CALLER_ERROR) this.#noteAnswer(body, options);
    options.onWhole();
    await this.#writeAnswer(answer, body);
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

  async #writeAnswer(answer: UpstreamAnswer, body: Buffer): Promise<void> {
    const { run } = this.start;
    const { sink } = run.start;
    const headers = buildAnswerHeaders(run, {
      "content-type": answer.headers["content-type"] ?? "application/json",
      "content-length": String(body.length),
    });
    const collector = AnswerCollector.create(run);
    collector.noteHead(answer.status, headers);
    collector.noteBytes(body);
    collector.putAnswer();
    sink.writeHead(answer.status, headers);
    await sink.write(body);
    await sink.end();
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
