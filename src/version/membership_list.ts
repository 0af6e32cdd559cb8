/**
 * The published list of live and leaving VMs. It lags behind the actual state
 * of the fleet.
 *
 * @module
 */
import type { DataCentre, PoolName, VmId } from "../ids.ts";

/** A VM as published by the platform. */
export interface ListedVm {
  id: VmId;
  role: "entry" | "upstream";
  state: "live" | "leaving";
  dataCentre: DataCentre;
  /** IP address. */
  address: string;
  /** Port for callers (entry VM) or port of the upstream. */
  port: number;
  /** Port for other entry VMs; 0 for an upstream. */
  peerPort: number;
  /** Pool that an upstream belongs to. */
  pool: PoolName | undefined;
}

/** One revision of the list; a higher revision is newer. */
export interface MembershipList {
  revision: number;
  vms: readonly ListedVm[];
}
