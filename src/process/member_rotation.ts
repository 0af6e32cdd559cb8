/**
 * Order in which members are probed.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { Random } from "./random.ts";

/**
 * Returns each member once per round, in a newly shuffled order. If each pick
 * were random, a dead VM could by chance remain unprobed for long.
 */
export class MemberRotation {
  readonly #random: Random;
  #round: VmId[] = [];

  constructor(random: Random) {
    this.#random = random;
  }

  static create(random: Random): MemberRotation {
    return new MemberRotation(random);
  }

  /** The next of `members`; undefined if there are none. */
  takeNext(members: readonly VmId[]): VmId | undefined {
    if (members.length === 0) return undefined;
    const present = new Set(members);
    this.#round = this.#round.filter((vm) => present.has(vm));
    if (this.#round.length === 0) {
      this.#round = this.#random.toShuffled(members);
    }
    return this.#round.pop();
  }
}
