/**
 * The records of an example, with a number that tells one version from another.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const GROUPS = join(
  import.meta.dirname,
  "../../examples/lectura_llana/groups",
);

/** The example's records; the policy's retry share tells the `variant`. */
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
