/**
 * Requests that crash replicas, and how they are kept from them.
 *
 * @module
 */
export { type SuspectEntry } from "./crash_ledger.ts";
export { RequestQuarantine } from "./request_quarantine.ts";
