/**
 * Records and membership list of a user, read from `examples/`.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { join } from "node:path";

/** A record as stored; declares only the members that the demo uses. */
export interface ExampleRecord {
  kind: string;
  name: string;
  type?: string;
  models?: { model: string; version: string; adapters: string[] }[];
  classes?: string[];
  key_hashes?: string[];
  total_ms?: number;
  targets?: { total_ms: number };
}

/** A VM as stored in the membership list. */
export interface ExampleVm {
  id: string;
  role: "entry" | "upstream";
  state: string;
  data_centre: string;
  address: string;
  port: number;
  peer_port: number;
  pool?: string;
}

/** One user's example, with the demo's API keys. */
export interface Example {
  user: string;
  groups: Record<string, ExampleRecord[]>;
  vms: ExampleVm[];
}

/**
 * Reads `examples/USER` and replaces each workspace's API key by the demo's.
 */
export function readExample(root: string, user: string): Example {
  const directory = join(root, "examples", user);
  const index = readJson<{ groups: Record<string, number> }>(
    join(directory, "index.json"),
  );
  const groups: Example["groups"] = {};
  for (const [name, version] of Object.entries(index.groups)) {
    const file = join(directory, "groups", name, `${version}.json`);
    const { records } = readJson<{ records: ExampleRecord[] }>(file);
    groups[name] = records.map(applyDemoKey);
  }
  const list = readJson<{ vms: ExampleVm[] }>(
    join(directory, "membership.json"),
  );
  return { user, groups, vms: list.vms };
}

/** Returns the API key of a workspace in the demo. */
export function formatDemoKey(workspace: string): string {
  return `demo-key-${workspace}`;
}

/** Lists all records of a kind. */
export function listRecords(example: Example, kind: string): ExampleRecord[] {
  return Object.values(example.groups).flat()
    .filter((record) => record.kind === kind);
}

/**
 * Returns the target for the total time of an answer in milliseconds, by class
 * name.
 */
export function listTotalTargets(example: Example): Map<string, number> {
  return new Map(
    listRecords(example, "request_class").map((record) => [
      record.name,
      record.targets?.total_ms ?? record.total_ms ?? Infinity,
    ]),
  );
}

function applyDemoKey(record: ExampleRecord): ExampleRecord {
  if (record.kind !== "workspace") return record;
  const hash = createHash("sha256").update(formatDemoKey(record.name))
    .digest("hex");
  return { ...record, key_hashes: [hash] };
}

function readJson<T>(file: string): T {
  return JSON.parse(readFileSync(file, "utf8")) as T;
}
