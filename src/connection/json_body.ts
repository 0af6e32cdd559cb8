/**
 * Parser for callers' JSON bodies, which may be hostile.
 *
 * @module
 */
import { RefusalError } from "../outcome.ts";

const QUOTE = 0x22;
const COMMA = 0x2c;
const COLON = 0x3a;
const OPEN_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const CLOSE_BRACKET = 0x5d;
const OPEN_BRACE = 0x7b;
const CLOSE_BRACE = 0x7d;
const FIRST_PRINTABLE = 0x21;
const FORBIDDEN_KEY = "__proto__";

/** Limits on a body. */
export interface JsonLimits {
  /** Nesting depth of objects and arrays. */
  maxDepth: number;
  /** Number of keys in all objects together. */
  maxKeys: number;
}

/** Sufficient for the calls in docs/CALLING.md. */
const DEFAULT_JSON_LIMITS: JsonLimits = {
  maxDepth: 64,
  maxKeys: 100_000,
};

/**
 * Parses a JSON object. Throws `RefusalError` (`bad_request`, `not_run`) for
 * invalid UTF-8, invalid JSON, any other top-level value, too deep nesting, too
 * many keys, duplicate keys or a `__proto__` key.
 */
export function parseJsonBody(
  bytes: Uint8Array,
  limits: JsonLimits = DEFAULT_JSON_LIMITS,
): Record<string, unknown> {
  const text = decodeText(bytes);
  checkStructure(text, limits);
  const value = parseText(text);
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw createBadRequest("Body must be a JSON object");
  }
  return value as Record<string, unknown>;
}

function decodeText(bytes: Uint8Array): string {
  try {
    return new TextDecoder("utf-8", { fatal: true }).decode(bytes);
  } catch {
    throw createBadRequest("Body is not valid UTF-8");
  }
}

function parseText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw createBadRequest("Body is not valid JSON");
  }
}

/**
 * Checks nesting depth, number of keys and duplicate keys before `JSON.parse`,
 * which would build a nesting of any depth in memory and keep only the last of
 * two equal keys, so that the router's checks and an upstream could read
 * different values. Invalid JSON may pass this check, but then fails to parse.
 */
function checkStructure(text: string, limits: JsonLimits): void {
  // The keys of each open object; undefined for an open array.
  const open: (Set<string> | undefined)[] = [];
  let isKeyNext = false;
  let keys = 0;
  let at = 0;
  while (at < text.length) {
    const code = text.charCodeAt(at);
    if (code === QUOTE) {
      const end = findStringEnd(text, at);
      if (isKeyNext) {
        noteKey(open.at(-1), text.slice(at, end));
        keys += 1;
        if (keys > limits.maxKeys) {
          throw createBadRequest("Body exceeds the limit on keys");
        }
        isKeyNext = false;
      }
      at = end;
      continue;
    }
    if (code === OPEN_BRACE || code === OPEN_BRACKET) {
      open.push(code === OPEN_BRACE ? new Set() : undefined);
      isKeyNext = code === OPEN_BRACE;
      if (open.length > limits.maxDepth) {
        throw createBadRequest("Body exceeds the limit on nesting depth");
      }
    } else if (code === CLOSE_BRACE || code === CLOSE_BRACKET) {
      open.pop();
      isKeyNext = false;
    } else if (code === COMMA) {
      isKeyNext = open.at(-1) !== undefined;
    } else if (code === COLON || code >= FIRST_PRINTABLE) {
      isKeyNext = false;
    }
    at += 1;
  }
}

/** The index after the closing quote of the string that starts at `start`. */
function findStringEnd(text: string, start: number): number {
  let at = start + 1;
  while (true) {
    const quote = text.indexOf('"', at);
    if (quote < 0) throw createBadRequest("Body is not valid JSON");
    if (!isEscaped(text, quote)) return quote + 1;
    at = quote + 1;
  }
}

function isEscaped(text: string, at: number): boolean {
  let backslashes = 0;
  while (text.charCodeAt(at - 1 - backslashes) === BACKSLASH) backslashes += 1;
  return backslashes % 2 === 1;
}

function noteKey(keys: Set<string> | undefined, literal: string): void {
  const key = literal.includes("\\")
    ? String(parseText(literal))
    : literal.slice(1, -1);
  if (key === FORBIDDEN_KEY) {
    throw createBadRequest("Body has a forbidden key");
  }
  if (keys?.has(key)) throw createBadRequest("Body has a duplicate key");
  keys?.add(key);
}

function createBadRequest(message: string): RefusalError {
  return new RefusalError({ code: "bad_request", message, outcome: "not_run" });
}
