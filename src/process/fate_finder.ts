/**
 * Finds a request's fate: here, else at the VM that its id names.
 *
 * @module
 */
import type { RequestId, VmId } from "../ids.ts";
import type { AnswerStore } from "./answer_store.ts";
import type { Environment } from "./environment.ts";
import type { FateStore } from "./fate_store.ts";
import type { FateAnswer, FateCall } from "./peer_api.ts";
import { parseRequestId } from "./request_ids.ts";
import type { ProcessRunClaims } from "./run_claims.ts";

/** What a fate finder looks in. */
export interface FateSources {
  environment: Environment;
  fates: FateStore;
  answers: AnswerStore;
  claims: ProcessRunClaims;
}

/** Looks a request's fate up. */
export class FateFinder {
  readonly #sources: FateSources;

  constructor(sources: FateSources) {
    this.#sources = sources;
  }

  static create(sources: FateSources): FateFinder {
    return new FateFinder(sources);
  }

  /**
   * Answers another VM. The issuer of an id passes the question on to the VM
   * that runs it; the runner never does, so a question makes at most one hop.
   */
  async answerFate(call: FateCall): Promise<FateAnswer> {
    const own = this.#findHere(call);
    if (own.fate !== undefined) return own;
    const runner = this.#sources.claims.findRunner(call.requestId);
    if (runner === undefined || this.#isSelf(runner)) return own;
    return await this.#sources.environment.peers.getPeer(runner).findFate(call);
  }

  /**
   * The fate from any VM. Rejects with a `StepError` when the VM that would
   * know cannot be asked; then the fate is not known.
   */
  async findFate(
    requestId: RequestId,
    options: { withAnswer: boolean } = { withAnswer: false },
  ): Promise<FateAnswer> {
    const call: FateCall = { requestId, withAnswer: options.withAnswer };
    const own = await this.answerFate(call);
    const issuer = parseRequestId(requestId)?.vm;
    if (own.fate !== undefined || issuer === undefined) return own;
    if (this.#isSelf(issuer)) return own;
    return await this.#sources.environment.peers.getPeer(issuer).findFate(call);
  }

  #findHere(call: FateCall): FateAnswer {
    const { fates, answers } = this.#sources;
    return {
      fate: fates.find(call.requestId),
      answer: call.withAnswer ? answers.find(call.requestId) : undefined,
    };
  }

  #isSelf(vm: VmId): boolean {
    return vm === this.#sources.environment.vm;
  }
}
