/**
 * The order in which members are probed.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { Random } from "./random.ts";

/**
 * Gives every member once in each round, in an order shuffled anew: with a
 * free choice each time, a dead VM could stay unprobed for long by chance.
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

  /** The next of `members`; undefined when there are none. */
  takeNext(members: readonly VmId[]): VmId | undefined {
    if (members.length === 0) return undefined;
    const present = new Set(members);
    this.#round = this.#round.filter((vm) => present.has(vm));
    if (this.#round.length === 0) {
      this.#round = this.#random.pickOrder(members);
    }
    return this.#round.pop();
  }
}
