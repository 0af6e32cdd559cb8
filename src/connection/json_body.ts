/**
 * Callers' JSON, which may be hostile: it gives an object or a refusal.
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

/** Bounds on a body. */
export interface JsonLimits {
  /** Objects and arrays within one another. */
  maxDepth: number;
  /** Keys of all objects together. */
  maxKeys: number;
}

/** Bounds that fit the calls of docs/CALLING.md. */
const DEFAULT_JSON_LIMITS: JsonLimits = {
  maxDepth: 64,
  maxKeys: 100_000,
};

/**
 * Parses a body whose top level is an object. Throws `RefusalError`
 * (`bad_request`, `not_run`) for anything else: bad UTF-8, bad JSON, nesting
 * past the bound, a key given twice, a `__proto__` key.
 */
export function parseJsonBody(
  bytes: Uint8Array,
  limits: JsonLimits = DEFAULT_JSON_LIMITS,
): Record<string, unknown> {
  const text = decodeText(bytes);
  checkShape(text, limits);
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
 * Bounds depth and finds repeated keys. It runs before `JSON.parse`, which
 * would build a nesting of any depth in memory and silently keep the last of
 * two equal keys, so that a check and an upstream could read different values.
 * Text that is not JSON passes here or fails here; it never passes both.
 */
function checkShape(text: string, limits: JsonLimits): void {
  // One entry for each open object or array; undefined for an array.
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
          throw createBadRequest("Body has too many keys");
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
        throw createBadRequest("Body is nested too deeply");
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
    throw createBadRequest("Body has a key that is not allowed");
  }
  if (keys?.has(key)) throw createBadRequest("Body has a key twice");
  keys?.add(key);
}

function createBadRequest(message: string): RefusalError {
  return new RefusalError({ code: "bad_request", message, outcome: "not_run" });
}
