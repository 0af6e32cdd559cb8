/**
 * Finds a request's status on this VM or through the VM that issued its id.
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

/** The stores and services that the finder uses. */
export interface RequestStatusSources {
  environment: Environment;
  requestStatuses: RequestStatusStore;
  answers: AnswerStore;
  claims: ProcessExecutionClaims;
}

/** Finds the status of requests. */
export class RequestStatusFinder {
  readonly #sources: RequestStatusSources;

  constructor(sources: RequestStatusSources) {
    this.#sources = sources;
  }

  static create(sources: RequestStatusSources): RequestStatusFinder {
    return new RequestStatusFinder(sources);
  }

  /**
   * Handles a call of another VM. The issuer of an id forwards the call to the
   * VM that executes it. Only the issuer knows that VM, so a call takes at most
   * two hops: to the issuer and on to the executing VM.
   */
  async handleStatusCall(
    call: RequestStatusCall,
  ): Promise<RequestStatusAnswer> {
    const { claims } = this.#sources;
    const local = this.#findLocal(call);
    if (isAuthoritative(local.fate)) return local;
    const runner = claims.findRunner(call.requestId);
    if (runner === undefined || this.#isSelf(runner)) {
      return { ...local, isFree: claims.isFree(call.requestId) };
    }
    return await this.#sources.environment.peers.getPeer(runner).findFate(call);
  }

  /**
   * Finds the status on any VM. Rejects with `StepError` if the status is
   * unknown because the issuing or executing VM cannot answer.
   */
  async findStatus(
    requestId: RequestId,
    options: { withAnswer: boolean } = { withAnswer: false },
  ): Promise<RequestStatusAnswer> {
    const call: RequestStatusCall = {
      requestId,
      withAnswer: options.withAnswer,
    };
    const local = await this.handleStatusCall(call);
    const issuer = parseRequestId(requestId)?.vm;
    if (isAuthoritative(local.fate) || issuer === undefined) return local;
    if (this.#isSelf(issuer)) return local;
    const peer = this.#sources.environment.peers.getPeer(issuer);
    const remote = await peer.findFate(call);
    if (remote.fate !== undefined || local.fate === undefined) return remote;
    if (remote.isFree) return local;
    throw new StepError(
      { step: "find_fate", peer: issuer },
      "The VM that issued the id no longer knows whether it ran elsewhere",
    );
  }

  #findLocal(call: RequestStatusCall): RequestStatusAnswer {
    const { requestStatuses, answers } = this.#sources;
    return {
      fate: requestStatuses.find(call.requestId),
      answer: call.withAnswer ? answers.find(call.requestId) : undefined,
    };
  }

  #isSelf(vm: VmId): boolean {
    return vm === this.#sources.environment.vm;
  }
}

/**
 * Whether no other VM can have a newer status. A VM that refused a request
 * released its claim, so another VM may have executed the request since:
 * returning `not_run` from the first VM's record would be wrong. A single-use
 * id cannot be executed again.
 */
function isAuthoritative(status: RequestStatus | undefined): boolean {
  if (status === undefined) return false;
  return status.outcome !== "not_run" ||
    parseRequestId(status.requestId)?.isSingle === true;
}
