/**
 * Hashes of a prompt's growing prefixes, by which replicas that hold them in
 * their cache are found.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Characters that one hash covers more than the one before it. */
export const PREFIX_BLOCK_CHARACTERS = 1024;
/** Hashes for one prompt; longer prompts share the last one. */
export const MAX_PREFIXES = 16;
const HASH_LENGTH = 16;
const CHARACTERS_PER_TOKEN = 4;

/**
 * Hashes the whole blocks of `prompt`, shortest prefix first. Prompts for
 * different models or adapters share no hash: nor do their caches.
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

/** A rough count of a prompt's tokens. */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}
