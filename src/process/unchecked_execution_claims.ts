/**
 * Claims for callers that use a new id for each attempt.
 *
 * Such an id is never submitted twice, so no VM has to check whether the
 * request ran before.
 *
 * @module
 */
import { type RequestId, toId } from "../ids.ts";
import type { Random } from "./random.ts";
import { ExecutionClaims } from "./services.ts";

const ID_LENGTH = 16;

/** Grants every claim. */
export class UncheckedExecutionClaims extends ExecutionClaims {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  static create(random: Random): UncheckedExecutionClaims {
    return new UncheckedExecutionClaims(random);
  }

  issueId(): RequestId {
    return toId<RequestId>(this.#random.nextHex(ID_LENGTH));
  }

  issueSingleUseId(): RequestId {
    return this.issueId();
  }

  claimExecution(): ReturnType<ExecutionClaims["claimExecution"]> {
    return Promise.resolve({ kind: "granted", isValid: () => true });
  }

  settleExecution(): void {}
}
