/**
 * Requests at a steady rate, for tests.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { TestAnswer } from "./test_call.ts";
import { sendRequest, type TestVm } from "./platform_fleet.ts";

const SEND_INTERVAL_MS = 20;

/** Sends requests to the VMs in turn for `ms`; resolves to the answers. */
export async function sendFor(
  vms: readonly TestVm[],
  ms: number,
): Promise<TestAnswer[]> {
  const answers: Promise<TestAnswer>[] = [];
  const until = performance.now() + ms;
  for (let sent = 0; performance.now() < until; sent++) {
    const vm = vms[sent % vms.length]!;
    answers.push(sendRequest(vm, { path: "/safe/x" }));
    await sleep(SEND_INTERVAL_MS);
  }
  return await Promise.all(answers);
}
