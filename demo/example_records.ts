/**
 * A user's records and membership list, read from `examples/`.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { join } from "node:path";

/** A record as written; only what the demo looks at is named. */
export interface WrittenRecord {
  kind: string;
  name: string;
  type?: string;
  models?: { model: string; version: string; adapters: string[] }[];
  classes?: string[];
  key_hashes?: string[];
  total_ms?: number;
  targets?: { total_ms: number };
}

/** A VM as the membership list writes it. */
export interface WrittenVm {
  id: string;
  role: "entry" | "upstream";
  state: string;
  data_centre: string;
  address: string;
  port: number;
  peer_port: number;
  pool?: string;
}

/** One user's example, with keys that the demo knows. */
export interface Example {
  user: string;
  groups: Record<string, WrittenRecord[]>;
  vms: WrittenVm[];
}

/** Reads `examples/USER` and gives each workspace the demo's own key. */
export function readExample(root: string, user: string): Example {
  const directory = join(root, "examples", user);
  const index = readJson<{ groups: Record<string, number> }>(
    join(directory, "index.json"),
  );
  const groups: Example["groups"] = {};
  for (const [name, version] of Object.entries(index.groups)) {
    const file = join(directory, "groups", name, `${version}.json`);
    const { records } = readJson<{ records: WrittenRecord[] }>(file);
    groups[name] = records.map(applyDemoKey);
  }
  const list = readJson<{ vms: WrittenVm[] }>(
    join(directory, "membership.json"),
  );
  return { user, groups, vms: list.vms };
}

/** The key that callers of a workspace send in the demo. */
export function formatDemoKey(workspace: string): string {
  return `demo-key-${workspace}`;
}

/** Every record of a kind. */
export function listRecords(example: Example, kind: string): WrittenRecord[] {
  return Object.values(example.groups).flat()
    .filter((record) => record.kind === kind);
}

/** From class name to the longest useful time of an answer. */
export function listTotalTargets(example: Example): Map<string, number> {
  return new Map(
    listRecords(example, "request_class").map((record) => [
      record.name,
      record.targets?.total_ms ?? record.total_ms ?? Infinity,
    ]),
  );
}

function applyDemoKey(record: WrittenRecord): WrittenRecord {
  if (record.kind !== "workspace") return record;
  const hash = createHash("sha256").update(formatDemoKey(record.name))
    .digest("hex");
  return { ...record, key_hashes: [hash] };
}

function readJson<T>(file: string): T {
  return JSON.parse(readFileSync(file, "utf8")) as T;
}
