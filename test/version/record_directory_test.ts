import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import {
  findWorkspaceByKey,
  readRecordDirectory,
} from "../../src/version/index.ts";
import type { MembershipList } from "../../src/version/index.ts";
import { buildAccepted } from "./record_fixtures.ts";

const EXAMPLES = new URL("../../examples/", import.meta.url).pathname;

function countUpstreams(list: MembershipList, pool: string): number {
  return list.vms.filter((vm) => vm.pool === pool).length;
}

describe("the examples", () => {
  it.each([
    {
      user: "lectura_llana",
      key: "ll-clinic-test-key",
      workspace: "clinic",
      dataCentres: 4,
      pools: { "easy-read": 6, portal: 4 },
    },
    {
      user: "kontrola_sever",
      key: "ks-booking-web-test-key",
      workspace: "booking-web",
      dataCentres: 3,
      pools: { assist: 13, booking: 3 },
    },
  ])("of $user load with the expected sizes", async (example) => {
    const directory = await readRecordDirectory(join(EXAMPLES, example.user));
    const snapshot = buildAccepted(directory.records);
    expect(snapshot.workspaces.size).toBe(10);
    expect(findWorkspaceByKey(snapshot, example.key)?.name)
      .toBe(example.workspace);
    const { list } = directory;
    const sites = new Set(list.vms.map((vm) => vm.dataCentre));
    expect(sites.size).toBe(example.dataCentres);
    expect(list.vms.filter((vm) => vm.role === "entry")).toHaveLength(8);
    for (const [pool, size] of Object.entries(example.pools)) {
      expect(countUpstreams(list, pool)).toBe(size);
      expect(snapshot.pools.has(pool as never)).toBe(true);
    }
    const schemas = directory.records.map((record) =>
      (record as { schema: number }).schema
    );
    expect(new Set(schemas)).toEqual(new Set([1, 2]));
  });

  it("use a non-idempotent default class for calls without a class", async () => {
    for (const user of ["lectura_llana", "kontrola_sever"]) {
      const { records } = await readRecordDirectory(join(EXAMPLES, user));
      const { pools, classes } = buildAccepted(records);
      for (const { defaultClass } of pools.values()) {
        if (!defaultClass) continue;
        expect(classes.get(defaultClass)?.idempotent).toBe(false);
      }
    }
  });
});

describe("readRecordDirectory", () => {
  it("names the file that is missing or malformed", async () => {
    const path = await mkdtemp(join(tmpdir(), "records-"));
    try {
      await expect(readRecordDirectory(path)).rejects.toThrow(/index\.json/);
      const index = join(path, "index.json");
      await writeFile(index, "{");
      await expect(readRecordDirectory(path)).rejects.toThrow(/index\.json/);
      await writeFile(index, '{"version":1,"groups":{"a":2}}');
      await expect(readRecordDirectory(path)).rejects.toThrow(/a\/2\.json/);
      await writeFile(index, " ".repeat(1_000_001));
      await expect(readRecordDirectory(path)).rejects.toThrow(/at most/);
    } finally {
      await rm(path, { recursive: true });
    }
  });
});
