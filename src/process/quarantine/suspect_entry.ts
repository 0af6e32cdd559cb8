/**
 * What VMs tell each other of requests and prompt parts under which replicas
 * crashed. Ages are in milliseconds.
 *
 * @module
 */
import type {
  Incarnation,
  PartKey,
  PoolName,
  RequestFingerprint,
} from "../../ids.ts";

/** Evidence against one request. */
export type SuspectEntry = [
  fingerprint: RequestFingerprint,
  crashes: [replica: Incarnation, ageMs: number, hadOutput: boolean][],
  /** Time since its last complete answer; -1 for never. */
  answeredAgeMs: number,
];

/** A request that was cut off by the crash of its replica. */
export type CrashReport = [
  replica: Incarnation,
  /** Time since the crash. */
  ageMs: number,
  /** Time since the request was sent to the replica. */
  sentAgeMs: number,
  pool: PoolName,
  /** The shared parts of its prompt. */
  parts: PartKey[],
  request: RequestFingerprint,
  /** Replicas of the pool that took new work. */
  replicas: number,
];

/** The last complete answer to a request with a part. */
export type PartAnswer = [
  part: PartKey,
  /** Time since the answer began. */
  ageMs: number,
];

/** Evidence of one VM, for others. */
export interface CrashNews {
  entries: SuspectEntry[];
  reports: CrashReport[];
  answers: PartAnswer[];
}

/** Whether there is nothing to tell. */
export function isEmptyNews({ entries, reports, answers }: CrashNews): boolean {
  return entries.length + reports.length + answers.length === 0;
}
