import { describe, expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { PlatformFleet } from "./platform_fleet.ts";

const PORT = 9;

/** What a VM lists of a replica whose entry has this version. */
async function listVersion(version: unknown): Promise<unknown> {
  const fleet = await PlatformFleet.create({ replicas: 1 });
  const [first] = fleet.vms;
  const { replicas } = first!.vm;
  const before = replicas.revision;
  fleet.listReplica({ id: "i-new", port: PORT }, { version });
  await waitUntil(() => replicas.revision > before);
  const listed = replicas.getList().replicas.find(({ id }) => id === "i-new");
  return listed === undefined ? "not listed" : listed.version;
}

describe("the version in a replica's entry", () => {
  it("is listed as it is", async () => {
    expect(await listVersion("v1.1")).toBe("v1.1");
    expect(await listVersion("")).toBe("");
    expect(await listVersion(" v1 / ä,:\n")).toBe(" v1 / ä,:\n");
    expect(await listVersion(2)).toBe("2");
    expect(await listVersion(undefined)).toBeUndefined();
  });

  it("of another type or of any length names no replica to use", async () => {
    expect(await listVersion({ major: 1 })).toBe("not listed");
    expect(await listVersion(["v1"])).toBe("not listed");
    expect(await listVersion("v".repeat(10_000))).toBe("not listed");
  });
});
