/**
 * Request ids, which name and authenticate the VM that issued them.
 *
 * An id is `r~VM~INCARNATION~SEQUENCE~ISSUED~CODE`, or `s~…` for a single-use
 * id. The parts after the VM contain no `~`, so ids are parsed from the end,
 * and a VM's name may contain any character that is valid in a header. `CODE`
 * is an HMAC under a secret of the incarnation: an id can be verified without
 * being stored, and another caller's id cannot be guessed.
 *
 * @module
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { type Incarnation, type RequestId, toId, type VmId } from "../ids.ts";

const SEPARATOR = "~";
const PREFIX = "r";
const SINGLE_PREFIX = "s";
const NUMBER_BASE = 36;
const CODE_LENGTH = 20;
const MAX_ID_LENGTH = 300;
const NUMBER_PATTERN = /^[0-9a-z]{1,11}$/;
const PRINTABLE_PATTERN = /^[\x21-\x7e]+$/;

/** The parts of an id. */
export interface RequestIdParts {
  vm: VmId;
  incarnation: Incarnation;
  /** Whether the id belongs to one submission and cannot be resubmitted. */
  isSingle: boolean;
  /** Sequence number within the incarnation. */
  sequence: number;
  /** The issuer's monotonic time in whole milliseconds. */
  issuedAt: number;
  code: string;
}

/** Formats an id; only the issuing incarnation has `secret`. */
export function formatRequestId(
  parts: Omit<RequestIdParts, "code">,
  secret: string,
): RequestId {
  const stem = formatStem(parts);
  return toId<RequestId>(stem + SEPARATOR + computeCode(stem, secret));
}

/** Parses an id; undefined if its format is invalid. */
export function parseRequestId(text: string): RequestIdParts | undefined {
  if (text.length > MAX_ID_LENGTH || !PRINTABLE_PATTERN.test(text)) {
    return undefined;
  }
  const parts = text.split(SEPARATOR);
  const isSingle = parts[0] === SINGLE_PREFIX;
  if (parts.length < 6 || (parts[0] !== PREFIX && !isSingle)) {
    return undefined;
  }
  const [incarnation, sequence, issuedAt, code] = parts.slice(-4);
  if (!NUMBER_PATTERN.test(sequence!) || !NUMBER_PATTERN.test(issuedAt!)) {
    return undefined;
  }
  return {
    vm: toId<VmId>(parts.slice(1, -4).join(SEPARATOR)),
    incarnation: toId<Incarnation>(incarnation!),
    isSingle,
    sequence: parseInt(sequence!, NUMBER_BASE),
    issuedAt: parseInt(issuedAt!, NUMBER_BASE),
    code: code!,
  };
}

/** Whether the incarnation that holds `secret` issued the id. */
export function hasValidCode(parts: RequestIdParts, secret: string): boolean {
  const expected = Buffer.from(computeCode(formatStem(parts), secret));
  const actual = Buffer.from(parts.code);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}

function formatStem(parts: Omit<RequestIdParts, "code">): string {
  return [
    parts.isSingle ? SINGLE_PREFIX : PREFIX,
    parts.vm,
    parts.incarnation,
    parts.sequence.toString(NUMBER_BASE),
    parts.issuedAt.toString(NUMBER_BASE),
  ].join(SEPARATOR);
}

function computeCode(stem: string, secret: string): string {
  return createHmac("sha256", secret).update(stem).digest("hex")
    .slice(0, CODE_LENGTH);
}
