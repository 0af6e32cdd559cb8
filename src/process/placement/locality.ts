/**
 * Which data centres may serve a request, by the regions that its route and its
 * workspace allow.
 *
 * @module
 */
import type { DataCentre, Region } from "../../ids.ts";

/** Regions of the data centres. */
export class Locality {
  readonly #regions: ReadonlyMap<DataCentre, Region>;

  constructor(regions: ReadonlyMap<DataCentre, Region>) {
    this.#regions = regions;
  }

  static create(regions: ReadonlyMap<DataCentre, Region>): Locality {
    return new Locality(regions);
  }

  /**
   * Whether the data centre lies in one of `regions`; true for all where
   * `regions` is undefined. A data centre whose region is unknown lies in none:
   * a request that must not leave its regions is refused rather than sent on a
   * guess.
   */
  isWithin(
    dataCentre: DataCentre,
    regions: readonly Region[] | undefined,
  ): boolean {
    if (regions === undefined) return true;
    const region = this.#regions.get(dataCentre);
    return region !== undefined && regions.includes(region);
  }
}
