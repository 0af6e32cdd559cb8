/**
 * The form of a log line: key=value pairs, one event a line.
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
const OWN_KEYS: ReadonlySet<string> = new Set(["time", "level", "event"]);
const UNSAFE_IN_KEY = /[^A-Za-z0-9_.-]/g;
/** Values that may stand without quotes. */
const PLAIN_VALUE = /^[\x21\x23-\x3c\x3e-\x5b\x5d-\x7e]+$/;
/** Line ends and controls that `JSON.stringify` lets through. */
const RAW_LINE_ENDS = /[\u007f-\u009f\u2028\u2029]/g;
const CREDENTIAL = /\b(Bearer|Basic)\s+[^\s"]+/gi;
const PAIR = /([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s|$)/y;

/** One event as it is written. */
export interface LogLine {
  /** Calendar time, ISO 8601. */
  time: string;
  level: string;
  event: string;
  fields: LogFields;
}

/** Writes an event as one line without its end; never with a secret in it. */
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
 * Reads a line back; undefined where it is not of this form. Every value comes
 * back as text.
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
  // A field named like one of the line's own would hide it from a reader.
  return OWN_KEYS.has(safe) || safe === "" ? `field_${safe}` : safe;
}

function formatField(key: string, value: string | number | boolean): string {
  if (typeof value !== "string") return String(value);
  if (isSecretKey(key)) return REDACTED;
  return formatValue(value.replace(CREDENTIAL, `$1 ${REDACTED}`));
}

/** Whether a field's name says that its text is a secret. */
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
