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
import { RunClaims } from "./services.ts";

const ID_LENGTH = 16;

/** Grants every claim. */
export class CallerRunClaims extends RunClaims {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  static create(random: Random): CallerRunClaims {
    return new CallerRunClaims(random);
  }

  issueId(): RequestId {
    return toId<RequestId>(this.#random.nextHex(ID_LENGTH));
  }

  issueSingleId(): RequestId {
    return this.issueId();
  }

  claimRun(): ReturnType<RunClaims["claimRun"]> {
    return Promise.resolve({ kind: "granted", isStanding: () => true });
  }

  settleRun(): void {}
}
