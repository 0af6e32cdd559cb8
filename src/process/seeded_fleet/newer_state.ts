/**
 * State that one VM has and another lacks.
 *
 * @module
 */
import type { PublishedConfiguration } from "../../version/published_configuration.ts";
import type { ListPosition } from "../placement/list_position.ts";
import type { ReplicaList } from "../placement/replica_list.ts";
import type { VersionRecord } from "./list_source.ts";

/** Versions that a VM already has. */
export interface KnownVersions {
  configVersion: number;
  list: ListPosition;
}

/**
 * Configuration and replica list, where newer than the versions of the VM that
 * asked.
 */
export interface NewerState {
  configuration?: PublishedConfiguration;
  replicas?: ReplicaList;
  /** Comes with the list; left out by older software. */
  versions?: VersionRecord;
}
