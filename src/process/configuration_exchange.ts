/**
 * What probes carry of the configuration and of the membership list.
 *
 * @module
 */
import type { VmId } from "../ids.ts";

/** The versions that a VM has. */
export interface PeerVersions {
  configVersion: number;
  configDigest?: string | undefined;
  /** From whom the VM has that version. */
  configFrom?: string | undefined;
  listRevision: number;
  /** Time since that list was last known to be the newest published. */
  listAgeMs?: number | undefined;
}

/** Gives this VM's versions and hears of the others'. */
export abstract class VersionExchange {
  abstract getVersions(): PeerVersions;
  /** Resolves once what `vm` has newer was fetched, or could not be. */
  abstract notePeerVersions(vm: VmId, versions: PeerVersions): Promise<void>;
  /** Calls `callback` when a new version should reach others at once. */
  abstract onNewVersion(callback: () => void): void;
}
