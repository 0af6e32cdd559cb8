/**
 * Which data centres may work on a request, by the regions that its route and
 * its workspace are bound to.
 *
 * @module
 */
import type { DataCentre, Region } from "../../ids.ts";

/** The regions of data centres. */
export class Locality {
  readonly #regions: ReadonlyMap<DataCentre, Region>;

  constructor(regions: ReadonlyMap<DataCentre, Region>) {
    this.#regions = regions;
  }

  static create(regions: ReadonlyMap<DataCentre, Region>): Locality {
    return new Locality(regions);
  }

  /**
   * Whether the data centre lies in one of `regions`; any does where they are
   * undefined. One whose region is not known lies in none: a request that must
   * not leave its regions is better refused than sent on a guess.
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
