/**
 * Records of an example in distinguishable versions.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const GROUPS = join(
  import.meta.dirname,
  "../../examples/lectura_llana/groups",
);

/**
 * Builds the example's records; `variant` is encoded in the policy's retry
 * share.
 */
export function buildExampleRecords(variant: number): unknown[] {
  const records = readdirSync(GROUPS).sort().flatMap(readGroup);
  return records.map((record) =>
    record["kind"] === "policy"
      ? { ...record, retry_share: 0.1 + variant / 10_000 }
      : record
  );
}

function readGroup(group: string): Record<string, unknown>[] {
  const [file] = readdirSync(join(GROUPS, group));
  const text = readFileSync(join(GROUPS, group, file!), "utf8");
  return JSON.parse(text).records;
}
