/**
 * Tells crashed upstreams from unreachable ones in a published fleet.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import { CrashCheck } from "./crash_check.ts";
import type { Environment } from "./environment.ts";
import type { MembershipView } from "./membership_view.ts";

/** Options of `createPeerCrashCheck`. */
export interface PeerCrashCheckOptions {
  environment: Environment;
  membership: MembershipView;
}

/** Creates the check; it asks the other entry VMs that are reachable. */
export function createPeerCrashCheck(
  { environment, membership }: PeerCrashCheckOptions,
): CrashCheck {
  const { log, peers, random, upstreams, vm } = environment;
  return CrashCheck.create({
    log,
    random,
    checkReach: (upstream) => upstreams.isListening(upstream),
    listOthers: (upstream) => listOthers(membership, upstream),
    listPeers: () =>
      membership.listEntryVms().map(({ id }) => id)
        .filter((id) => id !== vm && membership.isReachable(id)),
    fetchReach: (peer, upstream) => peers.getPeer(peer).checkReach(upstream),
  });
}

function listOthers(membership: MembershipView, upstream: VmId): VmId[] {
  const pool = membership.findVm(upstream)?.pool;
  if (pool === undefined) return [];
  return membership.listUpstreams(pool).map(({ id }) => id)
    .filter((id) => id !== upstream);
}
