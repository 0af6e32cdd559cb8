/**
 * Interface of a source of published configurations and membership lists.
 *
 * @module
 */
import { StepError, toError } from "../errors.ts";
import { parseGroup, parseIndex } from "../version/index.ts";
import type { RecordIndex } from "../version/index.ts";

/** Maximum size of a published value, as set by the platform. */
export const MAX_VALUE_BYTES = 1_048_576;

/** The step and source of a read, for error messages. */
export interface ReadContext {
  step: string;
  peer: string;
}

/** Source of published configurations and membership lists. */
export abstract class ConfigurationSource {
  /**
   * Waits up to `waitMs` for an index newer than version `after`; undefined if
   * there is none. Throws `StepError` if the source does not answer.
   */
  abstract fetchIndex(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RecordIndex | undefined>;
  /** Fetches the records of a group, which are immutable for a version. */
  abstract fetchGroup(name: string, version: number): Promise<unknown[]>;
  /**
   * Waits up to `waitMs` for a membership list with a revision above `after`;
   * undefined if there is none. The list is not validated.
   */
  abstract fetchMembership(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<unknown | undefined>;
}

/** Parses an index; undefined if not newer than `after`. Throws `StepError`. */
export function parseIndexText(
  text: string,
  after: number,
  context: ReadContext,
): RecordIndex | undefined {
  const index = parseText(text, parseIndex, context);
  // A stale source may return an older index than requested.
  return index.version > after ? index : undefined;
}

/** Parses the records of a group. Throws `StepError`. */
export function parseGroupText(text: string, context: ReadContext): unknown[] {
  return parseText(text, parseGroup, context);
}

/** Parses a list; undefined if not newer than `after`. Throws `StepError`. */
export function parseMembershipText(
  text: string,
  after: number,
  context: ReadContext,
): unknown | undefined {
  const value = parseText(text, (json) => json, context);
  return getRevision(value) > after ? value : undefined;
}

/** The revision of a list that is not validated yet; -1 if it has none. */
export function getRevision(value: unknown): number {
  const revision = (value as { revision?: unknown } | null)?.revision;
  return typeof revision === "number" && Number.isSafeInteger(revision)
    ? revision
    : -1;
}

function parseText<T>(
  text: string,
  convert: (value: unknown) => T,
  context: ReadContext,
): T {
  try {
    return convert(JSON.parse(text));
  } catch (error) {
    throw new StepError(
      { ...context, cause: toError(error) },
      "The published value is not valid",
    );
  }
}
