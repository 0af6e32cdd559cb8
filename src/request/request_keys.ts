/**
 * The keys by which crashes under one request tell of others.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type PartKey, type RequestFingerprint, toId } from "../ids.ts";
import type { RequestKeys } from "../process/crash_quarantine.ts";
import type { UpstreamWork } from "./upstream_work.ts";

/** Further parts of a prompt are left out. */
const MAX_PARTS = 64;
/** Callers choose ids of any length; longer ones are replaced by a hash. */
const MAX_ID_LENGTH = 40;
const HASH_LENGTH = 16;

/** Builds the keys of a request. */
export function buildRequestKeys(
  fingerprint: RequestFingerprint,
  work: Pick<UpstreamWork, "pool" | "listSharedParts">,
): RequestKeys {
  const pool = work.pool.name;
  const ids = new Set(work.listSharedParts().slice(0, MAX_PARTS));
  const parts = [...ids].map((id) =>
    toId<PartKey>(`${pool}/${buildShortId(id)}`)
  );
  return { fingerprint, pool, parts };
}

function buildShortId(id: string): string {
  if (id.length <= MAX_ID_LENGTH) return id;
  return createHash("sha256").update(id).digest("hex").slice(0, HASH_LENGTH);
}
