/**
 * Reads when something happened on a VM from its log. All VMs and the bench
 * run on one machine, so their wall clocks are one clock.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { ProcessVm } from "../../test/support/process_vm.ts";

const POLL_MS = 100;
const WAIT_MS = 30_000;
const LINE_TIME = /^time=(\S+) /;

/** Wall time of the first line with `text` at `sinceMs` or later. */
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

/** Waits until each VM has logged `text`; gives the wall times. */
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
  throw new Error(`Not every VM logged "${text}"`);
}
