import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import { CrashCheck } from "../../src/process/crash_check.ts";
import { SilentLog } from "../../src/process/log.ts";
import { ReplicaDirectory } from "../../src/process/placement/index.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { buildListedReplicas } from "../support/listed_replicas.ts";

const FIRST = toId<VmId>("i-0");
const PEERS = ["vm-2", "vm-3", "vm-4"].map((name) => toId<VmId>(name));

/** `reached` are the replicas that each VM reaches, this one as `self`. */
function createCheck(
  reached: Record<string, readonly string[]>,
  count = 4,
): CrashCheck {
  const random = SeededRandom.create(1);
  const replicas = ReplicaDirectory.create();
  replicas.apply({ revision: 1, replicas: buildListedReplicas(count) });
  return CrashCheck.create({
    log: SilentLog.create(),
    random,
    checkReach: (id) => Promise.resolve(reached["self"]!.includes(id)),
    listOthers: (id) => replicas.listOthers(id),
    listPeers: () => PEERS,
    fetchReach: (peer, id) => {
      const answer = reached[peer];
      return answer === undefined
        ? Promise.reject(new Error("No answer"))
        : Promise.resolve(answer.includes(id));
    },
  });
}

describe("a replica whose connections were lost has crashed", () => {
  it("where no VM reaches it and the links of this one work", async () => {
    const peers = { "vm-2": [], "vm-3": ["i-1"], "vm-4": ["i-1"] };
    const check = createCheck({ self: ["i-1", "i-2", "i-3"], ...peers });
    expect(await check.hasCrashed(FIRST)).toBe(true);
  });

  it("where this VM alone is left to tell", async () => {
    const check = createCheck({ self: ["i-1"] });
    expect(await check.hasCrashed(FIRST)).toBe(true);
  });

  // Guards against crashes that count for nothing where all replicas of a small
  // pool are down.
  it("where no VM reaches any of its pool", async () => {
    const check = createCheck({ self: [], "vm-2": [], "vm-3": [] });
    expect(await check.hasCrashed(FIRST)).toBe(true);
  });

  it("where its pool has no other", async () => {
    expect(await createCheck({ self: [] }, 1).hasCrashed(FIRST)).toBe(true);
  });
});

// Guards against evidence of a crash from VMs that lost some or all links.
describe("it has not", () => {
  it("where this VM reaches it", async () => {
    const check = createCheck({ self: ["i-0"] });
    expect(await check.hasCrashed(FIRST)).toBe(false);
  });

  it("where this VM reaches none of its pool, and another does", async () => {
    for (const reached of ["i-1", "i-2", "i-3"]) {
      const check = createCheck({ self: [], "vm-2": [], "vm-3": [reached] });
      expect(await check.hasCrashed(FIRST)).toBe(false);
    }
  });

  it("where this VM reaches none of its pool, and no other answers", async () => {
    expect(await createCheck({ self: [] }).hasCrashed(FIRST)).toBe(false);
  });

  it("where another VM reaches it", async () => {
    const check = createCheck({ self: ["i-1"], "vm-2": [], "vm-3": ["i-0"] });
    expect(await check.hasCrashed(FIRST)).toBe(false);
  });
});
