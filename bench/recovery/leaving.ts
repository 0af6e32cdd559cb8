/**
 * Time until an engine that leaves gets no new work.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type CallResult, sendChat } from "../../test/support/process_calls.ts";
import type { ProcessFleet } from "../../test/support/process_fleet.ts";
import { runWithFleet } from "./bench_fleet.ts";
import { computeSummary, type Summary } from "./summary.ts";

const REQUEST_EVERY_MS = 10;
const WATCHED_MS = 4_000;
const BACK_MS = 6_000;
const POLL_MS = 5;

/** From the word that it leaves to the last new request that it got. */
export interface LeavingFigures {
  byList: Summary;
  byOwnWord: Summary;
  requests: number;
  notAnswered: number;
}

/** Lets an engine leave `trials` times in each of the two ways. */
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
  while (performance.now() - leftAt < WATCHED_MS) {
    const now = core.listRequestIds().length;
    if (now > count) lastNewAt = performance.now();
    count = now;
    await sleep(POLL_MS);
  }
  setLeaving(false);
  await sleep(BACK_MS);
  return lastNewAt - leftAt;
}

function startLoad(fleet: ProcessFleet) {
  const sent: Promise<CallResult>[] = [];
  let isOver = false;
  const done = (async () => {
    for (let index = 0; !isOver; index++) {
      const { port } = fleet.vms[index % fleet.vms.length]!;
      sent.push(sendChat(port, { tokens: 5, name: `leaving-${index}` }));
      await sleep(REQUEST_EVERY_MS);
    }
  })();
  return {
    stop: async () => {
      isOver = true;
      await done;
      return await Promise.all(sent);
    },
  };
}
