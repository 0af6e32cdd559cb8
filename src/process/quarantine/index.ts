/**
 * Requests that crash replicas, and how they are kept from them.
 *
 * @module
 */
export { type SuspectEntry } from "./crash_evidence.ts";
export { RequestQuarantine } from "./request_quarantine.ts";
