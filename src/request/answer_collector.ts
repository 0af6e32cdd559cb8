/**
 * Keeps a copy of what a caller was sent, for a resubmission.
 *
 * @module
 */
import type { RetainedAnswer } from "../process/peer_api.ts";
import type { RequestRun } from "./request_run.ts";

/** Collects one answer while it is small enough. */
export class AnswerCollector {
  readonly #run: RequestRun;
  #isKept: boolean;
  #bytes = 0;
  #status = 0;
  #headers: Record<string, string> = {};
  #chunks: Uint8Array[] = [];

  constructor(run: RequestRun) {
    this.#run = run;
    this.#isKept = run.start.retainsAnswer;
  }

  /** Collects nothing where the caller cannot ask again. */
  static create(run: RequestRun): AnswerCollector {
    return new AnswerCollector(run);
  }

  noteHead(status: number, headers: Record<string, string>): void {
    this.#status = status;
    this.#headers = headers;
  }

  noteBytes(bytes: Uint8Array): void {
    if (!this.#isKept) return;
    this.#bytes += bytes.length;
    if (this.#bytes > this.#run.services.answers.maxAnswerBytes) {
      this.#isKept = false;
      this.#chunks = [];
      return;
    }
    this.#chunks.push(bytes);
  }

  /** Stores the answer; call it once the answer is whole. */
  putAnswer(): void {
    if (!this.#isKept) return;
    const answer: RetainedAnswer = {
      status: this.#status,
      headers: this.#headers,
      bodyBase64: Buffer.concat(this.#chunks).toString("base64"),
    };
    this.#run.services.answers.put(this.#run.id, answer);
  }
}
