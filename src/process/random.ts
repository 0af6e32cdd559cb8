/**
 * Injected random numbers, so that a seed reproduces a run.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

const TWO_TO_32 = 2 ** 32;

/** A source of random numbers. */
export abstract class Random {
  /** Returns a number in [0, 1). */
  abstract next(): number;

  /** Returns an integer in [0, bound). */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns `length` hexadecimal digits. */
  nextHex(length: number): string {
    let text = "";
    while (text.length < length) {
      text += this.nextInt(TWO_TO_32).toString(16).padStart(8, "0");
    }
    return text.slice(0, length);
  }

  /** Returns a uniformly shuffled copy of `items`. */
  toShuffled<T>(items: readonly T[]): T[] {
    const shuffled = [...items];
    for (let last = shuffled.length - 1; last > 0; last--) {
      const index = this.nextInt(last + 1);
      const moved = shuffled[last]!;
      shuffled[last] = shuffled[index]!;
      shuffled[index] = moved;
    }
    return shuffled;
  }

  /** Picks `count` items without replacement, or all if there are fewer. */
  pickSample<T>(items: readonly T[], count: number): T[] {
    const remaining = [...items];
    const picked: T[] = [];
    while (picked.length < count && remaining.length > 0) {
      picked.push(...remaining.splice(this.nextInt(remaining.length), 1));
    }
    return picked;
  }

  /** Picks one item; undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.nextInt(items.length)];
  }
}

/** Random numbers of the operating system. */
export class SystemRandom extends Random {
  static create(): SystemRandom {
    return new SystemRandom();
  }

  next(): number {
    return randomBytes(4).readUInt32LE() / TWO_TO_32;
  }
}

/** Seeded generator (mulberry32) with a reproducible sequence. */
export class SeededRandom extends Random {
  #state: number;

  constructor(seed: number) {
    super();
    this.#state = seed >>> 0;
  }

  static create(seed: number): SeededRandom {
    return new SeededRandom(seed);
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / TWO_TO_32;
  }
}
