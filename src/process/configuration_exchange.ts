/**
 * Exchange of configuration and membership list versions on probes.
 *
 * @module
 */
import type { VmId } from "../ids.ts";

/** Versions of a VM's configuration and membership list. */
export interface PeerVersions {
  configVersion: number;
  configDigest?: string | undefined;
  /** Source from which the VM received the version. */
  configFrom?: string | undefined;
  listRevision: number;
  /** Time since the list was last known to be the newest published one. */
  listAgeMs?: number | undefined;
}

/** Provides this VM's versions and receives those of its peers. */
export abstract class VersionExchange {
  abstract getVersions(): PeerVersions;
  /** Resolves when anything newer that `vm` has is fetched or has failed. */
  abstract notePeerVersions(vm: VmId, versions: PeerVersions): Promise<void>;
  /** Calls `callback` when a new version should be sent to peers at once. */
  abstract onNewVersion(callback: () => void): void;
}
