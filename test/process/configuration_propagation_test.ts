/**
 * How versions reach every VM, and how often the service is asked.
 *
 * @module
 */
import { describe, expect, it } from "vitest";
import { VirtualFleet } from "../../standin/virtual_fleet.ts";
import { buildRecords } from "../support/fleet_records.ts";

async function startAt(fleet: VirtualFleet, version: number): Promise<void> {
  fleet.service.putVersion(version, buildRecords(version));
  fleet.startAll();
  await fleet.runUntil(() => isEverywhere(fleet, version), 10_000);
  await fleet.clock.run(5_000);
}

function isEverywhere(fleet: VirtualFleet, version: number): boolean {
  return fleet.listVersions().every((one) => one === version);
}

describe("propagation", () => {
  for (const count of [8, 32]) {
    it(`reaches ${count} VMs within a second`, async () => {
      const fleet = VirtualFleet.create({ count });
      await startAt(fleet, 1);
      fleet.service.putVersion(2, buildRecords(2));
      const took = await fleet.runUntil(() => isEverywhere(fleet, 2), 10_000);
      expect(took).toBeLessThan(1_000);
    });
  }

  it("fetches only the groups that changed", async () => {
    const fleet = VirtualFleet.create({ count: 1 });
    await startAt(fleet, 1);
    const before = fleet.service.groupCalls;
    fleet.service.putVersion(2, buildRecords(2));
    await fleet.runUntil(() => isEverywhere(fleet, 2), 10_000);
    expect(before).toBeGreaterThan(1);
    expect(fleet.service.groupCalls - before).toBe(1);
  });
});
