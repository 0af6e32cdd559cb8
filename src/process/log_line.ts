/**
 * Format of log lines: one event per line, as key=value pairs.
 *
 * @module
 */
import type { LogFields } from "./log.ts";

const MAX_VALUE_LENGTH = 2_000;
const REDACTED = "[redacted]";
const SECRET_WORDS: ReadonlySet<string> = new Set([
  "authorization",
  "cookie",
  "key",
  "password",
  "secret",
  "token",
]);
const RESERVED_KEYS: ReadonlySet<string> = new Set(["time", "level", "event"]);
const UNSAFE_IN_KEY = /[^A-Za-z0-9_.-]/g;
/** Values that need no quotes. */
const PLAIN_VALUE = /^[\x21\x23-\x3c\x3e-\x5b\x5d-\x7e]+$/;
/** Line ends and control characters that `JSON.stringify` does not escape. */
const RAW_LINE_ENDS = /[\u007f-\u009f\u2028\u2029]/g;
const CREDENTIAL = /\b(Bearer|Basic)\s+[^\s"]+/gi;
const PAIR = /([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s|$)/y;

/** One event with its time. */
export interface LogLine {
  /** Wall-clock time, ISO 8601. */
  time: string;
  level: string;
  event: string;
  fields: LogFields;
}

/** Formats an event as a line without line end. Redacts secrets. */
export function formatLogLine(line: LogLine): string {
  const pairs = [
    `time=${line.time}`,
    `level=${line.level}`,
    `event=${formatValue(line.event)}`,
  ];
  for (const [key, value] of Object.entries(line.fields)) {
    if (value === undefined) continue;
    pairs.push(`${formatKey(key)}=${formatField(key, value)}`);
  }
  return pairs.join(" ");
}

/**
 * Parses a line; undefined if it is not in this format. All values are returned
 * as text.
 */
export function parseLogLine(text: string): Record<string, string> | undefined {
  const pairs: Record<string, string> = {};
  PAIR.lastIndex = 0;
  while (PAIR.lastIndex < text.length) {
    const found = PAIR.exec(text);
    if (found === null) return undefined;
    pairs[found[1]!] = parseValue(found[2]!);
  }
  return pairs.time && pairs.event ? pairs : undefined;
}

function formatKey(key: string): string {
  const safe = key.replace(UNSAFE_IN_KEY, "_");
  // A field with a reserved key would shadow the line's own value.
  return RESERVED_KEYS.has(safe) || safe === "" ? `field_${safe}` : safe;
}

function formatField(key: string, value: string | number | boolean): string {
  if (typeof value !== "string") return String(value);
  if (isSecretKey(key)) return REDACTED;
  return formatValue(value.replace(CREDENTIAL, `$1 ${REDACTED}`));
}

/** Whether the text of a field with this name is a secret. */
function isSecretKey(key: string): boolean {
  const words = key.replace(/([a-z])([A-Z])/g, "$1_$2").toLowerCase();
  return words.split(/[^a-z]+/).some((word) => SECRET_WORDS.has(word));
}

function formatValue(value: string): string {
  const short = value.length > MAX_VALUE_LENGTH
    ? `${value.slice(0, MAX_VALUE_LENGTH)}…`
    : value;
  if (PLAIN_VALUE.test(short)) return short;
  return JSON.stringify(short).replace(RAW_LINE_ENDS, toEscape);
}

function toEscape(character: string): string {
  const code = character.charCodeAt(0).toString(16).padStart(4, "0");
  return `\\u${code}`;
}

function parseValue(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    return text;
  }
}
