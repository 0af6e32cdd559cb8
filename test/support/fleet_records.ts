/**
 * Valid records that differ by a number, for tests of versions.
 *
 * @module
 */
import { buildRawRecords, type RawRecord } from "../version/record_fixtures.ts";

/** A valid set in which one workspace's limit tells the `variant`. */
export function buildRecords(variant: number): RawRecord[] {
  const set = buildRawRecords();
  set["web"] = { ...set["web"], requests_per_minute: 60 + variant };
  return Object.values(set);
}

/** A set that every VM rejects. */
export function buildBadRecords(variant: number): RawRecord[] {
  const set = buildRawRecords();
  set["web"] = { ...set["web"], requests_per_minute: -1 - variant };
  return Object.values(set);
}
