/**
 * Symptom: the page on failures names a test that is gone, or leaves one out.
 *
 * Sequence: a test file is added, renamed or removed.
 *
 * Cause: nothing ties the page to the files.
 *
 * @module
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, it } from "vitest";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const PAGE = join(ROOT, "docs/FAILURES.md");
const FOLDERS = ["test/failures", "test/failures/processes"];
const LINK = /\]\(([^)#]+)\)/g;

const links = [...readFileSync(PAGE, "utf8").matchAll(LINK)]
  .map((match) => join(dirname(PAGE), match[1]!));

it("names files that are there", () => {
  expect(links.filter((file) => !existsSync(file))).toEqual([]);
});

it("names every test of a failure", () => {
  const files = FOLDERS.flatMap((folder) =>
    readdirSync(join(ROOT, folder))
      .filter((name) => name.endsWith("_test.ts"))
      .map((name) => join(ROOT, folder, name))
  );
  expect(files.length).toBeGreaterThan(0);
  expect(files.filter((file) => !links.includes(file))).toEqual([]);
});
