/**
 * Requests that crash replicas, and how they are kept from them.
 *
 * @module
 */
export { type SuspectEntry } from "./crash_evidence.ts";
export { createPeerSuspectGossip as createPeerSuspectNews } from "./peer_suspect_gossip.ts";
export { RequestQuarantine } from "./request_quarantine.ts";
export { SuspectGossip as SuspectNews } from "./suspect_gossip.ts";
