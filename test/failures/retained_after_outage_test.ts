import { expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import { VirtualSeededFleet } from "../support/virtual_seeded_fleet.ts";

const LEFT = toId<VmId>("i-1");
const FAILED_CALL_MS = 300;
const OUTAGE_MS = 6_000;
/** The store counts as stable after 4 s, and a leaving is known 3 s later. */
const BOUND_MS = 7_000;

// Guards against a replica that left in an outage and is retained for too long at
// VMs that stopped reading the store and get no answers from others.
it("VMs end in time what they retained after an outage", async () => {
  const fleet = await VirtualSeededFleet.create({
    vms: 89,
    dataCentres: 4,
    replicas: 10,
  });
  fleet.failStoreCall = () => FAILED_CALL_MS;
  fleet.isSilent = () => true;
  await fleet.clock.run(OUTAGE_MS);
  fleet.remove(LEFT);
  fleet.failStoreCall = () => undefined;
  const times = await fleet.runRemoval(LEFT, 3 * BOUND_MS);
  fleet.stop();
  expect(Math.max(...times)).toBeLessThan(BOUND_MS);
}, 60_000);
