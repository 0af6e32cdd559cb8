import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { ALLOWED_NAMES, VERBS } from "../../lint/verb_list.ts";

const PAGE = readFileSync("docs/VERBS.md", "utf8");

test("docs/VERBS.md lists the verbs that the linter accepts", () => {
  const documented = [...PAGE.matchAll(/^\| `([a-z]+)`/gm)].map((row) =>
    row[1]
  );
  expect(documented).toEqual(VERBS);
});

test("docs/VERBS.md lists the exempt names", () => {
  for (const name of ALLOWED_NAMES) expect(PAGE).toContain(`\`${name}\``);
});

test("no verb is listed twice", () => {
  expect(new Set(VERBS).size).toBe(VERBS.length);
});
