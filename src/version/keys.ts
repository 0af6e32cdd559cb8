/**
 * Look-up of workspaces by API key. Records hold keys only as hashes.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { Snapshot, Workspace } from "./records.ts";

const PLACEHOLDER_DIGEST = Buffer.alloc(32);

/**
 * Computes the SHA-256 of `key` in lower-case hexadecimal, the form used in
 * `key_hashes`. Neither salted nor slow, since keys are long random strings and
 * not passwords.
 */
export function computeKeyHash(key: string): string {
  return createHash("sha256").update(key, "utf8").digest("hex");
}

/**
 * Finds the workspace that `key` belongs to, if any.
 *
 * Comparing keys directly would take longer the more leading bytes match, and a
 * caller could guess a key byte by byte from response times. The look-up uses
 * the digest instead: changing one byte of a key changes its whole digest, so
 * the time does not reveal how close the key was. The digests are then compared
 * in constant time, even if the look-up found none, so that both outcomes take
 * the same code path.
 */
export function findWorkspaceByKey(
  snapshot: Snapshot,
  key: string,
): Workspace | undefined {
  const hash = computeKeyHash(key);
  const digest = Buffer.from(hash, "hex");
  const workspace = snapshot.workspaceByKeyHash.get(hash);
  const listed = workspace?.keyHashes.find((entry) => entry === hash);
  const expected = listed ? Buffer.from(listed, "hex") : PLACEHOLDER_DIGEST;
  return timingSafeEqual(digest, expected) ? workspace : undefined;
}
