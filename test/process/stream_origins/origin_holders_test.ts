import { describe, expect, it } from "vitest";
import { type StreamKey, toId, type VmId } from "../../../src/ids.ts";
import type { FleetPeer } from "../../../src/process/seeded_fleet/index.ts";
import {
  chooseAsked,
  chooseHolders,
} from "../../../src/process/stream_origins/origin_holders.ts";

const DATA_CENTRES = 13;

function buildPeers(count: number): FleetPeer[] {
  return Array.from({ length: count }, (_, index) => ({
    heartbeat: { vm: `vm-${index}`, dataCentre: `dc-${index % DATA_CENTRES}` },
  } as FleetPeer));
}

function listNames(peers: readonly FleetPeer[]): VmId[] {
  return peers.map(({ heartbeat }) => heartbeat.vm);
}

describe("the VMs that are told where a stream began", () => {
  it("are all of a small fleet", () => {
    expect(chooseHolders(toId("key"), buildPeers(7))).toHaveLength(7);
    expect(chooseAsked(toId("key"), buildPeers(7))).toHaveLength(7);
  });

  it("are a few of a large one, in different data centres", () => {
    const holders = chooseHolders(toId("key"), buildPeers(379));
    expect(holders).toHaveLength(4);
    const dataCentres = holders.map(({ heartbeat }) => heartbeat.dataCentre);
    expect(new Set(dataCentres).size).toBe(4);
  });

  // Guards against streams that are refused because the VM that is asked does not
  // know the same VMs as the one that told.
  it("are among those asked by a VM that knows of others", () => {
    const peers = buildPeers(379);
    for (let stream = 0; stream < 300; stream++) {
      const key = toId<StreamKey>(`key-${stream}`);
      const told = listNames(chooseHolders(key, peers));
      const known = peers.filter((_, index) => (index + stream) % 10 !== 0);
      const asked = listNames(chooseAsked(key, known));
      const reached = asked.filter((vm) => told.includes(vm));
      const alive = told.filter((vm) => listNames(known).includes(vm));
      expect(reached.length).toBeGreaterThanOrEqual(Math.min(1, alive.length));
    }
  });
});
