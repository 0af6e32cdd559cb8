/**
 * The configuration: its records, their validation, and snapshots. Objects of
 * this folder live as long as one version of the configuration.
 *
 * @module
 */
export { compareSnapshots } from "./changes.ts";
export type { FieldChange, SnapshotChange } from "./changes.ts";
export type { ListedVm, MembershipList } from "./membership_list.ts";
export { parseMembershipList } from "./membership_schema.ts";
export { computeKeyHash, findWorkspaceByKey } from "./keys.ts";
export { parseRecord } from "./parse_record.ts";
export type { ParsedRecord } from "./parse_record.ts";
export { readRecordDirectory } from "./record_directory.ts";
export type { RecordDirectory } from "./record_directory.ts";
export { buildRecordGroups, parseGroup, parseIndex } from "./record_groups.ts";
export type { RecordGroup, RecordIndex } from "./record_groups.ts";
export { formatProblem } from "./record_problem.ts";
export type { RecordProblem } from "./record_problem.ts";
export { getClassRank } from "./records.ts";
export type {
  ConfigRecord,
  Policy,
  PoolModel,
  RequestClass,
  Snapshot,
  Tier,
  UpstreamPool,
  Workspace,
} from "./records.ts";
export { buildSnapshot } from "./snapshot.ts";
export { DEFAULT_POLICY } from "./snapshot_maps.ts";
export type { SnapshotResult } from "./snapshot.ts";
