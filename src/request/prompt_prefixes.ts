/**
 * Hashes of a prompt's prefixes, used to find replicas that have them cached.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Characters by which each hashed prefix is longer than the one before. */
export const PREFIX_BLOCK_CHARACTERS = 1024;
/** Limit on hashes of one prompt; text beyond the last one is not hashed. */
export const MAX_PREFIXES = 16;
const HASH_LENGTH = 16;
const CHARACTERS_PER_TOKEN = 4;

/**
 * Hashes the full blocks of `prompt`, shortest prefix first. Prompts for
 * different models or adapters share no hash, as they share no cache.
 */
export function computePrefixes(prompt: string, model: string): string[] {
  const blocks = Math.min(
    MAX_PREFIXES,
    Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS),
  );
  const hash = createHash("sha256").update(`${model}\n`);
  const prefixes: string[] = [];
  for (let block = 0; block < blocks; block++) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    hash.update(prompt.slice(start, start + PREFIX_BLOCK_CHARACTERS));
    prefixes.push(hash.copy().digest("hex").slice(0, HASH_LENGTH));
  }
  return prefixes;
}

/** Estimates the number of tokens in a prompt. */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}
