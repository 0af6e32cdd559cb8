/**
 * Shared secrets, compared in constant time.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";

const BEARER = "bearer ";

/** A secret, stored as its hash. */
export class SharedSecret {
  readonly #digest: Buffer;

  constructor(digest: Buffer) {
    this.#digest = digest;
  }

  static create(secret: string): SharedSecret {
    return new SharedSecret(computeDigest(secret));
  }

  /** Whether `candidate` is the secret; takes constant time. */
  isEqualTo(candidate: string | undefined): boolean {
    return timingSafeEqual(computeDigest(candidate ?? ""), this.#digest);
  }
}

/** Returns the token of an `authorization: Bearer` header, if it is one. */
export function readBearerToken(
  header: string | undefined,
): string | undefined {
  if (!header?.toLowerCase().startsWith(BEARER)) return undefined;
  return header.slice(BEARER.length).trim();
}

function computeDigest(secret: string): Buffer {
  return createHash("sha256").update(secret).digest();
}
