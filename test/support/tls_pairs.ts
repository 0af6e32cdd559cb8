/**
 * Two self-signed pairs for loopback, valid for a hundred years.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { ServerTls } from "../../src/connection/index.ts";

const FOLDER = new URL("../connection/fixtures/", import.meta.url);

/** Reads a pair; `cert` also serves as the authority that vouches for it. */
export function readTls(name: "a" | "b"): ServerTls {
  return {
    key: readFileSync(new URL(`tls_${name}.key.pem`, FOLDER), "utf8"),
    cert: readFileSync(new URL(`tls_${name}.cert.pem`, FOLDER), "utf8"),
  };
}
