import { describe, expect, it } from "vitest";
import { type PoolName, toId, type VmId } from "../../../src/ids.ts";
import { ReplicaLinks } from "../../../src/process/placement/replica_links.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildListedReplicas } from "../../support/listed_replicas.ts";

const POOL = toId<PoolName>("pool");

function createLinks(count: number) {
  const clock = VirtualClock.create();
  const changes: boolean[] = [];
  const replicas = buildListedReplicas(count);
  const links = ReplicaLinks.create({
    clock,
    listReady: () => replicas,
    onChange: (_pool, isLost) => changes.push(isLost),
  });
  return { clock, links, replicas, changes };
}

describe("ReplicaLinks", () => {
  it("counts a pool as lost once three replicas are unreachable", async () => {
    const { clock, links, replicas, changes } = createLinks(5);
    links.noteOpened(replicas[0]!);
    await clock.run(1);
    links.noteFailed(replicas[1]!);
    links.noteFailed(replicas[2]!);
    expect(links.isLost(POOL)).toBe(false);
    links.noteFailed(replicas[3]!);
    expect(links.listLost()).toEqual([POOL]);
    expect(changes).toEqual([true]);
  });

  it("counts a smaller pool as lost once all its replicas are", () => {
    const { links, replicas } = createLinks(2);
    links.noteFailed(replicas[0]!);
    expect(links.isLost(POOL)).toBe(false);
    links.noteFailed(replicas[1]!);
    expect(links.isLost(POOL)).toBe(true);
  });

  it("has a path again with the first connection", () => {
    const { links, replicas, changes } = createLinks(3);
    replicas.forEach((replica) => links.noteFailed(replica));
    links.noteOpened(replicas[1]!);
    expect(links.isLost(POOL)).toBe(false);
    expect(links.isUnreachable(replicas[0]!.id)).toBe(true);
    expect(links.isUnreachable(replicas[1]!.id)).toBe(false);
    expect(changes).toEqual([true, false]);
  });

  it("tells whether a connection failed since", async () => {
    const { clock, links, replicas } = createLinks(2);
    const [replica] = replicas;
    await clock.run(10);
    links.noteFailed(replica!);
    links.noteOpened(replica!);
    expect(links.hasFailedSince(replica!.id, 10)).toBe(true);
    await clock.run(10);
    expect(links.hasFailedSince(replica!.id, clock.now())).toBe(false);
  });

  it("forgets replicas that left the list", () => {
    const { links, replicas } = createLinks(1);
    links.noteFailed(replicas[0]!);
    replicas.length = 0;
    links.dropUnlisted((_id: VmId) => false);
    expect(links.countUnreachable()).toBe(0);
    expect(links.isLost(POOL)).toBe(false);
  });
});
