/**
 * Symptom: a name of the users' platform has to be changed in two places.
 *
 * Sequence: code of the product uses a header, key or field of the platform.
 *
 * Cause: nothing keeps the platform's names in their folder.
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
const MOST_LINES = 1_500;

function listFiles(folder: string): string[] {
  return readdirSync(join(ROOT, folder), { recursive: true })
    .map((name) => join(folder, String(name)))
    .filter((file) => file.endsWith(".ts"));
}

function readLines(file: string): string[] {
  return readFileSync(join(ROOT, file), "utf8").split("\n");
}

it("the platform's names stand in its folder alone", () => {
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
  expect(lines).toBeLessThan(MOST_LINES);
});
