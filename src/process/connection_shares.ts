/**
 * How a VM's descriptors are divided between its listeners and the connections
 * that it opens.
 *
 * @module
 */

/** Largest numbers of connections at each listener. */
export interface ConnectionShares {
  callers: number;
  /** For requests that other VMs pass on. */
  forwarded: number;
  state: number;
  directory: number;
  readiness: number;
  metrics: number;
}

/**
 * Shares of all descriptors. As many as callers have are left for connections to
 * replicas, and a twentieth for the store, other VMs and files.
 */
const SHARES: ConnectionShares = {
  callers: 0.35,
  forwarded: 0.1,
  state: 0.08,
  directory: 0.04,
  readiness: 0.02,
  metrics: 0.01,
};

/** Divides the descriptors that a process may have open. */
export function computeConnectionShares(
  maxDescriptors: number,
): ConnectionShares {
  const entries = Object.entries(SHARES).map(([listener, share]) => {
    return [listener, Math.max(1, Math.floor(share * maxDescriptors))];
  });
  return Object.fromEntries(entries) as ConnectionShares;
}
