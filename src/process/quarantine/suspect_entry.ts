/**
 * What VMs tell each other of requests under which replicas crashed.
 *
 * @module
 */
import type { Incarnation, RequestFingerprint } from "../../ids.ts";

/** Evidence against one request; ages are in milliseconds. */
export type SuspectEntry = [
  fingerprint: RequestFingerprint,
  crashes: [replica: Incarnation, ageMs: number, hadOutput: boolean][],
  /** Time since its last complete answer; -1 for never. */
  answeredAgeMs: number,
];
