import { describe, expect, it } from "vitest";
import { type DataCentre, type Region, toId } from "../../../src/ids.ts";
import { listNearAddresses } from "../../../src/process/entry_addresses.ts";
import {
  Locality,
  PlacementState,
  ReplicaChooser,
  ReplicaDirectory,
} from "../../../src/process/placement/index.ts";
import { findCommonRegions } from "../../../src/version/allowed_regions.ts";
import { buildListedReplica } from "../../support/listed_replicas.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const NORTH = toId<Region>("north");
const SOUTH = toId<Region>("south");
const WEST = toId<Region>("west");

function createChooser(emptied: string[] = []): ReplicaChooser {
  const directory = ReplicaDirectory.create();
  const dataCentres = ["north-1", "south-1", "west-1", "unknown-1"];
  directory.apply({
    revision: 1,
    replicas: dataCentres.map((dataCentre, index) =>
      buildListedReplica(index, {
        id: toId(`i-${dataCentre}`),
        dataCentre: toId(dataCentre),
      })
    ),
    evacuated: emptied.map((dataCentre) => toId(dataCentre)),
  });
  const state = PlacementState.create({
    clock: VirtualClock.create(),
    onUpdate: () => {},
    onEjected: () => {},
  });
  const regions = new Map<DataCentre, Region>([
    [toId("north-1"), NORTH],
    [toId("south-1"), SOUTH],
    [toId("west-1"), WEST],
  ]);
  return ReplicaChooser.create(directory, state, {
    locality: Locality.create(regions),
  });
}

function choose(chooser: ReplicaChooser, regions?: Region[]) {
  return chooser.choose({
    pool: toId("pool"),
    avoid: [],
    dataCentre: toId("south-1"),
    parts: ["own"],
    partTokens: [900],
    promptTokens: 900,
    isInteractive: false,
    regions,
  })?.replica.id;
}

// Symptom: a document is read in a region that its owner forbids.
// Sequence: a caller connects to a VM of another region, or all replicas at
// home are evacuated; the nearest replica takes the request.
// Cause: the choice knew nothing of regions.
describe("a request that must stay within regions", () => {
  it("goes there however far that is", () => {
    expect(choose(createChooser(), [NORTH])).toBe("i-north-1");
    expect(choose(createChooser(), [WEST])).toBe("i-west-1");
  });

  it("goes nowhere rather than out of them", () => {
    expect(choose(createChooser(["north-1"]), [NORTH])).toBeUndefined();
    expect(choose(createChooser(["north-1"]), [NORTH, WEST]))
      .toBe("i-west-1");
  });

  it("goes to no data centre whose region is not known", () => {
    const chooser = createChooser(["north-1", "south-1", "west-1"]);
    expect(choose(chooser, [NORTH, SOUTH, WEST])).toBeUndefined();
    expect(choose(chooser)).toBe("i-unknown-1");
  });
});

describe("addresses for callers", () => {
  const locality = Locality.create(
    new Map<DataCentre, Region>([
      [toId("north-1"), NORTH],
      [toId("south-1"), SOUTH],
    ]),
  );
  const entries = ["north-1", "south-1"].map((dataCentre) => ({
    dataCentre: toId<DataCentre>(dataCentre),
    callers: `vm-of-${dataCentre}`,
  }));

  it("are of VMs in their region, while there are any", () => {
    expect(listNearAddresses(entries, SOUTH, locality))
      .toEqual(["vm-of-south-1"]);
  });

  it("are all where their region has none, or is not told", () => {
    expect(listNearAddresses(entries, WEST, locality)).toHaveLength(2);
    expect(listNearAddresses(entries, undefined, locality)).toHaveLength(2);
  });
});

describe("regions of a route and a workspace", () => {
  it("bind both", () => {
    expect(findCommonRegions([NORTH, SOUTH], [SOUTH, WEST])).toEqual([SOUTH]);
    expect(findCommonRegions([NORTH], [WEST])).toEqual([]);
  });

  it("bind where one of them has some", () => {
    expect(findCommonRegions([NORTH], undefined)).toEqual([NORTH]);
    expect(findCommonRegions(undefined, [WEST])).toEqual([WEST]);
    expect(findCommonRegions(undefined, undefined)).toBeUndefined();
  });
});
