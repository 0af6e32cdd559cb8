/**
 * Measures the time from the publication of a configuration until it is
 * active on all VMs.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../../src/process/random.ts";
import { runWithFleet } from "./bench_fleet.ts";
import { computeSummary, type Summary } from "./summary.ts";
import { waitForLogs } from "./vm_log.ts";

const SEED = 31;
const MAX_GAP_MS = 600;
/** Number of VMs that reach the service in the second measurement. */
const REMAINING_READERS = 2;

/** Figures of the changes. */
export interface ChangeFigures {
  serviceUp: Summary;
  /** Only two VMs reach the service. */
  twoReaders: Summary;
  /** Calls at the service per second; a watch counts once. */
  callsPerSecond: { serviceUp: number; twoReaders: number };
}

/**
 * Publishes `count` changes with the service up, and `count` with two readers.
 */
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
      for (const vm of fleet.vms.slice(REMAINING_READERS)) {
        const relay = fleet.relays.get(`platform:${vm.id}`)!;
        relay.setModeOfNew("refuse");
        relay.destroyOpen();
      }
      await sleep(MAX_GAP_MS);
    }
    const times: number[] = [];
    const callsBefore = fleet.platform.core.calls;
    const startedAt = Date.now();
    for (let index = 0; index < count; index++) {
      await sleep(random.next() * MAX_GAP_MS);
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
