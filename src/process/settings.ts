/**
 * The daemon's settings: one JSON file, validated as a whole at startup.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { core } from "zod";
import { StepError, toError } from "../errors.ts";
import type { DataCentre, VmId } from "../ids.ts";
import { formatPath } from "../version/record_problem.ts";
import { findJsonError } from "./json_scanner.ts";
import type { LogLevel } from "./log.ts";
import { SETTINGS_SCHEMA } from "./settings_schema.ts";

const SECRET_KEYS: readonly string[] = ["secret", "token"];
const MAX_FOUND_LENGTH = 60;

/** TLS files of one listener; reloaded on SIGHUP. */
export interface TlsSettings {
  certFile: string;
  keyFile: string;
}

/** TLS files of the peers' listener, whose certificate other VMs verify. */
export interface PeerTlsSettings extends TlsSettings {
  /** CA of the VMs' certificates; `certFile` by default. */
  caFile?: string;
}

/** One listener. */
export interface ListenerSettings {
  /** 0 for a port that the system chooses. */
  port: number;
  /** IP address to listen on. */
  host: string;
  tls?: TlsSettings;
}

/** Source of the configuration and the membership list. */
export type SourceSettings =
  | { kind: "service"; urls: string[] }
  | { kind: "directory"; path: string };

/** Limits on callers' requests and connections. */
export interface LimitSettings {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  maxConnections: number;
  headerTimeoutMs: number;
  bodyTimeoutMs: number;
}

/** Another entry VM, queried before any membership list is known. */
export interface SeedSettings {
  vm: VmId;
  address: string;
  peerPort: number;
}

/** Settings of the daemon. */
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
    /** Maximum duration of a drain. */
    graceMs: number;
    /** How long callers may cache an answer of `/v1/entries`. */
    entriesTtlMs: number;
  };
  logLevel: LogLevel;
  /** Memory for answers that are retained for resubmitted requests. */
  retainedAnswersBytes: number;
  seeds: SeedSettings[];
}

/** Environment in which `{"env": "NAME"}` is looked up. */
export type SecretSource = Record<string, string | undefined>;

/** Invalid settings. The message names the file and the JSON path. */
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

/** Reads and validates a settings file. Throws `SettingsError`. */
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
      "Expected a readable file",
    );
  }
  return parseSettings(text, path, { secrets });
}

/** Parses and validates settings. Throws `SettingsError`. */
export function parseSettings(
  text: string,
  fileName: string,
  options: { secrets: SecretSource } = { secrets: process.env },
): Settings {
  const input = parseJson(text, fileName);
  const result = SETTINGS_SCHEMA.safeParse(input);
  if (!result.success) {
    throw toSettingsError(result.error.issues, { fileName, input });
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
  const error = findJsonError(text);
  if (error) {
    const place = `line ${error.line}, column ${error.column}`;
    throw new SettingsError(
      { fileName, jsonPath: "$" },
      `Invalid JSON at ${place}: ${error.message}`,
    );
  }
  return JSON.parse(text);
}

function getSecret(
  input: string | { env: string },
  place: { fileName: string; jsonPath: string; secrets: SecretSource },
): string {
  if (typeof input === "string") return input;
  const value = place.secrets[input.env];
  if (value) return value;
  throw new SettingsError(
    place,
    `Expected the environment variable ${input.env} to be set`,
  );
}

function toSettingsError(
  issues: readonly core.$ZodIssue[],
  options: { fileName: string; input: unknown },
): SettingsError {
  const [first, ...others] = issues.map((issue) => ({
    jsonPath: formatPath(getIssuePath(issue)),
    expected: formatIssue(issue, options.input),
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

function formatIssue(issue: core.$ZodIssue, input: unknown): string {
  if (issue.code === "unrecognized_keys") return "Unknown setting";
  const isObjectExpected = issue.code === "invalid_type" &&
    issue.expected === "object";
  const expected = isObjectExpected ? "an object" : issue.message;
  return `Expected ${expected}, but ${formatFound(issue.path, input)}`;
}

/** Describes the value at `path`, shortened, without secrets. */
function formatFound(path: readonly PropertyKey[], input: unknown): string {
  let value = input;
  for (const key of path) {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
  }
  if (value === undefined) return "it is missing";
  if (path.some((key) => SECRET_KEYS.includes(String(key)))) {
    return "found an invalid value";
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
