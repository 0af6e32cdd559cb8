/**
 * Two self-signed TLS key pairs for loopback, valid for a hundred years.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { ServerTls } from "../../src/connection/index.ts";

const FIXTURES = new URL("../connection/fixtures/", import.meta.url);

/** Reads a key pair; `cert` also serves as its certificate authority. */
export function readTls(name: "a" | "b"): ServerTls {
  return {
    key: readFileSync(new URL(`tls_${name}.key.pem`, FIXTURES), "utf8"),
    cert: readFileSync(new URL(`tls_${name}.cert.pem`, FIXTURES), "utf8"),
  };
}
