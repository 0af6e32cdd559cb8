/**
 * Tests the published list combined with member states.
 *
 * @module
 */
import { describe, expect, it } from "vitest";
import { PEER_INPUTS } from "../../src/connection/peer_schemas.ts";
import { toId } from "../../src/ids.ts";
import type { PoolName, ShardId, VmId } from "../../src/ids.ts";
import type { ProbeCall } from "../../src/process/peer_api.ts";
import type { ListedVm } from "../../src/version/index.ts";
import { VirtualFleet } from "../../standin/virtual_fleet.ts";
import { getVm, startFleet, toVmId } from "../support/fleet_steps.ts";

const POOL = toId<PoolName>("engines");

function buildUpstream(name: string, state: ListedVm["state"]): ListedVm {
  const { listed } = getVm(VirtualFleet.create({ count: 1 }), 0);
  const id = toId<VmId>(name);
  return { ...listed, id, role: "upstream", state, peerPort: 0, pool: POOL };
}

async function startWithUpstreams(): Promise<VirtualFleet> {
  const fleet = await startFleet({ count: 8 });
  fleet.service.putList(2, [
    ...fleet.list().map((vm) => vm.listed),
    buildUpstream("up-0", "live"),
    buildUpstream("up-1", "live"),
    buildUpstream("up-2", "leaving"),
  ]);
  await fleet.clock.run(3_000);
  return fleet;
}

function listUpstreams(fleet: VirtualFleet, index: number): string[] {
  const { membership } = getVm(fleet, index);
  return membership.listUpstreams(POOL).map((vm) => vm.id);
}

describe("upstreams", () => {
  it("are excluded if listed as leaving", async () => {
    const fleet = await startWithUpstreams();
    expect(listUpstreams(fleet, 3)).toEqual(["up-0", "up-1"]);
  });

  it("are excluded on all VMs within seconds of their own notice", async () => {
    const fleet = await startWithUpstreams();
    const { membership } = getVm(fleet, 0);
    membership.noteUpstreamLeaving(toId<VmId>("up-1"));
    expect(listUpstreams(fleet, 0)).toEqual(["up-0"]);
    const took = await fleet.runUntil(
      () =>
        [1, 2, 3, 4, 5, 6, 7].every((vm) =>
          listUpstreams(fleet, vm).length === 1
        ),
      10_000,
    );
    expect(took).toBeLessThan(4_000);
    membership.noteUpstreamLeaving(toId<VmId>("up-1"), false);
    await fleet.runUntil(
      () =>
        [0, 1, 2, 3, 4, 5, 6, 7].every((vm) =>
          listUpstreams(fleet, vm).length === 2
        ),
      10_000,
    );
  });

  // Guards against an upstream that is used again because of a load report,
  // which describes an earlier moment than the notice.
  it("stay excluded when an older notice arrives", async () => {
    const fleet = await startWithUpstreams();
    const { membership } = getVm(fleet, 0);
    const upstream = toId<VmId>("up-1");
    membership.noteUpstreamLeaving(upstream);
    await fleet.clock.run(100);
    membership.noteUpstreamLeaving(upstream, false, 500);
    expect(listUpstreams(fleet, 0)).toEqual(["up-0"]);
  });
});

describe("owners", () => {
  it("are the same on every VM and evenly distributed", async () => {
    const fleet = await startFleet({ count: 8 });
    const counts = new Map<VmId, number>();
    for (let key = 0; key < 400; key += 1) {
      const owners = new Set(
        fleet.list().map((vm) => vm.membership.findOwner(`key/${key}`)),
      );
      expect(owners.size).toBe(1);
      const [owner] = owners;
      counts.set(owner!, (counts.get(owner!) ?? 0) + 1);
    }
    expect(counts.size).toBe(8);
    expect(Math.max(...counts.values())).toBeLessThan(2 * 400 / 8);
  });

  it("from the list alone do not depend on member states", async () => {
    const fleet = await startFleet({ count: 4 });
    const { membership } = getVm(fleet, 0);
    const keys = Array.from({ length: 50 }, (_, index) => `key/${index}`);
    const before = keys.map((key) => membership.findListedOwner(key));
    fleet.stopVm(toVmId(2));
    await fleet.clock.run(10_000);
    expect(membership.isReachable(toVmId(2))).toBe(false);
    expect(keys.map((key) => membership.findListedOwner(key))).toEqual(before);
    expect(keys.map((key) => membership.findOwner(key))).not.toContain("vm-2");
  });

  it("get no new keys while listed as leaving", async () => {
    const fleet = await startFleet({ count: 4 });
    const listed = fleet.list().map((vm) => vm.listed);
    const leaving = { ...listed[1]!, state: "leaving" as const };
    fleet.service.putList(2, [listed[0]!, leaving, listed[2]!, listed[3]!]);
    await fleet.clock.run(3_000);
    const { membership } = getVm(fleet, 0);
    for (let key = 0; key < 50; key += 1) {
      expect(membership.findOwner(`key/${key}`)).not.toBe("vm-1");
      expect(membership.findListedOwner(`key/${key}`)).not.toBe("vm-1");
    }
    expect(membership.listEntryVms()).toHaveLength(4);
  });
});

describe("a single VM", () => {
  it("owns all keys before it has a list", () => {
    const { membership } = getVm(VirtualFleet.create({ count: 1 }), 0);
    expect(membership.getList().revision).toBe(0);
    expect(membership.findOwner("key")).toBe("vm-0");
    expect(membership.getViewAgeMs()).toBe(Infinity);
  });
});

describe("messages", () => {
  it("are bounded and match the schema of peer calls", async () => {
    const fleet = await startWithUpstreams();
    const { membership, prober } = getVm(fleet, 0);
    membership.noteUpstreamLeaving(toId<VmId>("up-0"));
    for (let vm = 1; vm < 8; vm += 1) membership.noteProbeFailure(toVmId(vm));
    for (let index = 0; index < 50; index += 1) {
      prober.announceSummary({
        shard: toId<ShardId>(`pool/${index}`),
        owner: toVmId(0),
        room: 1,
        slots: 4,
        waitingByRank: { 0: 1 },
        lowestRank: 1,
        expectedWaitMs: 10,
        sequence: 1,
      });
    }
    const { from, ...rest } = getVm(fleet, 1).membership.getSelfReport();
    const call: ProbeCall = {
      from,
      ...rest,
      members: [],
      summaries: [],
      configVersion: 1,
      listRevision: 2,
    };
    const answer = prober.answerProbe(call);
    const sent = JSON.parse(JSON.stringify(answer));
    expect(PEER_INPUTS.probe(sent)).toEqual(sent);
    expect(answer.members.length).toBeGreaterThan(1);
    expect(answer.summaries).toHaveLength(6);
    expect(JSON.stringify(answer).length).toBeLessThan(4_096);
  });
});
