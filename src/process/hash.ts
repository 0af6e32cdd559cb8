/**
 * Hashes of texts that all VMs compute alike; not for secrets.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Greater than any UTF-16 unit. */
const SEPARATOR = 0x10000;

/** FNV-1a over UTF-16 units, mixed, in 32 bits. */
export function computeTextHash(text: string): number {
  return computeMix(addText(FNV_OFFSET, text));
}

/** The same of several texts; where one ends makes a difference. */
export function computeTextsHash(texts: readonly string[]): number {
  let hash = FNV_OFFSET;
  for (const text of texts) hash = addUnit(addText(hash, text), SEPARATOR);
  return computeMix(hash);
}

/** Finalizer of MurmurHash3: each input bit affects each output bit. */
export function computeMix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

function addText(hash: number, text: string): number {
  let sum = hash;
  for (let index = 0; index < text.length; index++) {
    sum = addUnit(sum, text.charCodeAt(index));
  }
  return sum;
}

function addUnit(hash: number, unit: number): number {
  return Math.imul(hash ^ unit, FNV_PRIME);
}
