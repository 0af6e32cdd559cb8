/**
 * Time from the publication of a configuration to its being in force on the
 * last VM.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../../src/process/random.ts";
import { runWithFleet } from "./bench_fleet.ts";
import { computeSummary, type Summary } from "./summary.ts";
import { waitForLogs } from "./vm_log.ts";

const SEED = 31;
const LONGEST_GAP_MS = 600;
/** VMs that still reach the service in the second measurement. */
const READERS_LEFT = 2;

/** What is measured. */
export interface ChangeFigures {
  serviceUp: Summary;
  /** The service is down for all VMs but two. */
  twoReaders: Summary;
  /** Calls that the service counted, waiting watches too, a second. */
  callsPerSecond: { serviceUp: number; twoReaders: number };
}

/** Publishes `count` changes in each of the two states of the service. */
export async function runChanges(count: number): Promise<ChangeFigures> {
  const up = await runChangesWith(count, false);
  const two = await runChangesWith(count, true);
  return {
    serviceUp: up.summary,
    twoReaders: two.summary,
    callsPerSecond: {
      serviceUp: up.callsPerSecond,
      twoReaders: two.callsPerSecond,
    },
  };
}

async function runChangesWith(count: number, isDownForMost: boolean) {
  const random = SeededRandom.create(SEED);
  return await runWithFleet({ relays: ["platform"] }, async (fleet) => {
    if (isDownForMost) {
      for (const vm of fleet.vms.slice(READERS_LEFT)) {
        const relay = fleet.relays.get(`platform:${vm.id}`)!;
        relay.setModeOfNew("refuse");
        relay.destroyOpen();
      }
      await sleep(LONGEST_GAP_MS);
    }
    const times: number[] = [];
    const callsBefore = fleet.platform.core.calls;
    const startedAt = Date.now();
    for (let index = 0; index < count; index++) {
      await sleep(random.next() * LONGEST_GAP_MS);
      const publishedAt = Date.now();
      const version = fleet.announceRecords({
        requestsPerMinute: 900_000 + index,
      });
      const accepted = await waitForLogs(
        fleet.vms,
        `event=configuration_accepted version=${version} `,
        publishedAt,
      );
      times.push(Math.max(...accepted) - publishedAt);
    }
    const seconds = (Date.now() - startedAt) / 1_000;
    const calls = fleet.platform.core.calls - callsBefore;
    return {
      summary: computeSummary(times),
      callsPerSecond: calls / seconds,
    };
  });
}
