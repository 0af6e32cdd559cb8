/**
 * Reads the resource usage of a process from `/proc`.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** Clock ticks per second in `/proc/PID/stat`, the same on every Linux. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Returns the processor time of a process so far, in milliseconds. */
export function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  return ticks * 1_000 / TICKS_PER_SECOND;
}

/** Returns the resident memory of a process, in bytes. */
export function readResidentBytes(pid: number): number {
  const statm = readFileSync(`/proc/${pid}/statm`, "utf8").split(" ");
  return Number(statm[1]) * PAGE_BYTES;
}
