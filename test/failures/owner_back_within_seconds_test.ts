/**
 * Guards against routing by the shard summary of a process that has ended, for
 * up to ten seconds. It happens when a shard's owner restarts, or loses the
 * shard and gets it back: the new owner's sequence numbers start again, so a
 * comparison by number alone rejects its summaries as outdated.
 */
import { expect, it } from "vitest";
import {
  type Incarnation,
  type ShardId,
  toId,
  type VmId,
} from "../../src/ids.ts";
import { ShardSummaries } from "../../src/process/shard_summaries.ts";
import type { ShardSummary } from "../../src/process/peer_api.ts";
import { ShardOwner } from "../../src/process/scheduler/shard_owner.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildPool } from "../process/engine_control/fixtures.ts";
import { buildEnvironment } from "../support/request_fakes.ts";

const SHARD = toId<ShardId>("pool/0");

function buildSummary(incarnation: string, sequence: number): ShardSummary {
  return {
    shard: SHARD,
    owner: toId<VmId>("vm-a"),
    room: sequence,
    slots: 8,
    waitingByRank: {},
    lowestRank: 0,
    expectedWaitMs: 0,
    sequence,
    incarnation: toId<Incarnation>(incarnation),
  };
}

it("accepts the first summary of an owner that restarted", () => {
  const summaries = ShardSummaries.create(VirtualClock.create());
  summaries.put(buildSummary("one", 5_000));
  expect(summaries.put(buildSummary("two", 1))).toBe(true);
  expect(summaries.find(SHARD)?.room).toBe(1);
  expect(summaries.put(buildSummary("two", 1))).toBe(false);
});

it("accepts the summaries of an owner that got its shard back", async () => {
  const clock = VirtualClock.create();
  const environment = buildEnvironment(clock, { vm: "vm-a" });
  const summaries = ShardSummaries.create(clock);
  const createOwner = () =>
    ShardOwner.create({
      environment,
      shard: SHARD,
      pool: buildPool([]),
      getSnapshot: () => undefined,
      listUpstreams: () => [],
    });
  const first = createOwner();
  for (let count = 0; count < 8; count++) {
    await clock.run(500);
    summaries.put(first.buildSummary());
  }
  first.stop();
  const second = createOwner();
  await clock.run(500);
  expect(summaries.put(second.buildSummary())).toBe(true);
  second.stop();
});
