/**
 * Which VMs callers are told of.
 *
 * @module
 */
import type { DataCentre, Region } from "../ids.ts";
import type { Locality } from "./placement/index.ts";

/** A VM that serves callers. */
export interface EntryAddress {
  dataCentre: DataCentre;
  /** Where callers connect. */
  callers: string;
}

/**
 * Addresses for callers of `region`: of the VMs there alone, while there are
 * any. What callers send must not leave some regions, and would if they
 * connected to a VM elsewhere because they were told of it.
 */
export function listNearAddresses(
  entries: readonly EntryAddress[],
  region: Region | undefined,
  locality: Locality,
): string[] {
  const near = region === undefined
    ? []
    : entries.filter(({ dataCentre }) =>
      locality.isWithin(dataCentre, [region])
    );
  const listed = near.length > 0 ? near : entries;
  return listed.map(({ callers }) => callers);
}
