import { describe, expect, it } from "vitest";
import {
  computePrefixes,
  MAX_PREFIXES,
  PREFIX_BLOCK_CHARACTERS,
} from "../../src/request/prompt_prefixes.ts";

describe("prefix hashes", () => {
  const block = "x".repeat(PREFIX_BLOCK_CHARACTERS);

  it("are equal for the common prefix of two prompts", () => {
    const one = computePrefixes(`${block}${block}a`, "m");
    const two = computePrefixes(`${block}${"y".repeat(2_000)}`, "m");
    expect(one).toHaveLength(2);
    expect(two[0]).toBe(one[0]);
    expect(two[1]).not.toBe(one[1]);
  });

  it("are limited in number, and none for a short prompt", () => {
    expect(computePrefixes(block.repeat(100), "m")).toHaveLength(MAX_PREFIXES);
    expect(computePrefixes("short", "m")).toEqual([]);
  });

  it("differ between models", () => {
    expect(computePrefixes(block, "m")).not.toEqual(
      computePrefixes(block, "n"),
    );
  });
});
