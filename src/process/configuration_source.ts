/**
 * Where published configurations and membership lists are read from.
 *
 * @module
 */
import { StepError, toError } from "../errors.ts";
import { parseGroup, parseIndex } from "../version/index.ts";
import type { RecordIndex } from "../version/index.ts";

/** The platform's bound on one value; a larger one is refused. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Which read of which source a value came from. */
export interface ReadPlace {
  step: string;
  peer: string;
}

/** A place to read configurations and membership lists from. */
export abstract class ConfigurationSource {
  /**
   * Waits up to `waitMs` for an index above `after`; undefined when there is
   * none. Throws `StepError` when the source does not answer.
   */
  abstract fetchIndex(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RecordIndex | undefined>;
  /** The records of one group, which never change under one version. */
  abstract fetchGroup(name: string, version: number): Promise<unknown[]>;
  /**
   * Waits up to `waitMs` for a membership list with a revision above `after`;
   * undefined when there is none. The list is not validated yet.
   */
  abstract fetchMembership(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<unknown | undefined>;
}

/** Reads an index above `after` from text; throws `StepError`. */
export function parseIndexText(
  text: string,
  after: number,
  place: ReadPlace,
): RecordIndex | undefined {
  const index = parseText(text, parseIndex, place);
  // A stale source may give an older index than was asked for.
  return index.version > after ? index : undefined;
}

/** Reads a group's records from text; throws `StepError`. */
export function parseGroupText(text: string, place: ReadPlace): unknown[] {
  return parseText(text, parseGroup, place);
}

/** Reads a membership list above `after` from text; throws `StepError`. */
export function parseMembershipText(
  text: string,
  after: number,
  place: ReadPlace,
): unknown | undefined {
  const value = parseText(text, (json) => json, place);
  return getRevision(value) > after ? value : undefined;
}

/** The revision of a list that is not validated yet; -1 without one. */
export function getRevision(value: unknown): number {
  const revision = (value as { revision?: unknown } | null)?.revision;
  return typeof revision === "number" && Number.isSafeInteger(revision)
    ? revision
    : -1;
}

function parseText<T>(
  text: string,
  convert: (value: unknown) => T,
  place: ReadPlace,
): T {
  try {
    return convert(JSON.parse(text));
  } catch (error) {
    throw new StepError(
      { ...place, cause: toError(error) },
      "The published value cannot be read",
    );
  }
}
