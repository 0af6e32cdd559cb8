/**
 * Propagation of versions to all VMs, and the load on the service.
 *
 * @module
 */
import { describe, expect, it } from "vitest";
import { buildRecords } from "../support/fleet_records.ts";
import { getVm, isEverywhere, startFleet } from "../support/fleet_steps.ts";

const MINUTE_MS = 60_000;

describe("propagation of versions", () => {
  for (const count of [8, 32]) {
    it(`reaches ${count} VMs within a second`, async () => {
      const fleet = await startFleet({ count });
      fleet.service.putVersion(2, buildRecords(2));
      const took = await fleet.runUntil(() => isEverywhere(fleet, 2), 10_000);
      expect(took).toBeLessThan(1_000);
    });
  }

  it("reaches 32 VMs within a second with the membership list", async () => {
    const fleet = await startFleet({ count: 32 });
    const listed = fleet.list().map((vm) => vm.listed);
    fleet.service.putList(2, listed.slice(1));
    const took = await fleet.runUntil(
      () => fleet.list().every((vm) => vm.follower.getList().revision === 2),
      10_000,
    );
    expect(took).toBeLessThan(1_000);
    const view = getVm(fleet, 5).membership;
    expect(view.listEntryVms()).toHaveLength(31);
  });

  it("fetches only the changed groups", async () => {
    const fleet = await startFleet({ count: 1 });
    const before = fleet.service.groupCalls;
    fleet.service.putVersion(2, buildRecords(2));
    await fleet.runUntil(() => isEverywhere(fleet, 2), 10_000);
    expect(before).toBeGreaterThan(1);
    expect(fleet.service.groupCalls - before).toBe(1);
  });

  it("reports the version of each VM, its age and its origin", async () => {
    const fleet = await startFleet({ count: 16 });
    fleet.service.putVersion(2, buildRecords(2));
    await fleet.runUntil(() => isEverywhere(fleet, 2), 10_000);
    await fleet.clock.run(20_000);
    const reports = fleet.list().map((vm) => vm.follower.listVersions());
    for (const report of reports) {
      const last = report.history.at(-1)!;
      expect(last).toMatchObject({ version: 2, result: "accepted" });
      expect(last.ageMs).toBeGreaterThan(19_000);
      expect(report.peers).toHaveLength(15);
      expect(report.peers.every((peer) => peer.version === 2)).toBe(true);
    }
    const senders = new Map(
      reports.map(({ vm, history }) => [vm, history.at(-1)!.from]),
    );
    for (const { peers } of reports) {
      for (const peer of peers) expect(peer.from).toBe(senders.get(peer.vm));
    }
    const sources = new Set(reports.map(({ history }) => history.at(-1)!.from));
    expect(sources).toContain("service");
    expect([...sources].some((from) => from.startsWith("vm-"))).toBe(true);
  });
});

describe("calls to the configuration service", () => {
  it("do not grow with the fleet beyond the watchers", async () => {
    const calls = new Map<number, number>();
    for (const count of [8, 16, 32, 64]) {
      const fleet = await startFleet({ count });
      const before = fleet.service.calls;
      await fleet.clock.run(MINUTE_MS);
      calls.set(count, fleet.service.calls - before);
    }
    // Two watchers in each of 4 data centres, two watches of 5 s each.
    expect(calls.get(8)).toBeLessThanOrEqual(8 * 2 * 12 + 8);
    const slope = (calls.get(64)! - calls.get(8)!) / (64 - 8);
    expect(slope).toBeLessThan(0.5);
  });

  it("continue from another VM when a watcher fails", async () => {
    const fleet = await startFleet({ count: 16, dataCentres: 1 });
    const listWatchers = () =>
      fleet.list().filter((vm) => vm.follower.listVersions().isWatcher);
    expect(listWatchers()).toHaveLength(2);
    for (const watcher of listWatchers()) fleet.stopVm(watcher.listed.id);
    await fleet.runUntil(() => listWatchers().length === 2, 20_000);
    await fleet.clock.run(10_000);
    expect(listWatchers()).toHaveLength(2);
    fleet.service.putVersion(2, buildRecords(2));
    const took = await fleet.runUntil(() => isEverywhere(fleet, 2), 20_000);
    expect(took).toBeLessThan(1_000);
  });
});
