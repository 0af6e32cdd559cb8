/**
 * Finds a request's fate: here, else at the VM that its id names.
 *
 * @module
 */
import { StepError } from "../errors.ts";
import type { RequestId, VmId } from "../ids.ts";
import type { RequestStatus } from "../request/request_status.ts";
import type { AnswerStore } from "./answer_store.ts";
import type { Environment } from "./environment.ts";
import type { RequestStatusStore } from "./request_status_store.ts";
import type { RequestStatusAnswer, RequestStatusCall } from "./peer_api.ts";
import { parseRequestId } from "./request_ids.ts";
import type { ProcessExecutionClaims } from "./execution_claims.ts";

/** What a fate finder looks in. */
export interface RequestStatusSources {
  environment: Environment;
  fates: RequestStatusStore;
  answers: AnswerStore;
  claims: ProcessExecutionClaims;
}

/** Looks a request's fate up. */
export class RequestStatusFinder {
  readonly #sources: RequestStatusSources;

  constructor(sources: RequestStatusSources) {
    this.#sources = sources;
  }

  static create(sources: RequestStatusSources): RequestStatusFinder {
    return new RequestStatusFinder(sources);
  }

  /**
   * Answers another VM. The issuer of an id passes the question on to the VM
   * that runs it; no other VM knows a runner, so a question makes two hops at
   * most: to the issuer, and from it to the runner.
   */
  async handleStatusCall(
    call: RequestStatusCall,
  ): Promise<RequestStatusAnswer> {
    const { claims } = this.#sources;
    const own = this.#findHere(call);
    if (isLastWord(own.fate)) return own;
    const runner = claims.findRunner(call.requestId);
    if (runner === undefined || this.#isSelf(runner)) {
      return { ...own, isFree: claims.isFree(call.requestId) };
    }
    return await this.#sources.environment.peers.getPeer(runner).findFate(call);
  }

  /**
   * The fate from any VM. Rejects with a `StepError` when the VM that would
   * know cannot be asked; then the fate is not known.
   */
  async findStatus(
    requestId: RequestId,
    options: { withAnswer: boolean } = { withAnswer: false },
  ): Promise<RequestStatusAnswer> {
    const call: RequestStatusCall = {
      requestId,
      withAnswer: options.withAnswer,
    };
    const own = await this.handleStatusCall(call);
    const issuer = parseRequestId(requestId)?.vm;
    if (isLastWord(own.fate) || issuer === undefined) return own;
    if (this.#isSelf(issuer)) return own;
    const peer = this.#sources.environment.peers.getPeer(issuer);
    const asked = await peer.findFate(call);
    if (asked.fate !== undefined || own.fate === undefined) return asked;
    if (asked.isFree) return own;
    throw new StepError(
      { step: "find_fate", peer: issuer },
      "The VM that issued the id no longer knows whether it ran elsewhere",
    );
  }

  #findHere(call: RequestStatusCall): RequestStatusAnswer {
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

/**
 * Whether no other VM can know better. What goes wrong without it: a VM that
 * refused a request gave its id back, so another VM may have run it since;
 * telling "not run" from the first VM's record is then a lie, seen by a caller
 * that has the whole answer. An id for one submission is never given back.
 */
function isLastWord(fate: RequestStatus | undefined): boolean {
  if (fate === undefined) return false;
  return fate.outcome !== "not_run" ||
    parseRequestId(fate.requestId)?.isSingle === true;
}
