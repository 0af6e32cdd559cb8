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

function createChooser(evacuated: string[] = []): ReplicaChooser {
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
    evacuated: evacuated.map((dataCentre) => toId(dataCentre)),
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

// Guards against a document that is served in a region where its owner forbids
// it: a caller connects to a VM of another region, or all replicas in its own
// are evacuated, and the nearest replica takes the request.
describe("a request that must stay within regions", () => {
  it("goes to an allowed region however far away", () => {
    expect(choose(createChooser(), [NORTH])).toBe("i-north-1");
    expect(choose(createChooser(), [WEST])).toBe("i-west-1");
  });

  it("is not placed rather than placed outside of them", () => {
    expect(choose(createChooser(["north-1"]), [NORTH])).toBeUndefined();
    expect(choose(createChooser(["north-1"]), [NORTH, WEST]))
      .toBe("i-west-1");
  });

  it("goes to no data centre whose region is unknown", () => {
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

  it("are those of VMs in the callers' region, where there are any", () => {
    expect(listNearAddresses(entries, SOUTH, locality))
      .toEqual(["vm-of-south-1"]);
  });

  it("are all where that region has none, or is unknown", () => {
    expect(listNearAddresses(entries, WEST, locality)).toHaveLength(2);
    expect(listNearAddresses(entries, undefined, locality)).toHaveLength(2);
  });
});

describe("allowed regions of a route and a workspace", () => {
  it("are those that both allow", () => {
    expect(findCommonRegions([NORTH, SOUTH], [SOUTH, WEST])).toEqual([SOUTH]);
    expect(findCommonRegions([NORTH], [WEST])).toEqual([]);
  });

  it("are those of one where the other names none", () => {
    expect(findCommonRegions([NORTH], undefined)).toEqual([NORTH]);
    expect(findCommonRegions(undefined, [WEST])).toEqual([WEST]);
    expect(findCommonRegions(undefined, undefined)).toBeUndefined();
  });
});
