/**
 * The daemon's settings: one JSON file, checked as a whole before anything
 * starts.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { core } from "zod";
import { StepError, toError } from "../errors.ts";
import type { DataCentre, VmId } from "../ids.ts";
import { formatPath } from "../version/record_problem.ts";
import { findJsonFault } from "./json_scanner.ts";
import type { LogLevel } from "./log.ts";
import { SETTINGS_SCHEMA } from "./settings_schema.ts";

const SECRET_KEYS: readonly string[] = ["secret", "token"];
const MAX_FOUND_LENGTH = 60;

/** Files of one listener's TLS; read again when they change. */
export interface TlsSettings {
  certFile: string;
  keyFile: string;
}

/** The peers' files; VMs check each other's listeners. */
export interface PeerTlsSettings extends TlsSettings {
  /** The authority that vouches for the VMs; `certFile` without it. */
  caFile?: string;
}

/** One listener. */
export interface ListenerSettings {
  /** 0 lets the system choose. */
  port: number;
  /** IP address to listen on. */
  host: string;
  tls?: TlsSettings;
}

/** Where configuration and membership come from. */
export type SourceSettings =
  | { kind: "service"; urls: string[] }
  | { kind: "directory"; path: string };

/** Limits on what one caller may send. */
export interface LimitSettings {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  maxConnections: number;
  headerTimeoutMs: number;
  bodyTimeoutMs: number;
}

/** Another entry VM, to be asked before any membership list is known. */
export interface SeedSettings {
  vm: VmId;
  address: string;
  peerPort: number;
}

/** Everything that the daemon is told at its start. */
export interface Settings {
  vm: VmId;
  dataCentre: DataCentre;
  /** IP address at which others reach this VM. */
  address: string;
  listeners: {
    callers: ListenerSettings;
    peers: ListenerSettings & { secret: string; tls?: PeerTlsSettings };
    operators: ListenerSettings & { token: string };
  };
  source: SourceSettings;
  limits: LimitSettings;
  drain: {
    /** Longest wait for requests in flight. */
    graceMs: number;
    /** How long callers may keep an answer of `/v1/entries`. */
    entriesTtlMs: number;
  };
  logLevel: LogLevel;
  /** Memory for answers kept for resubmitted requests. */
  retainedAnswersBytes: number;
  seeds: SeedSettings[];
}

/** Where a secret named by `{"env": "NAME"}` is looked up. */
export type SecretSource = Record<string, string | undefined>;

/** A settings file that cannot be used; the message names the place. */
export class SettingsError extends StepError {
  readonly fileName: string;
  /** JSON path such as `$.listeners.callers.port`; `$` for the whole file. */
  readonly jsonPath: string;

  constructor(
    place: { fileName: string; jsonPath: string; cause?: Error },
    expected: string,
  ) {
    super(
      {
        step: "read_settings",
        ...(place.cause && { cause: place.cause }),
      },
      `${place.fileName}: ${place.jsonPath}: ${expected}`,
    );
    this.name = "SettingsError";
    this.fileName = place.fileName;
    this.jsonPath = place.jsonPath;
  }
}

/** Reads and checks a settings file. Throws `SettingsError`. */
export function readSettings(
  path: string,
  secrets: SecretSource = process.env,
): Settings {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (thrown) {
    throw new SettingsError(
      { fileName: path, jsonPath: "$", cause: toError(thrown) },
      "Expected a file that can be read",
    );
  }
  return parseSettings(text, path, { secrets });
}

/** Checks settings given as text. Throws `SettingsError`. */
export function parseSettings(
  text: string,
  fileName: string,
  options: { secrets: SecretSource } = { secrets: process.env },
): Settings {
  const written = parseJson(text, fileName);
  const result = SETTINGS_SCHEMA.safeParse(written);
  if (!result.success) {
    throw toSettingsError(result.error.issues, { fileName, written });
  }
  const { listeners } = result.data;
  const place = { fileName, secrets: options.secrets };
  const peerSecret = getSecret(listeners.peers.secret, {
    ...place,
    jsonPath: "$.listeners.peers.secret",
  });
  const operatorToken = getSecret(listeners.operators.token, {
    ...place,
    jsonPath: "$.listeners.operators.token",
  });
  return convertKeys({
    ...result.data,
    listeners: {
      ...listeners,
      peers: { ...listeners.peers, secret: peerSecret },
      operators: { ...listeners.operators, token: operatorToken },
    },
  }) as Settings;
}

function parseJson(text: string, fileName: string): unknown {
  const fault = findJsonFault(text);
  if (fault) {
    const place = `line ${fault.line}, column ${fault.column}`;
    throw new SettingsError(
      { fileName, jsonPath: "$" },
      `Not valid JSON at ${place}: ${fault.message}`,
    );
  }
  return JSON.parse(text);
}

function getSecret(
  written: string | { env: string },
  place: { fileName: string; jsonPath: string; secrets: SecretSource },
): string {
  if (typeof written === "string") return written;
  const value = place.secrets[written.env];
  if (value) return value;
  throw new SettingsError(
    place,
    `Expected the environment variable ${written.env} to be set`,
  );
}

function toSettingsError(
  issues: readonly core.$ZodIssue[],
  options: { fileName: string; written: unknown },
): SettingsError {
  const [first, ...others] = issues.map((issue) => ({
    jsonPath: formatPath(getIssuePath(issue)),
    expected: formatIssue(issue, options.written),
  }));
  const rest = others.map((line) => `\n${line.jsonPath}: ${line.expected}`);
  return new SettingsError(
    { fileName: options.fileName, jsonPath: first!.jsonPath },
    first!.expected + rest.join(""),
  );
}

function getIssuePath(issue: core.$ZodIssue): PropertyKey[] {
  return issue.code === "unrecognized_keys"
    ? [...issue.path, issue.keys[0] ?? ""]
    : issue.path;
}

function formatIssue(issue: core.$ZodIssue, written: unknown): string {
  if (issue.code === "unrecognized_keys") return "There is no such setting";
  const isObjectExpected = issue.code === "invalid_type" &&
    issue.expected === "object";
  const expected = isObjectExpected ? "an object" : issue.message;
  return `Expected ${expected}, but ${formatFound(issue.path, written)}`;
}

/** What stands at `path`, shortened, and never a secret. */
function formatFound(path: readonly PropertyKey[], written: unknown): string {
  let value = written;
  for (const key of path) {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
  }
  if (value === undefined) return "it is missing";
  if (path.some((key) => SECRET_KEYS.includes(String(key)))) {
    return "found something else";
  }
  const text = JSON.stringify(value);
  return text.length > MAX_FOUND_LENGTH
    ? `found ${text.slice(0, MAX_FOUND_LENGTH)}…`
    : `found ${text}`;
}

function convertKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(convertKeys);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value)
      .filter(([, item]) => item !== undefined)
      .map(([key, item]) => [toCamelCase(key), convertKeys(item)]),
  );
}

function toCamelCase(key: string): string {
  return key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
