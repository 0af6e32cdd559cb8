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
  const fetchedFrom: string[] = [];
  const priming = PrefixPriming.create({
    clock,
    log: SilentLog.create(),
    prefixes,
    sources: {
      listPrimedPeers: () => [],
      fetchFromPeer: (vm) => {
        fetchedFrom.push(vm);
        return Promise.resolve([[REPLICA, ["part"], 0]]);
      },
      listReplicas: () => [REPLICA],
      fetchFromReplica: (replica) => {
        fetchedFrom.push(replica);
        return Promise.resolve(["part"]);
      },
      isResponsible: () => true,
      isCutOff: () => false,
      ...sources,
    },
  });
  return { clock, prefixes, priming, fetchedFrom };
}

describe("a VM that has just started", () => {
  // Guards against answers that are late for seconds after a restart of all
  // VMs: their prefix indexes are lost, and prompts go to replicas that have
  // not cached them.
  it("asks the replicas where no VM has a filled index", async () => {
    const { clock, prefixes, priming } = createPriming({});
    const ended = priming.run(new AbortController().signal);
    await clock.run(1_000);
    await ended;
    expect(prefixes.countCached(REPLICA, ["part"])).toBe(1);
    expect(priming.isPrimed).toBe(true);
  });

  it("asks a VM with a filled index, and no replica", async () => {
    const { clock, prefixes, priming, fetchedFrom } = createPriming({
      listPrimedPeers: () => [toId("vm-2")],
    });
    const ended = priming.run(new AbortController().signal);
    await clock.run(1_000);
    await ended;
    expect(fetchedFrom).toEqual(["vm-2"]);
    expect(prefixes.countCached(REPLICA, ["part"])).toBe(1);
  });

  it("leaves asking the replicas to one VM, and asks if that does not answer", async () => {
    const { clock, priming, fetchedFrom } = createPriming({
      isResponsible: () => false,
    });
    const ended = priming.run(new AbortController().signal);
    await clock.run(1_500);
    expect(fetchedFrom).toEqual([]);
    await clock.run(2_000);
    await ended;
    expect(fetchedFrom).toEqual([REPLICA]);
  });

  // Guards against a VM without links to replicas from which all others take an
  // empty index.
  it("is not primed by replicas that it cannot reach", async () => {
    let isCut = true;
    const { clock, priming } = createPriming({
      fetchFromReplica: () =>
        isCut
          ? Promise.reject(new Error("refused"))
          : Promise.resolve(["part"]),
      isCutOff: () => isCut,
    });
    const ended = priming.run(new AbortController().signal);
    await clock.run(5_000);
    expect(priming.isPrimed).toBe(false);
    isCut = false;
    await clock.run(3_000);
    await ended;
    expect(priming.isPrimed).toBe(true);
  });

  it("completes where a replica does not answer", async () => {
    const { clock, priming } = createPriming({
      fetchFromReplica: () => Promise.reject(new Error("busy")),
    });
    const ended = priming.run(new AbortController().signal);
    await clock.run(1_000);
    await ended;
    expect(priming.isPrimed).toBe(true);
  });
});
