/**
 * Quarantine of requests that crash replicas.
 *
 * @module
 */
export { createPeerSuspectGossip } from "./peer_suspect_gossip.ts";
export { RequestQuarantine } from "./request_quarantine.ts";
export type { SuspectEntry } from "./suspect_entry.ts";
export { SuspectGossip } from "./suspect_gossip.ts";
