/**
 * Callers that send at a steady pace, for tests.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { TestAnswer } from "./test_call.ts";
import { sendRequest, type TestVm } from "./platform_fleet.ts";

const SEND_EVERY_MS = 20;

/** Sends at one VM after the other for `ms`; gives the answers. */
export async function sendFor(
  vms: readonly TestVm[],
  ms: number,
): Promise<TestAnswer[]> {
  const answers: Promise<TestAnswer>[] = [];
  const until = performance.now() + ms;
  for (let sent = 0; performance.now() < until; sent++) {
    const vm = vms[sent % vms.length]!;
    answers.push(sendRequest(vm, { path: "/safe/x" }));
    await sleep(SEND_EVERY_MS);
  }
  return await Promise.all(answers);
}
