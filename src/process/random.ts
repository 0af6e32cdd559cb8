/**
 * Random numbers, injected, so that a seed repeats a run.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

const TWO_TO_32 = 2 ** 32;

/** A source of random numbers. */
export abstract class Random {
  /** A number in [0, 1). */
  abstract next(): number;

  /** A whole number in [0, bound). */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** `length` hexadecimal digits. */
  nextHex(length: number): string {
    let text = "";
    while (text.length < length) {
      text += this.nextInt(TWO_TO_32).toString(16).padStart(8, "0");
    }
    return text.slice(0, length);
  }

  /** `items` in an order that is as likely as any other. */
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

  /** `count` of `items`, or all where there are fewer, each once. */
  pickSample<T>(items: readonly T[], count: number): T[] {
    const left = [...items];
    const picked: T[] = [];
    while (picked.length < count && left.length > 0) {
      picked.push(...left.splice(this.nextInt(left.length), 1));
    }
    return picked;
  }

  /** One of `items`; undefined when there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.nextInt(items.length)];
  }
}

/** The operating system's random numbers. */
export class SystemRandom extends Random {
  static create(): SystemRandom {
    return new SystemRandom();
  }

  next(): number {
    return randomBytes(4).readUInt32LE() / TWO_TO_32;
  }
}

/** A seeded generator (mulberry32): the same seed gives the same numbers. */
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
