/**
 * A binary heap that can also drop or move an item in the middle.
 *
 * @module
 */

/** Keeps the item that comes first at hand; each change costs O(log n). */
export class Heap<T> {
  readonly #isBefore: (left: T, right: T) => boolean;
  readonly #items: T[] = [];
  readonly #places = new Map<T, number>();

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
    return this.#places.has(item);
  }

  getFirst(): T | undefined {
    return this.#items[0];
  }

  push(item: T): void {
    this.#items.push(item);
    this.#places.set(item, this.#items.length - 1);
    this.#updateUp(this.#items.length - 1);
  }

  pop(): T | undefined {
    const first = this.#items[0];
    if (first !== undefined) this.remove(first);
    return first;
  }

  remove(item: T): boolean {
    const place = this.#places.get(item);
    if (place === undefined) return false;
    this.#places.delete(item);
    const last = this.#items.pop()!;
    if (place < this.#items.length) {
      this.#put(last, place);
      this.#updatePlace(place);
    }
    return true;
  }

  /** Moves `item` to its place after its key changed. */
  update(item: T): void {
    const place = this.#places.get(item);
    if (place !== undefined) this.#updatePlace(place);
  }

  list(): IterableIterator<T> {
    return this.#items.values();
  }

  #updatePlace(place: number): void {
    this.#updateUp(place);
    this.#updateDown(place);
  }

  #updateUp(start: number): void {
    let place = start;
    const item = this.#items[place]!;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      const above = this.#items[parent]!;
      if (!this.#isBefore(item, above)) break;
      this.#put(above, place);
      place = parent;
    }
    this.#put(item, place);
  }

  #updateDown(start: number): void {
    let place = start;
    const item = this.#items[place]!;
    const size = this.#items.length;
    while (true) {
      let child = 2 * place + 1;
      if (child >= size) break;
      const right = child + 1;
      if (
        right < size && this.#isBefore(this.#items[right]!, this.#items[child]!)
      ) child = right;
      if (!this.#isBefore(this.#items[child]!, item)) break;
      this.#put(this.#items[child]!, place);
      place = child;
    }
    this.#put(item, place);
  }

  #put(item: T, place: number): void {
    this.#items[place] = item;
    this.#places.set(item, place);
  }
}
