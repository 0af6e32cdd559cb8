/**
 * Addresses of entry VMs for callers.
 *
 * @module
 */
import type { DataCentre, Region } from "../ids.ts";
import type { Locality } from "./placement/index.ts";

/** A VM that serves callers. */
export interface EntryAddress {
  dataCentre: DataCentre;
  /** Endpoint for callers. */
  callers: string;
}

/**
 * Addresses for callers of `region`: only those of VMs in the region, unless
 * there are none. Some requests must not leave certain regions, which they
 * would if their callers were given the address of a VM elsewhere.
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
