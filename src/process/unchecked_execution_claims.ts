/**
 * Claims where every caller gives each of its attempts an id of its own.
 *
 * An id is never submitted twice then, so no VM has to be asked whether the
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
    return Promise.resolve({ kind: "granted", isStanding: () => true });
  }

  settleExecution(): void {}
}
