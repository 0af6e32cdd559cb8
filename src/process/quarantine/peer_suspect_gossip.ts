/**
 * Exchange of evidence against requests by peer calls, in a published fleet.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { VmId } from "../../ids.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { CrashNews } from "./suspect_entry.ts";
import { SuspectGossip } from "./suspect_gossip.ts";

/** Options of `createPeerSuspectGossip`. */
export interface PeerSuspectGossipOptions {
  environment: Environment;
  membership: Pick<MembershipView, "listEntryVms" | "isReachable">;
  quarantine: RequestQuarantine;
}

/** Creates the gossip with the other entry VMs that are reachable. */
export function createPeerSuspectGossip(
  { environment, membership, quarantine }: PeerSuspectGossipOptions,
): SuspectGossip<VmId> {
  const { clock, log, peers, random, vm, incarnation } = environment;
  const from = { vm, incarnation };
  const sendTo = async (peer: VmId, news: CrashNews) => {
    try {
      const entries = await peers.getPeer(peer).noteSuspects({ from, ...news });
      quarantine.mergeNews(peer, { entries, reports: [], answers: [] });
    } catch (thrown) {
      // The next gossip sends it again.
      log.debug("suspects_not_told", { peer, error: toError(thrown).message });
    }
  };
  return SuspectGossip.create<VmId>({
    clock,
    random,
    listPeers: () =>
      membership.listEntryVms().map(({ id }) => id)
        .filter((id) => id !== vm && membership.isReachable(id)),
    send: (to, news) => to.forEach((peer) => void sendTo(peer, news)),
    listNews: (count) => quarantine.listNews(count),
  });
}
