/**
 * Guards against a failures page that links a removed test or omits one, when a
 * test file is added, renamed or removed.
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

it("links only files that exist", () => {
  expect(links.filter((file) => !existsSync(file))).toEqual([]);
});

it("links every failure test", () => {
  const files = FOLDERS.flatMap((folder) =>
    readdirSync(join(ROOT, folder))
      .filter((name) => name.endsWith("_test.ts"))
      .map((name) => join(ROOT, folder, name))
  );
  expect(files.length).toBeGreaterThan(0);
  expect(files.filter((file) => !links.includes(file))).toEqual([]);
});
