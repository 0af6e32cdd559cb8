/**
 * Selection of the entry VMs that callers connect to.
 *
 * @module
 */
import { describe, expect, it } from "vitest";
import { toId } from "../../src/ids.ts";
import type { DataCentre } from "../../src/ids.ts";
import { chooseEntries } from "../../src/process/entries.ts";
import { SeededRandom } from "../../src/process/random.ts";
import type { VirtualFleet } from "../../standin/virtual_fleet.ts";
import { getVm, startFleet, toVmId } from "../support/fleet_steps.ts";

const CALLERS = 8_000;

/** Counts how often each VM is first, over many callers. */
function countFirst(
  fleet: VirtualFleet,
  options: { at: number; dataCentre?: string },
): Map<string, number> {
  const view = getVm(fleet, options.at).membership;
  const random = SeededRandom.create(9);
  const counts = new Map<string, number>();
  const dataCentre = options.dataCentre === undefined
    ? undefined
    : toId<DataCentre>(options.dataCentre);
  for (let caller = 0; caller < CALLERS; caller += 1) {
    const { entries } = chooseEntries({ view, random, dataCentre });
    const first = entries[0]!.vm;
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  return counts;
}

describe("chooseEntries", () => {
  it("spreads callers evenly over 8 VMs", async () => {
    const fleet = await startFleet({ count: 8 });
    const counts = [...countFirst(fleet, { at: 0 }).values()];
    expect(counts).toHaveLength(8);
    for (const count of counts) {
      expect(Math.abs(count / (CALLERS / 8) - 1)).toBeLessThan(0.12);
    }
  });

  it("prefers the caller's data centre and includes others", async () => {
    const fleet = await startFleet({ count: 8 });
    const counts = countFirst(fleet, { at: 0, dataCentre: "dc-1" });
    const local = (counts.get("vm-1") ?? 0) + (counts.get("vm-5") ?? 0);
    expect(local / CALLERS).toBeGreaterThan(0.75);
    const { entries } = chooseEntries({
      view: getVm(fleet, 0).membership,
      random: SeededRandom.create(1),
      dataCentre: toId<DataCentre>("dc-1"),
    });
    expect(new Set(entries.map((entry) => entry.dataCentre)).size)
      .toBeGreaterThan(1);
  });

  it("leaves out VMs that are draining or dead within seconds", async () => {
    const fleet = await startFleet({ count: 8 });
    getVm(fleet, 2).prober.startDraining();
    fleet.stopVm(toVmId(3));
    await fleet.clock.run(6_000);
    const counts = countFirst(fleet, { at: 0 });
    expect(counts.has("vm-2")).toBe(false);
    expect(counts.has("vm-3")).toBe(false);
    expect(counts.size).toBe(6);
  });

  it("includes unreachable VMs if the answering VM reaches few", async () => {
    const fleet = await startFleet({ count: 8 });
    const others = fleet.list().map((vm) => vm.listed.id).slice(1);
    fleet.network.cutBetween([toVmId(0)], others);
    await fleet.clock.run(10_000);
    const { membership } = getVm(fleet, 0);
    const random = SeededRandom.create(1);
    const { entries } = chooseEntries({ view: membership, random });
    expect(entries[0]!.vm).toBe("vm-0");
    expect(entries).toHaveLength(4);
  });

  it("returns entries while any entry VM is listed", async () => {
    const fleet = await startFleet({ count: 2 });
    for (const vm of fleet.list()) vm.prober.startDraining();
    await fleet.clock.run(3_000);
    const { membership } = getVm(fleet, 0);
    const random = SeededRandom.create(1);
    const { entries, ttlMs } = chooseEntries({ view: membership, random });
    expect(entries).toHaveLength(2);
    expect(ttlMs).toBeGreaterThan(0);
  });
});
