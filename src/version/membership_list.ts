/**
 * The published list of live and leaving VMs, which lags behind reality.
 *
 * @module
 */
import type { DataCentre, PoolName, VmId } from "../ids.ts";

/** One VM as the platform publishes it. */
export interface ListedVm {
  id: VmId;
  role: "entry" | "upstream";
  state: "live" | "leaving";
  dataCentre: DataCentre;
  /** IP address. */
  address: string;
  /** The port callers use (entry VM) or the upstream's port. */
  port: number;
  /** The port for other entry VMs; 0 for an upstream. */
  peerPort: number;
  /** The pool that an upstream serves. */
  pool: PoolName | undefined;
}

/** One revision of the list; a higher revision is newer. */
export interface MembershipList {
  revision: number;
  vms: readonly ListedVm[];
}
