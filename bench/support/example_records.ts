/**
 * Example records and membership list of a user, with the benchmark's API keys.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import {
  buildSnapshot,
  computeKeyHash,
  type MembershipList,
  parseMembershipList,
  type Snapshot,
} from "../../src/version/index.ts";

const EXAMPLES = new URL("../../examples/", import.meta.url);
const VERSION = 1;

/** Limits are raised, so that runs measure the scheduler and not the limits. */
const LIMIT_MULTIPLIER = 100;

/** Users whose records a scenario can run with. */
export const USERS = ["lectura_llana", "kontrola_sever"] as const;

/** One of the two users. */
export type User = typeof USERS[number];

/** Published records, parsed and unparsed. */
export interface ExampleRecords {
  user: User;
  /** Unparsed records, for a configuration source. */
  records: unknown[];
  snapshot: Snapshot;
  list: MembershipList;
  /** The unparsed membership list. */
  rawList: { revision: number; vms: { id: string }[] };
}

/** Returns the API key of a workspace in the benchmark. */
export function getBenchKey(workspace: string): string {
  return `bench-key-of-${workspace}`;
}

/** Reads the records of a user from `examples/`. */
export function readExampleRecords(user: User): ExampleRecords {
  const root = new URL(`${user}/`, EXAMPLES);
  const index = readJson(new URL("index.json", root)) as {
    groups: Record<string, number>;
  };
  const records = Object.entries(index.groups).flatMap(([name, version]) => {
    const group = readJson(new URL(`groups/${name}/${version}.json`, root));
    return (group as { records: unknown[] }).records.map(convertRecord);
  });
  const result = buildSnapshot(VERSION, records);
  if (result.kind === "rejected") {
    throw new Error(`The example records of ${user} are invalid`);
  }
  const rawList = readJson(new URL("membership.json", root));
  return {
    user,
    records,
    snapshot: result.snapshot,
    list: parseMembershipList(rawList),
    rawList: rawList as ExampleRecords["rawList"],
  };
}

interface RawWorkspace {
  kind: string;
  name: string;
  key_hashes: string[];
  limits?: Record<string, number>;
  requests_per_minute?: number;
  tokens_per_minute?: number;
}

function convertRecord(value: unknown): unknown {
  const record = value as RawWorkspace;
  if (record.kind !== "workspace") return record;
  const limits = record.limits ?? record as unknown as Record<string, number>;
  const wide = {
    requests_per_minute: limits["requests_per_minute"]! * LIMIT_MULTIPLIER,
    tokens_per_minute: limits["tokens_per_minute"]! * LIMIT_MULTIPLIER,
  };
  const keyHashes = [computeKeyHash(getBenchKey(record.name))];
  const changed = { ...record, key_hashes: keyHashes };
  return record.limits === undefined
    ? { ...changed, ...wide }
    : { ...changed, limits: wide };
}

function readJson(url: URL): unknown {
  return JSON.parse(readFileSync(url, "utf8"));
}
