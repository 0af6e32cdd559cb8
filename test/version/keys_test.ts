import { describe, expect, it } from "vitest";
import { computeKeyHash, findWorkspaceByKey } from "../../src/version/index.ts";
import { buildAccepted, buildRawRecords } from "./record_fixtures.ts";

describe("findWorkspaceByKey", () => {
  const snapshot = buildAccepted(Object.values(buildRawRecords()));

  it("finds workspaces only by their exact keys", () => {
    expect(findWorkspaceByKey(snapshot, "web-key")?.name).toBe("web");
    expect(findWorkspaceByKey(snapshot, "desk-key")?.name).toBe("desk");
    const others = ["", "web-ke", "web-keyy", computeKeyHash("web-key")];
    for (const key of others) {
      expect(findWorkspaceByKey(snapshot, key)).toBeUndefined();
    }
  });

  it("computes SHA-256 in hexadecimal", () => {
    // The published test vector for "abc".
    expect(computeKeyHash("abc")).toBe(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
    );
  });
});
