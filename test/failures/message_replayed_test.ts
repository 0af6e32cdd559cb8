/**
 * Guards against a VM that reverts to an older configuration, or considers a
 * responding VM dead, when messages are lost, duplicated or replayed much
 * later. The last message to arrive is not always the newest: versions,
 * revisions and counters must only increase.
 *
 * @module
 */
import { expect, it } from "vitest";
import { ConfigurationStore } from "../../src/process/configuration_store.ts";
import { buildRecords } from "../support/fleet_records.ts";
import {
  getVm,
  recordVersions,
  startFleet,
  toVmId,
} from "../support/fleet_steps.ts";

it("versions only increase under loss, duplicates and delay", async () => {
  const fleet = await startFleet({ count: 16, seed: 5 });
  fleet.network.setLossRate(0.2);
  fleet.network.setDuplicateRate(0.3);
  const recorded = fleet.list().map(recordVersions);
  for (let version = 2; version <= 12; version += 1) {
    fleet.service.putVersion(version, buildRecords(version));
    // Reads through two endpoints may return old values in between.
    if (version % 3 === 0) {
      fleet.service.putVersion(version - 2, buildRecords(version - 2));
    }
    await fleet.clock.run(700);
  }
  fleet.service.putVersion(13, buildRecords(13));
  await fleet.clock.run(20_000);
  for (const versions of recorded) {
    expect(versions).toEqual([...versions].sort((a, b) => a - b));
    expect(versions.at(-1)).toBe(13);
  }
});

it("ignores an old snapshot answer", async () => {
  const fleet = await startFleet({ count: 4 });
  const from = getVm(fleet, 1);
  const store = ConfigurationStore.create(fleet.clock);
  const old = from.follower.answerSnapshot({
    from: {
      vm: toVmId(0),
      incarnation: getVm(fleet, 0).environment.incarnation,
    },
    after: 0,
    listAfter: 0,
  });
  store.apply({ version: 9, records: buildRecords(9), from: "service" });
  const result = store.apply({
    version: old.version,
    records: old.records!,
    from: "vm-1",
  });
  expect(result.kind).toBe("older");
  expect(store.getVersion()).toBe(9);
});

it("an old probe neither revives a dead VM nor kills a live one", async () => {
  const fleet = await startFleet({ count: 4 });
  const { prober, membership } = getVm(fleet, 0);
  const other = getVm(fleet, 1);
  const oldProbe = {
    ...other.membership.getSelfReport(),
    members: [],
    summaries: [],
    configVersion: 1,
    listRevision: 1,
  };
  fleet.stopVm(toVmId(1));
  await fleet.runUntil(() => !membership.isReachable(toVmId(1)), 10_000);
  prober.answerProbe(oldProbe);
  expect(membership.isReachable(toVmId(1))).toBe(false);
  const third = getVm(fleet, 2).membership.getSelfReport();
  prober.answerProbe({
    ...oldProbe,
    ...third,
    members: [{ ...third.from, state: "dead", counter: third.counter }],
  });
  await fleet.clock.run(5_000);
  expect(membership.isReachable(toVmId(2))).toBe(true);
});
