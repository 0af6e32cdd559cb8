/**
 * Entries of the platform's replica list, for tests.
 *
 * @module
 */
import { toId, type VmId } from "../../src/ids.ts";
import type { ListedReplica } from "../../src/process/placement/index.ts";

const FIRST_PORT = 80;
const SLOTS = 16;

/** Replica `i-INDEX` of the pool `pool` in the data centre `dc`. */
export function buildListedReplica(
  index: number,
  changes: Partial<ListedReplica> = {},
): ListedReplica {
  return {
    id: toId<VmId>(`i-${index}`),
    pool: toId("pool"),
    address: "10.0.0.1",
    port: FIRST_PORT + index,
    dataCentre: toId("dc"),
    slots: SLOTS,
    state: "ready",
    ...changes,
  };
}

/** `count` replicas, from `i-0` on. */
export function buildListedReplicas(count: number): ListedReplica[] {
  return Array.from({ length: count }, (_, index) => buildListedReplica(index));
}
