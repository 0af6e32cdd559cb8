import { expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { VirtualSeededFleet } from "../support/virtual_seeded_fleet.ts";

/** A VM that gets a third of a processor reads its sockets this late. */
const MAX_DATAGRAM_MS = 150;
const STORE_TIMEOUT_MS = 1_000;
/** A view this old is no longer trusted. */
const UNCONFIRMED_MS = 1_700;
const LONG_UNCONFIRMED_MS = 10_000;
/** Time within which all VMs have to know that a replica left. */
const LEAVING_BOUND_MS = 3_000;
const WAIT_MS = 20_000;

// Guards against a list that counts as the newest for as long as VMs confirm it
// to each other, because the time until a heartbeat is read is not in its age.
it("the age of a list grows while heartbeats are read late", async () => {
  const random = SeededRandom.create(1);
  const fleet = await VirtualSeededFleet.create({
    vms: 89,
    dataCentres: 4,
    replicas: 10,
  });
  fleet.computeDatagramMs = () => 1 + random.nextInt(MAX_DATAGRAM_MS);
  await fleet.clock.run(5_000);
  fleet.failStoreCall = () => STORE_TIMEOUT_MS;
  const getMinAgeMs = () =>
    Math.min(...fleet.vms.map(({ follower }) => follower.getListAgeMs()));
  await fleet.clock.run(UNCONFIRMED_MS);
  expect(getMinAgeMs()).toBeGreaterThan(UNCONFIRMED_MS - MAX_DATAGRAM_MS);
  await fleet.clock.run(LONG_UNCONFIRMED_MS - UNCONFIRMED_MS);
  expect(getMinAgeMs()).toBeGreaterThan(LONG_UNCONFIRMED_MS - MAX_DATAGRAM_MS);
  fleet.stop();
}, 60_000);

// Guards against a VM that knows of a newer list, cannot fetch it, and relies on
// its own because others that lack the newer one as well confirm it.
it(
  "a VM that knows of a newer list reads the store if no VM answers",
  async () => {
    const random = SeededRandom.create(1);
    const fleet = await VirtualSeededFleet.create({
      vms: 89,
      dataCentres: 4,
      replicas: 10,
    });
    fleet.computeDatagramMs = () => 1 + random.nextInt(MAX_DATAGRAM_MS);
    fleet.isSilent = () => true;
    await fleet.clock.run(5_000);
    const times = await fleet.runRemoval(toId<VmId>("i-1"), WAIT_MS);
    fleet.stop();
    expect(Math.max(...times)).toBeLessThan(LEAVING_BOUND_MS);
  },
  60_000,
);
