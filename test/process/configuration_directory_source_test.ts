/**
 * Directory as a configuration source.
 *
 * @module
 */
import { mkdir, mkdtemp, rename, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it, onTestFinished } from "vitest";
import { DirectorySource } from "../../src/process/configuration_directory_source.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

const LONG_MS = 1e9;
const NEVER = new AbortController().signal;

async function createDirectory(files: Record<string, unknown>) {
  const directory = await mkdtemp(join(tmpdir(), "records-"));
  onTestFinished(() => rm(directory, { recursive: true }));
  const write = async (path: string, value: unknown) => {
    const file = join(directory, path);
    await mkdir(join(file, ".."), { recursive: true });
    // Renamed into place, since a reader may see a partly written file.
    await writeFile(`${file}.new`, JSON.stringify(value));
    await rename(`${file}.new`, file);
  };
  for (const [path, value] of Object.entries(files)) await write(path, value);
  const clock = VirtualClock.create();
  const source = DirectorySource.create({ directory, clock });
  return { source, clock, write };
}

describe("DirectorySource", () => {
  it("reads the index, a group and the membership list", async () => {
    const { source } = await createDirectory({
      "index.json": { version: 3, groups: { tiers: 2 } },
      "groups/tiers/2.json": { records: [{ kind: "tier" }] },
      "membership.json": { revision: 4, vms: [] },
    });
    const index = await source.fetchIndex(2, 0, NEVER);
    expect(index).toEqual({ version: 3, groups: new Map([["tiers", 2]]) });
    expect(await source.fetchIndex(3, 0, NEVER)).toBeUndefined();
    expect(await source.fetchGroup("tiers", 2)).toEqual([{ kind: "tier" }]);
    expect(await source.fetchMembership(3, 0, NEVER))
      .toEqual({ revision: 4, vms: [] });
    expect(await source.fetchMembership(4, 0, NEVER)).toBeUndefined();
  });

  it("returns a new index while it waits", async () => {
    const { source, clock, write } = await createDirectory({
      "index.json": { version: 3, groups: {} },
    });
    const wait = source.fetchIndex(3, LONG_MS, NEVER);
    await write("index.json", { version: 4, groups: {} });
    let version: number | undefined;
    void wait.then((index) => version = index?.version);
    // Reading the file takes real time, which the virtual clock does not cover.
    while (version === undefined) await clock.run(1_000);
    expect(version).toBe(4);
    expect(clock.now()).toBeLessThan(LONG_MS);
  });

  it("fails if a file is missing, truncated or too large", async () => {
    const { source, write } = await createDirectory({});
    await expect(source.fetchIndex(0, 0, NEVER)).rejects.toThrow();
    await write("groups/a/1.json", "half of an obj");
    await expect(source.fetchGroup("a", 1)).rejects.toThrow();
    await write("groups/a/2.json", { records: ["x".repeat(2 ** 20)] });
    await expect(source.fetchGroup("a", 2)).rejects.toThrow();
  });
});
