import { describe, expect, it } from "vitest";
import { decodeConfiguration } from "../../platform/configuration.ts";
import { waitUntil } from "../support/loopback.ts";
import { sendCall } from "./test_call.ts";
import {
  buildConfiguration,
  ROUTES,
  type TestRoute,
} from "./configurations.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";

const REQUESTS = 6;

/** Creates one replica in each region; restricts route `safe` to `regions`. */
async function createFleet(regions: string[]): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: 2 });
  fleet.listReplica(fleet.replicas[1]!, { zone: "dc-2" });
  const [safe, ...others] = ROUTES as [TestRoute, ...TestRoute[]];
  const routes = [{ ...safe, regions }, ...others];
  fleet.store.put("op/config", buildConfiguration(2, { routes }));
  const [first] = fleet.vms as [TestVm];
  await waitUntil(() => first.vm.getSnapshot()?.version === 2);
  await waitUntil(() =>
    first.vm.replicas.getList().replicas.some((each) =>
      each.dataCentre === "dc-2"
    )
  );
  return fleet;
}

// Guards against running requests in regions that their route does not allow: a
// caller connects to a VM of another region, which prefers the nearest replica.
describe("a route that is restricted to a region", () => {
  it("is served only by replicas of that region, however far", async () => {
    const fleet = await createFleet(["south"]);
    const [first] = fleet.vms as [TestVm];
    const [north, south] = fleet.replicas;
    for (let index = 0; index < REQUESTS; index++) {
      const answer = await sendRequest(first, { path: "/safe/x" });
      expect(answer.status).toBe(200);
    }
    expect(north!.seen).toHaveLength(0);
    expect(south!.ran).toHaveLength(REQUESTS);
  });

  it("is refused as not run if the region has no replica", async () => {
    const fleet = await createFleet(["west"]);
    const [first] = fleet.vms as [TestVm];
    const answer = await sendRequest(first, { path: "/safe/x" });
    expect(answer.status).toBe(503);
    expect(fleet.replicas.flatMap(({ seen }) => seen)).toHaveLength(0);
  });
});

describe("the directory", () => {
  it("returns VMs of other regions if the caller's region has none", async () => {
    const fleet = await PlatformFleet.create();
    const [{ settings }] = fleet.vms as [TestVm];
    for (const region of ["north", "south"]) {
      const answer = await sendCall(settings.listeners.directory, {
        path: `/api/resolve?name=x&region=${region}`,
        method: "GET",
      });
      expect(JSON.parse(answer.body).addresses)
        .toEqual([settings.listeners.callers]);
    }
  });
});

describe("decodeConfiguration", () => {
  it("decodes regions, warm-up and client timeouts", () => {
    const pool = { "cold-start-s": 3, "cold-per-s": 6.1 };
    const routes: TestRoute[] = [
      { name: "bound", type: "streaming", regions: ["north"] },
      { name: "free", type: "streaming", regions: [] },
    ];
    const { records, routes: decoded } = decodeConfiguration(
      buildConfiguration(1, { routes, pool }),
    );
    expect(decoded.map(({ allowedRegions }) => allowedRegions))
      .toEqual([["north"], undefined]);
    expect(records).toContainEqual(
      expect.objectContaining({
        name: "pool",
        warmUp: { ms: 3_000, requestsPerS: 6.1 },
      }),
    );
    expect(records).toContainEqual(
      expect.objectContaining({ name: "other", warmUp: undefined }),
    );
    // The maximum of 2 s, 4 targets of 300 ms and 8 gaps; without a gap target
    // the timeout of 2,000 ms applies.
    expect(records).toContainEqual(
      expect.objectContaining({ name: "bound", patienceMs: 16_000 }),
    );
  });
});
