/**
 * Numbered variants of records, for tests of versions.
 *
 * @module
 */
import { buildRawRecords, type RawRecord } from "../version/record_fixtures.ts";

/** Valid records whose workspace limit depends on `variant`. */
export function buildRecords(variant: number): RawRecord[] {
  const set = buildRawRecords();
  set["web"] = { ...set["web"], requests_per_minute: 60 + variant };
  return Object.values(set);
}

/** Records that every VM rejects. */
export function buildBadRecords(variant: number): RawRecord[] {
  const set = buildRawRecords();
  set["web"] = { ...set["web"], requests_per_minute: -1 - variant };
  return Object.values(set);
}
