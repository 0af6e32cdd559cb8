/**
 * Quarantine of requests that crash replicas.
 *
 * @module
 */
export { type SuspectEntry } from "./crash_evidence.ts";
export { createPeerSuspectGossip } from "./peer_suspect_gossip.ts";
export { RequestQuarantine } from "./request_quarantine.ts";
export { SuspectGossip } from "./suspect_gossip.ts";
