/**
 * Quarantine of requests that crash replicas.
 *
 * @module
 */
export { NewsQueries } from "./news_queries.ts";
export { createPeerSuspectGossip } from "./peer_suspect_gossip.ts";
export { RequestQuarantine } from "./request_quarantine.ts";
export {
  type CrashNews,
  type CrashReport,
  isEmptyNews,
  type PartAnswer,
  type SuspectEntry,
} from "./suspect_entry.ts";
export { SuspectGossip } from "./suspect_gossip.ts";
