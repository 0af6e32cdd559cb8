import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { ReplicaLiveness } from "../../../src/process/placement/replica_liveness.ts";
import { ResponseProbes } from "../../../src/process/placement/response_probes.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { FakeLog } from "../../support/request_fakes.ts";

const REPLICA = toId<VmId>("i-1");

async function createProbes(answerMs: number) {
  const clock = VirtualClock.create();
  const liveness = ReplicaLiveness.create(clock);
  let calls = 0;
  const probes = ResponseProbes.create({
    clock,
    log: new FakeLog(),
    liveness,
    fetchReport: async (_replica, timeoutMs) => {
      calls += 1;
      await clock.sleep(Math.min(answerMs, timeoutMs));
      if (answerMs >= timeoutMs) throw new Error("no answer");
    },
  });
  await clock.run(5_000);
  return { clock, liveness, probes, countCalls: () => calls };
}

// Guards against a stream that leaves a replica while the answer is under way
// that shows that it works.
it("a silent replica has the time to answer, and is alive then", async () => {
  const { clock, liveness, probes, countCalls } = await createProbes(150);
  const silentSince = clock.now() - 2_000;
  expect(probes.ask(REPLICA, silentSince)).toBe(400);
  await clock.run(100);
  expect(probes.ask(REPLICA, silentSince)).toBe(300);
  expect(countCalls()).toBe(1);
  await clock.run(50);
  expect(liveness.isAlive(REPLICA)).toBe(true);
});

// Guards against a stream that stays with a replica that hangs, because it is
// asked again and again.
it("a replica that hangs is asked once in its silence", async () => {
  const { clock, liveness, probes, countCalls } = await createProbes(9_000);
  const silentSince = clock.now() - 1_000;
  probes.ask(REPLICA, silentSince);
  await clock.run(400);
  expect(probes.ask(REPLICA, silentSince)).toBe(0);
  expect(liveness.isAlive(REPLICA)).toBe(false);
  expect(countCalls()).toBe(1);
  expect(probes.ask(REPLICA, clock.now())).toBe(400);
  expect(countCalls()).toBe(2);
});
