/**
 * A binary heap with removal and key updates of any item.
 *
 * @module
 */

/** Indexed binary heap: O(1) access to the first item, O(log n) changes. */
export class Heap<T> {
  readonly #isBefore: (left: T, right: T) => boolean;
  readonly #items: T[] = [];
  readonly #indexes = new Map<T, number>();

  constructor(isBefore: (left: T, right: T) => boolean) {
    this.#isBefore = isBefore;
  }

  static create<T>(isBefore: (left: T, right: T) => boolean): Heap<T> {
    return new Heap(isBefore);
  }

  get size(): number {
    return this.#items.length;
  }

  has(item: T): boolean {
    return this.#indexes.has(item);
  }

  getFirst(): T | undefined {
    return this.#items[0];
  }

  push(item: T): void {
    this.#items.push(item);
    this.#indexes.set(item, this.#items.length - 1);
    this.#updateUp(this.#items.length - 1);
  }

  pop(): T | undefined {
    const first = this.#items[0];
    if (first !== undefined) this.remove(first);
    return first;
  }

  remove(item: T): boolean {
    const index = this.#indexes.get(item);
    if (index === undefined) return false;
    this.#indexes.delete(item);
    const last = this.#items.pop()!;
    if (index < this.#items.length) {
      this.#put(last, index);
      this.#updateIndex(index);
    }
    return true;
  }

  /** Restores the heap order after the key of `item` changed. */
  update(item: T): void {
    const index = this.#indexes.get(item);
    if (index !== undefined) this.#updateIndex(index);
  }

  list(): IterableIterator<T> {
    return this.#items.values();
  }

  #updateIndex(index: number): void {
    this.#updateUp(index);
    this.#updateDown(index);
  }

  #updateUp(start: number): void {
    let index = start;
    const item = this.#items[index]!;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parentItem = this.#items[parentIndex]!;
      if (!this.#isBefore(item, parentItem)) break;
      this.#put(parentItem, index);
      index = parentIndex;
    }
    this.#put(item, index);
  }

  #updateDown(start: number): void {
    let index = start;
    const item = this.#items[index]!;
    const size = this.#items.length;
    while (true) {
      let child = 2 * index + 1;
      if (child >= size) break;
      const right = child + 1;
      if (
        right < size && this.#isBefore(this.#items[right]!, this.#items[child]!)
      ) child = right;
      if (!this.#isBefore(this.#items[child]!, item)) break;
      this.#put(this.#items[child]!, index);
      index = child;
    }
    this.#put(item, index);
  }

  #put(item: T, index: number): void {
    this.#items[index] = item;
    this.#indexes.set(item, index);
  }
}
