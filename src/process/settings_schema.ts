/**
 * Schema of the daemon's settings file, with the descriptions that
 * docs/SETTINGS.md shows.
 *
 * @module
 */
import { z } from "zod";

const MAX_PORT = 65_535;
const EXPECTED_LEVEL = "one of debug, info, warn, error";
const DEFAULT_HOST = "0.0.0.0";
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const DEFAULT_MAX_CONNECTIONS = 10_000;
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
const DEFAULT_BODY_TIMEOUT_MS = 30_000;
const DEFAULT_GRACE_MS = 600_000;
const DEFAULT_ENTRIES_TTL_MS = 10_000;
const DEFAULT_RETAINED_ANSWERS_BYTES = 16_777_216;

const NAME = z.string("a string").min(1, "a non-empty string");

const PORT = z.int(`a port number from 0 to ${MAX_PORT}`)
  .min(0, `a port number from 0 to ${MAX_PORT}`)
  .max(MAX_PORT, `a port number from 0 to ${MAX_PORT}`);

const COUNT = z.int("an integer of 1 or more")
  .min(1, "an integer of 1 or more");

const IP_ADDRESS = z.union([z.ipv4(), z.ipv6()], "an IP address");

const SECRET = z.union([
  z.string().min(1),
  z.strictObject({ env: z.string().min(1) }),
], 'a string, or {"env": "NAME"} to read it from the environment');

const TLS = z.strictObject({
  cert_file: NAME.describe("PEM file of the certificate chain"),
  key_file: NAME.describe("PEM file of the private key"),
});

// `ca_file` verifies the other VMs' listeners; no listener requests client
// certificates. On another listener it would suggest that clients need one, so
// it is rejected there as an unknown setting.
const PEER_TLS = TLS.extend({
  ca_file: NAME.optional().describe(
    "PEM file of the CA of the VMs' certificates; else `cert_file`",
  ),
});

const HOST = IP_ADDRESS.default(DEFAULT_HOST)
  .describe("IP address to listen on");

const DEFAULT_TLS_DESCRIPTION = "Plain HTTP where this is left out";

const HTTP_URL = z.url({ protocol: /^https?$/, error: "an http or https URL" });

const LISTENERS = z.strictObject({
  callers: z.strictObject({
    port: PORT.describe("Port for callers"),
    host: HOST,
    tls: TLS.optional().describe(DEFAULT_TLS_DESCRIPTION),
  }),
  peers: z.strictObject({
    port: PORT.describe("Port for the other entry VMs"),
    host: HOST,
    secret: SECRET.describe("Secret that all entry VMs share"),
    tls: PEER_TLS.optional().describe(DEFAULT_TLS_DESCRIPTION),
  }),
  operators: z.strictObject({
    port: PORT.describe("Port for operators and the tool"),
    host: HOST,
    token: SECRET.describe("Bearer token of the operator API"),
    tls: TLS.optional().describe(DEFAULT_TLS_DESCRIPTION),
  }),
});

const SOURCE = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("service").describe("The platform's services"),
    urls: z.array(HTTP_URL, "a list of URLs").min(1, "at least one URL")
      .describe("Base URLs of the configuration service"),
  }),
  z.strictObject({
    kind: z.literal("directory").describe("Files in a directory"),
    path: NAME.describe("Directory with index.json, groups/, membership.json"),
  }),
], 'an object whose kind is "service" or "directory"');

const LIMITS = z.strictObject({
  max_header_bytes: COUNT.default(DEFAULT_MAX_HEADER_BYTES)
    .describe("Bytes of a request's headers"),
  max_body_bytes: COUNT.default(DEFAULT_MAX_BODY_BYTES)
    .describe("Bytes of a request's body"),
  max_connections: COUNT.default(DEFAULT_MAX_CONNECTIONS)
    .describe(
      "Open connections of callers; beyond it an idle one is closed",
    ),
  header_timeout_ms: COUNT.default(DEFAULT_HEADER_TIMEOUT_MS)
    .describe("Time in which a caller must have sent its headers"),
  body_timeout_ms: COUNT.default(DEFAULT_BODY_TIMEOUT_MS)
    .describe("Time in which a caller must have sent its body"),
});

const DRAIN = z.strictObject({
  grace_ms: COUNT.default(DEFAULT_GRACE_MS)
    .describe("Longest time that a drain waits for requests in flight"),
  entries_ttl_ms: COUNT.default(DEFAULT_ENTRIES_TTL_MS)
    .describe("Time for which callers may keep an answer of /v1/entries"),
});

const SEED = z.strictObject({
  vm: NAME.describe("Name of another entry VM"),
  address: IP_ADDRESS.describe("Its IP address"),
  peer_port: PORT.describe("Its port for peers"),
});

/** Settings as they are in the file; parsing fills in the defaults. */
export const SETTINGS_SCHEMA = z.strictObject({
  vm: NAME.describe("This VM's name in the membership list"),
  data_centre: NAME.describe("This VM's data centre"),
  address: IP_ADDRESS
    .describe("IP address at which others reach this VM"),
  listeners: LISTENERS,
  source: SOURCE,
  limits: LIMITS.prefault({}),
  drain: DRAIN.prefault({}),
  log_level: z.enum(["debug", "info", "warn", "error"], EXPECTED_LEVEL).default(
    "info",
  )
    .describe("Least level of the events that are logged"),
  retained_answers_bytes: z.int("an integer of 0 or more")
    .min(0, "an integer of 0 or more")
    .default(DEFAULT_RETAINED_ANSWERS_BYTES)
    .describe("Memory for answers kept for resubmitted requests"),
  seeds: z.array(SEED, "a list of entry VMs").default([]),
});
