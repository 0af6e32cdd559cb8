/**
 * Stores complete answers for resubmissions, up to a size limit.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { RetainedAnswer } from "./peer_api.ts";

const DEFAULT_MAX_BYTES = 32 * 1024 * 1024;
const DEFAULT_MAX_ANSWER_BYTES = 256 * 1024;
const ENTRY_BYTES = 400;

/** Answers by request id; the oldest are evicted first. */
export class AnswerStore {
  /** Larger answers are not stored. */
  readonly maxAnswerBytes: number;
  readonly #maxBytes: number;
  readonly #answers = new Map<RequestId, RetainedAnswer>();
  #bytes = 0;

  constructor(maxBytes: number, maxAnswerBytes: number) {
    this.#maxBytes = maxBytes;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  static create(
    options: { maxBytes?: number; maxAnswerBytes?: number } = {},
  ): AnswerStore {
    return new AnswerStore(
      options.maxBytes ?? DEFAULT_MAX_BYTES,
      options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
    );
  }

  /** Approximate size of the stored answers, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Stores an answer, unless the id has one already. */
  put(requestId: RequestId, answer: RetainedAnswer): void {
    if (this.#answers.has(requestId)) return;
    this.#answers.set(requestId, answer);
    this.#bytes += computeBytes(answer);
    while (this.#bytes > this.#maxBytes) this.#removeOldest();
  }

  find(requestId: RequestId): RetainedAnswer | undefined {
    return this.#answers.get(requestId);
  }

  #removeOldest(): void {
    const [requestId, answer] = this.#answers.entries().next().value!;
    this.#answers.delete(requestId);
    this.#bytes -= computeBytes(answer);
  }
}

function computeBytes(answer: RetainedAnswer): number {
  return ENTRY_BYTES + answer.bodyBase64.length;
}
