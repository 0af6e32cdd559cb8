/**
 * Guards against names of the users' platform (headers, keys, fields) in the
 * product's code: they belong in the platform folder alone, so that a change of
 * one is made in one place.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, it } from "vitest";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const NAMES = new RegExp(
  [
    "op/config",
    "servers/",
    "kv-(range|watch|key|list|events|move|pin)",
    "x-(expect|not-executed|response-seal|tenant|token-count|prompt-prefix)",
    "x-(timeout-ms|request-priority|hold|pin-ms|kv-backup)",
    "max-attempts",
    "route-type",
    "store-revision",
    "/api/(resolve|ready|report)",
    "PERSIMMONSLIP_SETTINGS",
  ].join("|"),
  "i",
);
const MAX_LINES = 1_500;

function listFiles(folder: string): string[] {
  return readdirSync(join(ROOT, folder), { recursive: true })
    .map((name) => join(folder, String(name)))
    .filter((file) => file.endsWith(".ts"));
}

function readLines(file: string): string[] {
  return readFileSync(join(ROOT, file), "utf8").split("\n");
}

it("the platform's names appear only in its folder", () => {
  const found = listFiles("src").flatMap((file) =>
    readLines(file)
      .map((line, at) => `${file}:${at + 1}: ${line.trim()}`)
      .filter((line) => NAMES.test(line.slice(file.length)))
  );
  expect(found).toEqual([]);
});

it("the platform's folder stays small", () => {
  const files = listFiles("platform");
  const lines = files.reduce((sum, file) => sum + readLines(file).length, 0);
  expect(files.length).toBeGreaterThan(0);
  expect(lines).toBeLessThan(MAX_LINES);
});
