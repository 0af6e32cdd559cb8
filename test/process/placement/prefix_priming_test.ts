import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { SilentLog } from "../../../src/process/log.ts";
import { PrefixIndex } from "../../../src/process/placement/prefix_index.ts";
import {
  PrefixPriming,
  type PrimingSources,
} from "../../../src/process/placement/prefix_priming.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const REPLICA = toId<VmId>("i-0");

function createPriming(sources: Partial<PrimingSources>) {
  const clock = VirtualClock.create();
  const prefixes = PrefixIndex.create(clock);
  const asked: string[] = [];
  const priming = PrefixPriming.create({
    clock,
    log: SilentLog.create(),
    prefixes,
    sources: {
      listPrimedPeers: () => [],
      fetchFromPeer: (vm) => {
        asked.push(vm);
        return Promise.resolve([[REPLICA, ["part"], 0]]);
      },
      listReplicas: () => [REPLICA],
      fetchFromReplica: (replica) => {
        asked.push(replica);
        return Promise.resolve(["part"]);
      },
      isResponsible: () => true,
      ...sources,
    },
  });
  return { clock, prefixes, priming, asked };
}

describe("a VM that has just started", () => {
  // Symptom: all answers are late for seconds after all VMs were killed.
  // Sequence: VMs come back; prompts go to replicas that have not read them.
  // Cause: what VMs knew of replicas' caches was lost with them.
  it("asks the replicas where no VM knows", async () => {
    const { clock, prefixes, priming } = createPriming({});
    const ended = priming.run(new AbortController().signal);
    await clock.run(1_000);
    await ended;
    expect(prefixes.countHeld(REPLICA, ["part"])).toBe(1);
    expect(priming.isPrimed).toBe(true);
  });

  it("asks a VM that knows, and no replica", async () => {
    const { clock, prefixes, priming, asked } = createPriming({
      listPrimedPeers: () => [toId("vm-2")],
    });
    const ended = priming.run(new AbortController().signal);
    await clock.run(1_000);
    await ended;
    expect(asked).toEqual(["vm-2"]);
    expect(prefixes.countHeld(REPLICA, ["part"])).toBe(1);
  });

  it("leaves the asking to one VM, and does it if that one is silent", async () => {
    const { clock, priming, asked } = createPriming({
      isResponsible: () => false,
    });
    const ended = priming.run(new AbortController().signal);
    await clock.run(1_500);
    expect(asked).toEqual([]);
    await clock.run(2_000);
    await ended;
    expect(asked).toEqual([REPLICA]);
  });

  it("serves on where a replica does not answer", async () => {
    const { clock, priming } = createPriming({
      fetchFromReplica: () => Promise.reject(new Error("busy")),
    });
    const ended = priming.run(new AbortController().signal);
    await clock.run(1_000);
    await ended;
    expect(priming.isPrimed).toBe(true);
  });
});
