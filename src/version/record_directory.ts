/**
 * Reads the configuration from a directory of JSON files instead of the
 * configuration service: `index.json`, `groups/NAME/VERSION.json` and
 * `membership.json`.
 *
 * @module
 */
import { readFile, stat } from "node:fs/promises";
import { join } from "node:path";
import { StepError, toError } from "../errors.ts";
import type { MembershipList } from "./membership_list.ts";
import { parseMembershipList } from "./membership_schema.ts";
import { MAX_GROUP_BYTES, parseGroup, parseIndex } from "./record_groups.ts";

const STEP = "read_record_directory";

/** Contents of a record directory; the records are not validated yet. */
export interface RecordDirectory {
  version: number;
  records: unknown[];
  list: MembershipList;
}

/**
 * Reads the record directory at `path`. Throws a `StepError` that names the
 * file if one is missing, too large, not JSON or of an unexpected structure.
 */
export async function readRecordDirectory(
  path: string,
): Promise<RecordDirectory> {
  const index = await readJson(join(path, "index.json"), parseIndex);
  const records: unknown[] = [];
  for (const [name, version] of index.groups) {
    const file = join(path, "groups", name, `${version}.json`);
    const group = await readJson(file, parseGroup);
    for (const record of group) records.push(record);
  }
  const file = join(path, "membership.json");
  const list = await readJson(file, parseMembershipList);
  return { version: index.version, records, list };
}

async function readJson<T>(
  file: string,
  parse: (value: unknown) => T,
): Promise<T> {
  try {
    const { size } = await stat(file);
    if (size > MAX_GROUP_BYTES) {
      throw new Error(`Expected at most ${MAX_GROUP_BYTES} bytes, not ${size}`);
    }
    return parse(JSON.parse(await readFile(file, "utf8")));
  } catch (thrown) {
    throw new StepError({ step: STEP, cause: toError(thrown) }, file);
  }
}
