/**
 * Retains a copy of an answer, to replay it when the request is resubmitted.
 *
 * @module
 */
import type { RetainedAnswer } from "../process/peer_api.ts";
import type { RequestExecution } from "./request_execution.ts";

/** Collects one answer; drops it when it exceeds the store's size limit. */
export class AnswerCollector {
  readonly #execution: RequestExecution;
  #isRetained: boolean;
  #bytes = 0;
  #status = 0;
  #headers: Record<string, string> = {};
  #chunks: Uint8Array[] = [];

  constructor(execution: RequestExecution) {
    this.#execution = execution;
    this.#isRetained = execution.options.retainsAnswer;
  }

  /** Collects nothing if the caller cannot resubmit the request. */
  static create(execution: RequestExecution): AnswerCollector {
    return new AnswerCollector(execution);
  }

  noteHead(status: number, headers: Record<string, string>): void {
    this.#status = status;
    this.#headers = headers;
  }

  noteBytes(bytes: Uint8Array): void {
    if (!this.#isRetained) return;
    this.#bytes += bytes.length;
    if (this.#bytes > this.#execution.services.answers.maxAnswerBytes) {
      this.#isRetained = false;
      this.#chunks = [];
      return;
    }
    this.#chunks.push(bytes);
  }

  /** Stores the answer. Call it once the answer is complete. */
  putAnswer(): void {
    if (!this.#isRetained) return;
    const answer: RetainedAnswer = {
      status: this.#status,
      headers: this.#headers,
      bodyBase64: Buffer.concat(this.#chunks).toString("base64"),
    };
    this.#execution.services.answers.put(this.#execution.id, answer);
  }
}
