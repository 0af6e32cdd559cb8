/**
 * Follows the history of a store that may be restored from an older copy.
 *
 * The store counts its restorations in its answers. One that it does not tell
 * shows by a read of everything whose revision is lower than what was known
 * before the read began.
 *
 * @module
 */
import {
  getEra,
  isNewer,
  type ListPosition,
} from "../placement/list_position.ts";

/** Stands for a restoration that the store does not tell. */
const UNTOLD_ERA = 1 / 1_024;

/** The position up to which a client of the store has read. */
export class StoreHistory {
  #era = 0;
  #revision = 0;
  /** The newest list that any client is known to have read. */
  #heard: ListPosition = { revision: 0 };
  /** Whether everything has to be read before a watch can go on. */
  #needsWholeRead = false;

  static create(): StoreHistory {
    return new StoreHistory();
  }

  get position(): ListPosition {
    return { era: this.#era, revision: this.#revision };
  }

  /** The newest position that any client is known to have read up to. */
  get newest(): ListPosition {
    return isNewer(this.#heard, this.position) ? this.#heard : this.position;
  }

  get revision(): number {
    return this.#revision;
  }

  get era(): number {
    return this.#era;
  }

  get needsWholeRead(): boolean {
    return this.#needsWholeRead;
  }

  /**
   * Records the era that an answer tells, undefined for none; returns whether it
   * is a new one. Throws for an era that is over: the answer was late, or the
   * store is wrong, and a position in it can't be ordered.
   */
  noteEra(told: number | undefined): boolean {
    const known = Math.floor(this.#era);
    if (told === undefined || told === known) return false;
    if (told < known) {
      throw new Error(`store answers from era ${told}, but ${known} has begun`);
    }
    this.#startEra(told);
    return true;
  }

  /**
   * Records a read of everything; `before` was the newest position when it
   * began. Throws if the store's history went back without a new era.
   */
  noteWholeRead(revision: number, before: ListPosition): void {
    const isSameEra = getEra(before) === this.#era;
    const known = Math.floor(before.revision);
    if (isSameEra && revision < known) {
      this.#startEra(this.#era + UNTOLD_ERA);
      throw new Error(`store went back from revision ${known} to ${revision}`);
    }
    this.#needsWholeRead = false;
    this.#revision = revision;
  }

  /** Records the revision of a change. */
  noteChange(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Records a list that another client read. */
  noteHeard({ era, revision }: ListPosition): void {
    this.#heard = { era, revision };
  }

  /** Goes on from a list that another client read; returns whether it is newer. */
  resumeFrom(list: ListPosition): boolean {
    if (!isNewer(list, this.position)) return false;
    this.replaceBy(list);
    return true;
  }

  /** Goes on from a list that another client read, older or newer. */
  replaceBy(list: ListPosition): void {
    this.#era = getEra(list);
    this.#revision = list.revision;
    this.#needsWholeRead = false;
  }

  #startEra(era: number): void {
    this.#era = era;
    this.#revision = 0;
    this.#needsWholeRead = true;
  }
}
