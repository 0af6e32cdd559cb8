/**
 * Measures the time until a leaving engine receives no new work.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type CallResult, sendChat } from "../../test/support/process_calls.ts";
import type { ProcessFleet } from "../../test/support/process_fleet.ts";
import { runWithFleet } from "./bench_fleet.ts";
import { computeSummary, type Summary } from "./summary.ts";

const REQUEST_EVERY_MS = 10;
const OBSERVATION_MS = 4_000;
const RETURN_MS = 6_000;
const POLL_MS = 5;

/**
 * Times from the announcement that an engine leaves, by the membership list or
 * by its own notice, to the last new request at the engine.
 */
export interface LeavingFigures {
  byList: Summary;
  byOwnWord: Summary;
  requests: number;
  notAnswered: number;
}

/**
 * Makes an engine leave `trials` times by the membership list and `trials`
 * times by its own notice.
 */
export async function runLeaving(trials: number): Promise<LeavingFigures> {
  return await runWithFleet({}, async (fleet) => {
    const load = startLoad(fleet);
    const byList: number[] = [];
    const byOwnWord: number[] = [];
    for (let index = 0; index < trials; index++) {
      byList.push(
        await watchLeaving(fleet, (isLeaving) => {
          const state = isLeaving ? "leaving" : "live";
          fleet.announceStates({ "engine-1": state });
        }),
      );
      byOwnWord.push(
        await watchLeaving(fleet, (isLeaving) => {
          fleet.engines[0]!.core.setLeaving(isLeaving);
        }),
      );
    }
    const ended = await load.stop();
    return {
      byList: computeSummary(byList),
      byOwnWord: computeSummary(byOwnWord),
      requests: ended.length,
      notAnswered: ended
        .filter(({ outcome }) => outcome.kind !== "answered").length,
    };
  });
}

async function watchLeaving(
  fleet: ProcessFleet,
  setLeaving: (isLeaving: boolean) => void,
): Promise<number> {
  const { core } = fleet.engines[0]!;
  const leftAt = performance.now();
  setLeaving(true);
  let count = core.listRequestIds().length;
  let lastNewAt = leftAt;
  while (performance.now() - leftAt < OBSERVATION_MS) {
    const now = core.listRequestIds().length;
    if (now > count) lastNewAt = performance.now();
    count = now;
    await sleep(POLL_MS);
  }
  setLeaving(false);
  await sleep(RETURN_MS);
  return lastNewAt - leftAt;
}

function startLoad(fleet: ProcessFleet) {
  const sent: Promise<CallResult>[] = [];
  let isStopped = false;
  const done = (async () => {
    for (let index = 0; !isStopped; index++) {
      const { port } = fleet.vms[index % fleet.vms.length]!;
      sent.push(sendChat(port, { tokens: 5, name: `leaving-${index}` }));
      await sleep(REQUEST_EVERY_MS);
    }
  })();
  return {
    stop: async () => {
      isStopped = true;
      await done;
      return await Promise.all(sent);
    },
  };
}
