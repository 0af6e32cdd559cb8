/**
 * Software versions of the replicas of a soak at size.
 *
 * @module
 */
import type { ReplicaStandIn } from "../../platform/replica_stand_in.ts";

const VERSIONS = 3;
/** Of so many replicas, one sends streams without a length. */
const UNFRAMED_ONE_IN = 4;
/** Of so many streams, one breaks off. */
const BROKEN_ONE_IN = 8;

/** The version of a replica, by the number in its id. */
export function getReplicaVersion(id: string): string {
  return `v${getNumber(id) % VERSIONS}`;
}

/** Lets a replica break some of its streams off. */
export function startBreaking(standIn: ReplicaStandIn): void {
  if (getNumber(standIn.id) % UNFRAMED_ONE_IN === 0) standIn.mode = "unframed";
  standIn.isBroken = ({ headers }) => {
    const number = (headers["x-request-id"] ?? "").split("~").at(-1);
    return Number(number) % BROKEN_ONE_IN === 0;
  };
}

function getNumber(id: string): number {
  return Number(id.split("-").at(-1));
}
