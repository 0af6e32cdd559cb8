import { describe, expect, it } from "vitest";
import { toId } from "../../src/ids.ts";
import { PriorityRanks } from "../../src/version/priority_ranks.ts";
import type { Workspace } from "../../src/version/records.ts";
import type { Route } from "../../src/version/routes.ts";

function buildWorkspace(priority?: number): Workspace {
  return {
    kind: "workspace",
    name: toId("w"),
    keyHashes: [],
    defaultClass: toId("c"),
    classes: [],
    weight: 1,
    limits: { requestsPerMinute: 1, tokensPerMinute: 1 },
    objectives: {},
    ...(priority === undefined ? {} : { priority }),
  };
}

function buildRoute(priority: number): Route {
  return {
    name: toId("r"),
    host: "host",
    pathPrefix: "/",
    kind: "single_call",
    className: toId("c"),
    targets: [],
    maxSends: 1,
    isPublic: false,
    priority,
  };
}

describe("PriorityRanks", () => {
  // Guards against urgent talks being preempted while documents continue to run
  // when a replica runs out of memory. If the workspace's priority replaced the
  // route's, talks and documents of a workspace would rank equally and the
  // newest would be preempted; most workspaces share one priority.
  it("order calls by route, then by workspace", () => {
    const [first, other] = [buildWorkspace(0), buildWorkspace(1)];
    const [talk, document] = [buildRoute(0), buildRoute(1)];
    const ranks = PriorityRanks.create([first, other], [talk, document]);
    const order = [
      ranks.getRank(first, talk),
      ranks.getRank(other, talk),
      ranks.getRank(first, document),
      ranks.getRank(other, document),
    ];
    expect(order[0]).toBe(0);
    const isAscending = order.slice(1).every((rank, at) => rank > order[at]!);
    expect(isAscending).toBe(true);
  });

  it("rank workspaces without a priority last", () => {
    const [named, unnamed] = [buildWorkspace(3), buildWorkspace()];
    const route = buildRoute(0);
    const ranks = PriorityRanks.create([named, unnamed], [route]);
    expect(ranks.getRank(named, route))
      .toBeLessThan(ranks.getRank(unnamed, route));
  });

  it("stay within the engines' levels and keep the order", () => {
    const workspaces = [0, 1, 2, 3, 4].map(buildWorkspace);
    const routes = [0, 1, 2, 3].map(buildRoute);
    const ranks = PriorityRanks.create(workspaces, routes);
    const order = routes.flatMap((route) =>
      workspaces.map((workspace) => ranks.getRank(workspace, route))
    );
    expect(order).toEqual([...order].sort((a, b) => a - b));
    expect(order[0]).toBe(0);
    expect(order.at(-1)).toBeLessThanOrEqual(9);
  });

  // Guards against late urgent prompts waiting while less urgent ones start,
  // which happens if late calls rank behind all other calls.
  it("rank late calls behind those of their route and before the next route", () => {
    const workspaces = [buildWorkspace(0), buildWorkspace(1)];
    const [talk, document] = [buildRoute(0), buildRoute(1)];
    const ranks = PriorityRanks.create(workspaces, [talk, document]);
    for (const workspace of workspaces) {
      expect(ranks.getLateRank(talk))
        .toBeGreaterThan(ranks.getRank(workspace, talk));
      expect(ranks.getLateRank(talk))
        .toBeLessThan(ranks.getRank(workspace, document));
    }
    expect(ranks.getLateRank(document)).toBeLessThanOrEqual(9);
  });
});
