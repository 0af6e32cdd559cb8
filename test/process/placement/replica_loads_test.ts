import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { ReplicaLoads } from "../../../src/process/placement/replica_loads.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const [VM, REPLICA] = ["vm", "replica"].map((name) => toId<VmId>(name));

// Guards against an owner that sends prompts to full replicas. While its load
// does not change, a VM only reports that it is alive; its last load report
// would expire after 1.5 s, though its streams run on.
it("keeps the load that a VM reported while that VM renews it, and no longer", async () => {
  const clock = VirtualClock.create();
  const loads = ReplicaLoads.create(clock, () => {});
  loads.putPeerLoads(VM!, [[REPLICA!, 500, 3, 1, 0]]);
  for (let second = 0; second < 5; second++) {
    await clock.run(1_000);
    loads.notePeerAlive(VM!);
  }
  expect(loads.getLoad(REPLICA!).running).toBe(3);
  await clock.run(2_000);
  expect(loads.getLoad(REPLICA!).running).toBe(0);
});
