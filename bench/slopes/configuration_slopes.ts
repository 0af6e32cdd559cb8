/**
 * Slopes of the cost of configuration and membership list changes.
 *
 * @module
 */
import { ConfigurationStore } from "../../src/process/configuration_store.ts";
import { buildSnapshot, parseMembershipList } from "../../src/version/index.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import {
  buildLargeRecords,
  buildRawList,
  buildWorkspace,
} from "./large_records.ts";
import {
  collectSlope,
  countHeap,
  countProcessorTime,
  type Slope,
} from "./slope.ts";

const WORKSPACES = [425, 850, 1_700, 3_400];
const REPLICAS = [320, 640, 1_280, 2_560];
const VMS = 380;
const CHANGES = 4;
/** Upper limit of the changes applied, including warm-up. */
const MAX_CHANGES = 400;

/**
 * Measures configurations by number of workspaces and lists by number of
 * replicas.
 */
export async function collectConfigurationSlopes(): Promise<Slope[]> {
  return [
    await collectSlope("configuration: bytes", WORKSPACES, {
      size: "workspaces",
      unit: "bytes of all records",
      count: (count) => countBytes(buildLargeRecords(count)),
    }),
    await collectSlope("configuration: parse and check, all new", WORKSPACES, {
      size: "workspaces",
      unit: "µs",
      count: countChecks,
    }),
    await collectSlope("configuration: a change of one record", WORKSPACES, {
      size: "workspaces",
      unit: "µs to digest, check and put in force",
      count: countChange,
    }),
    await collectSlope("configuration: a change by steps", WORKSPACES, {
      size: "workspaces",
      unit: "µs to apply another VM's steps, digest, check, put in force",
      count: countSteps,
    }),
    await collectSlope("configuration: bytes of a step", WORKSPACES, {
      size: "workspaces",
      unit: "bytes of a change of one record",
      count: (count) => countBytes(createChanges(count, 1).steps[0]),
    }),
    await collectSlope("configuration: heap", WORKSPACES, {
      size: "workspaces",
      unit: "KiB of records and snapshot",
      count: (count) => countHeap(() => createStore(count)),
    }),
    await collectSlope("membership list: bytes", REPLICAS, {
      size: "replicas in the list",
      unit: "bytes, 380 entry VMs with it",
      count: (replicas) => countBytes(buildRawList(VMS, replicas)),
    }),
    await collectSlope("membership list: processor", REPLICAS, {
      size: "replicas in the list",
      unit: "µs to read and check",
      count: countListParse,
    }),
  ];
}

function countBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function countChecks(workspaces: number): Promise<number> {
  const text = JSON.stringify(buildLargeRecords(workspaces));
  return countProcessorTime(CHANGES, (count) => {
    for (let index = 0; index < count; index++) {
      buildSnapshot(1, JSON.parse(text));
    }
  });
}

/** Measures changes that replace one workspace and keep the other records. */
function countChange(workspaces: number): Promise<number> {
  const store = ConfigurationStore.create(VirtualClock.create());
  const records = buildLargeRecords(workspaces);
  const place = records.length - 1;
  let version = 1;
  store.apply({ version, records, from: "service" });
  return countProcessorTime(CHANGES, (count) => {
    for (let index = 0; index < count; index++) {
      version += 1;
      const next = [...records];
      next[place] = buildWorkspace(workspaces - 1, version);
      const result = store.apply({ version, records: next, from: "service" });
      if (result.kind !== "accepted") throw new Error(result.kind);
    }
  });
}

function countSteps(workspaces: number): Promise<number> {
  const { store, records, steps } = createChanges(workspaces, MAX_CHANGES);
  store.apply({ version: 1, records, from: "service" });
  let version = 1;
  return countProcessorTime(CHANGES, (count) => {
    for (let index = 0; index < count; index++) {
      version += 1;
      const next = store.buildRecords(steps[version - 2]);
      if (next === undefined) throw new Error("The delta does not fit");
      store.apply({ version, records: next, from: "entry-1" });
    }
  });
}

/**
 * Builds the deltas of `count` changes of one record each, and the store and
 * records to which they apply.
 */
function createChanges(
  workspaces: number,
  count: number,
): { store: ConfigurationStore; records: unknown[]; steps: unknown[] } {
  const source = ConfigurationStore.create(VirtualClock.create());
  const records = buildLargeRecords(workspaces);
  const steps: unknown[] = [];
  source.apply({ version: 1, records, from: "service" });
  for (let version = 2; version <= count + 1; version++) {
    const digest = source.getDigest();
    const next = [...records];
    next[records.length - 1] = buildWorkspace(workspaces - 1, version);
    source.apply({ version, records: next, from: "service" });
    steps.push(source.listDeltas(digest));
  }
  const store = ConfigurationStore.create(VirtualClock.create());
  return { store, records, steps };
}

function createStore(workspaces: number): ConfigurationStore {
  const store = ConfigurationStore.create(VirtualClock.create());
  const text = JSON.stringify(buildLargeRecords(workspaces));
  store.apply({ version: 1, records: JSON.parse(text), from: "service" });
  return store;
}

function countListParse(replicas: number): Promise<number> {
  const text = JSON.stringify(buildRawList(VMS, replicas));
  return countProcessorTime(CHANGES, (count) => {
    for (let index = 0; index < count; index++) {
      parseMembershipList(JSON.parse(text));
    }
  });
}
