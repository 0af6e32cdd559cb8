import { expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import {
  VirtualSeededFleet,
  type VirtualVm,
} from "../support/virtual_seeded_fleet.ts";

const VMS = 89;
const CHANGES = 4;
const CHANGE_GAP_MS = 1_000;
const WAIT_MS = 6_000;
const AUDIT_MS = 1_000;
const LARGE_FLEET_BOUND_MS = 3_000;

function createFleet(): Promise<VirtualSeededFleet> {
  return VirtualSeededFleet.create({ vms: VMS, dataCentres: 4, replicas: 10 });
}

/** Cuts off all VMs that watch the store, as if they had lost power. */
function cutWatchers(fleet: VirtualSeededFleet): Set<VirtualVm> {
  const cut = new Set(fleet.vms.filter(({ follower }) => follower.isWatching));
  fleet.isCut = (from, to) => cut.has(from) || cut.has(to);
  fleet.failStoreCall = (vm) => cut.has(vm) ? 1_000 : undefined;
  return cut;
}

// Guards against VMs that ask the store for all changes since their own last
// read, minutes ago, when they have to watch: it has dropped that history, and
// all of them read its whole state at one moment.
it(
  "VMs that begin to watch go on from the list that the fleet has",
  async () => {
    const fleet = await createFleet();
    for (let index = 1; index <= CHANGES; index++) {
      fleet.list(toId<VmId>(`i-${index}`), "draining");
      await fleet.clock.run(CHANGE_GAP_MS);
    }
    fleet.dropHistory();
    fleet.vms.forEach((vm) => vm.wholeReads = 0);
    const cut = cutWatchers(fleet);
    const times = await fleet.runRemoval(toId<VmId>("i-9"), WAIT_MS);
    const others = fleet.vms.filter((vm) => !cut.has(vm));
    const known = times.filter((_ms, index) => !cut.has(fleet.vms[index]!));
    fleet.stop();
    expect(Math.max(...known)).toBeLessThan(LARGE_FLEET_BOUND_MS);
    // One VM audits the store.
    const [auditor, ...rest] = others
      .toSorted((one, other) => other.wholeReads - one.wholeReads);
    expect(rest.reduce((sum, vm) => sum + vm.wholeReads, 0)).toBe(0);
    expect(auditor!.wholeReads).toBeLessThanOrEqual(WAIT_MS / AUDIT_MS);
  },
  60_000,
);
