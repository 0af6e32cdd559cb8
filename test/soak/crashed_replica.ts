/**
 * What a replica's crash does to its connections.
 *
 * @module
 */
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import type { Relay } from "../support/relay.ts";

/**
 * Cuts a crashed replica's connections and closes its relay. Closed in order
 * between two events, a stream without a length is whole, so it is reset.
 */
export async function cutCrashed(
  { standIn, relay }: { standIn: ReplicaStandIn; relay: Relay },
): Promise<void> {
  if (standIn.hasUnframed) relay.destroyOpen({ reset: true });
  await relay.close();
}
