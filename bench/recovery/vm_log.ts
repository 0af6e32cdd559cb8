/**
 * Reads the times of events from the logs of VMs. All VMs and the benchmark run
 * on one machine and share its wall clock.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { ProcessVm } from "../../test/support/process_vm.ts";

const POLL_MS = 100;
const WAIT_MS = 30_000;
const LINE_TIME = /^time=(\S+) /;

/**
 * Returns the wall time of the first line with `text` at `sinceMs` or later.
 */
function findLogTime(
  vm: ProcessVm,
  text: string,
  sinceMs: number,
): number | undefined {
  for (const line of vm.readLog().split("\n")) {
    if (!line.includes(text)) continue;
    const at = Date.parse(LINE_TIME.exec(line)?.[1] ?? "");
    if (at >= sinceMs) return at;
  }
  return undefined;
}

/** Waits until each VM has logged `text` and returns the wall times. */
export async function waitForLogs(
  vms: readonly ProcessVm[],
  text: string,
  sinceMs: number,
): Promise<number[]> {
  const endsAt = Date.now() + WAIT_MS;
  while (Date.now() < endsAt) {
    const times = vms.map((vm) => findLogTime(vm, text, sinceMs));
    if (times.every((time) => time !== undefined)) return times as number[];
    await sleep(POLL_MS);
  }
  throw new Error(`Not every VM logged "${text}" in time`);
}
