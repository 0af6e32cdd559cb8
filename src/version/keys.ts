/**
 * Workspace keys, which the records hold as hashes only.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { Snapshot, Workspace } from "./records.ts";

const ABSENT_DIGEST = Buffer.alloc(32);

/**
 * The SHA-256 of `key` in lower-case hexadecimal, as `key_hashes` holds it.
 * Neither salted nor slow: keys are long random texts, not passwords.
 */
export function computeKeyHash(key: string): string {
  return createHash("sha256").update(key, "utf8").digest("hex");
}

/**
 * Finds the workspace that `key` belongs to, if any.
 *
 * A comparison that stops at the first differing byte answers sooner the
 * earlier it differs; a caller who times the answers could guess a key byte by
 * byte. The look-up is by digest, and one changed byte of a key changes all of
 * its digest, so its time says nothing of how near the key was. The digests
 * are then compared in constant time, also when the look-up finds none, so
 * that both outcomes take the same path.
 */
export function findWorkspaceByKey(
  snapshot: Snapshot,
  key: string,
): Workspace | undefined {
  const hash = computeKeyHash(key);
  const digest = Buffer.from(hash, "hex");
  const workspace = snapshot.workspaceByKeyHash.get(hash);
  const listed = workspace?.keyHashes.find((entry) => entry === hash);
  const expected = listed ? Buffer.from(listed, "hex") : ABSENT_DIGEST;
  return timingSafeEqual(digest, expected) ? workspace : undefined;
}
