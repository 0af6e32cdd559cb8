/**
 * Requests that crash replicas, and how they are kept from them.
 *
 * @module
 */
export { type SuspectEntry } from "./crash_evidence.ts";
export { createPeerSuspectNews } from "./peer_suspect_news.ts";
export { RequestQuarantine } from "./request_quarantine.ts";
export { SuspectNews } from "./suspect_news.ts";
