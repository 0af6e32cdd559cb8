/**
 * Chooses the VMs that are told where a stream began, and asked for it.
 *
 * @module
 */
import type { DataCentre, StreamKey } from "../../ids.ts";
import { computeRendezvousOrder } from "../rendezvous.ts";
import { type FleetPeer, isSmallFleet } from "../seeded_fleet/index.ts";

/** VMs that are told in a large fleet. */
const HOLDERS = 4;
/** More are asked, since VMs may have joined or left meanwhile. */
const ASKED = 6;

/** The VMs to tell: all others of a small fleet. */
export function chooseHolders(
  key: StreamKey,
  peers: readonly FleetPeer[],
): readonly FleetPeer[] {
  return chooseFirst(key, peers, HOLDERS);
}

/** The VMs to ask: all others of a small fleet. */
export function chooseAsked(
  key: StreamKey,
  peers: readonly FleetPeer[],
): readonly FleetPeer[] {
  return chooseFirst(key, peers, ASKED);
}

/**
 * The first VMs in the key's order, one of each data centre before a second one:
 * a data centre may be lost as a whole.
 */
function chooseFirst(
  key: StreamKey,
  peers: readonly FleetPeer[],
  count: number,
): readonly FleetPeer[] {
  if (isSmallFleet(1 + peers.length)) return peers;
  const byVm = new Map(peers.map((peer) => [peer.heartbeat.vm, peer]));
  const order = computeRendezvousOrder(key, [...byVm.keys()])
    .map((vm) => byVm.get(vm)!);
  const seen = new Set<DataCentre>();
  const isFirstThere = ({ heartbeat: { dataCentre } }: FleetPeer) => {
    const isNew = !seen.has(dataCentre);
    seen.add(dataCentre);
    return isNew;
  };
  const firsts = order.filter(isFirstThere);
  const others = order.filter((peer) => !firsts.includes(peer));
  return [...firsts, ...others].slice(0, count);
}
