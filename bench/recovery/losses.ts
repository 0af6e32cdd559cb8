/**
 * Measures the time to detect a killed VM and to take over a shard that it
 * owned.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { toId, type VmId } from "../../src/ids.ts";
import { computeRendezvousOrder } from "../../src/process/rendezvous.ts";
import { sendChat } from "../../test/support/process_calls.ts";
import {
  type ProcessFleet,
  waitUntil,
  waitUntilReady,
} from "../../test/support/process_fleet.ts";
import type { ProcessVm } from "../../test/support/process_vm.ts";
import { runWithFleet } from "./bench_fleet.ts";
import { computeSummary, type Summary } from "./summary.ts";
import { waitForLogs } from "./vm_log.ts";

const SHARD_KEY = "shard:engines/0";
const REQUEST_EVERY_MS = 50;
const REQUESTS = 120;
const DETECTION_TIMEOUT_MS = 30_000;
const SETTLE_MS = 3_000;

/** Figures of the losses; times are relative to the kill. */
export interface LossFigures {
  /** Time until the first other VM considers it unreachable. */
  noticedFirst: Summary;
  /** Time until all other VMs consider it unreachable. */
  noticedByAll: Summary;
  /** Time until another VM has taken over the engines' shard. */
  shardTaken: Summary;
  /** Time until a request sent after the kill is answered. */
  firstAnswer: Summary;
  /** Longest wait of the requests sent after the kill. */
  longestWait: Summary;
  /** Requests sent after the kill to the remaining VMs. */
  requests: number;
  notAnswered: number;
}

/** Kills the owner of the engines' shard `trials` times. */
export async function runLosses(trials: number): Promise<LossFigures> {
  return await runWithFleet({}, async (fleet) => {
    const found: LossTimes[] = [];
    for (let index = 0; index < trials; index++) {
      found.push(await runLoss(fleet, index));
    }
    const collect = (key: keyof LossTimes) =>
      computeSummary(found.map((times) => times[key]));
    return {
      noticedFirst: collect("noticedFirst"),
      noticedByAll: collect("noticedByAll"),
      shardTaken: collect("shardTaken"),
      firstAnswer: collect("firstAnswer"),
      longestWait: collect("longestWait"),
      requests: trials * REQUESTS,
      notAnswered: found.reduce((sum, times) => sum + times.notAnswered, 0),
    };
  });
}

interface LossTimes {
  noticedFirst: number;
  noticedByAll: number;
  shardTaken: number;
  firstAnswer: number;
  longestWait: number;
  notAnswered: number;
}

async function runLoss(
  fleet: ProcessFleet,
  trial: number,
): Promise<LossTimes> {
  const [owner, next] = listOwners(fleet);
  const others = fleet.vms.filter((vm) => vm !== owner);
  const killedAt = Date.now();
  void owner.destroy();
  const detections = Promise.all(
    others.map((vm) => waitForDetection(vm, owner.id)),
  );
  const ends: { at: number; waitMs: number; isAnswered: boolean }[] = [];
  const sent: Promise<void>[] = [];
  for (let index = 0; index < REQUESTS; index++) {
    const { port } = others[index % others.length]!;
    const sentAt = Date.now();
    const name = `loss-${trial}-${index}`;
    sent.push(
      sendChat(port, { tokens: 3, name }).then(({ outcome }) => {
        const at = Date.now();
        const isAnswered = outcome.kind === "answered";
        ends.push({ at, waitMs: at - sentAt, isAnswered });
      }),
    );
    await sleep(REQUEST_EVERY_MS);
  }
  await Promise.all(sent);
  const detectedMs = await detections;
  const taken = "event=shard_taken shard=engines/0";
  const [takenAt] = await waitForLogs([next], taken, killedAt);
  owner.start();
  await waitUntilReady(fleet.vms);
  await sleep(SETTLE_MS);
  const answered = ends.filter(({ isAnswered }) => isAnswered);
  return {
    noticedFirst: Math.min(...detectedMs),
    noticedByAll: Math.max(...detectedMs),
    shardTaken: takenAt! - killedAt,
    firstAnswer: Math.min(...answered.map(({ at }) => at)) - killedAt,
    longestWait: Math.max(...ends.map(({ waitMs }) => waitMs)),
    notAnswered: ends.length - answered.length,
  };
}

/**
 * Returns the time until `vm` considers `dead` unreachable, to within one poll.
 */
async function waitForDetection(vm: ProcessVm, dead: string): Promise<number> {
  return await waitUntil(
    `${vm.id} to detect the loss`,
    DETECTION_TIMEOUT_MS,
    async () => {
      const { members } = await vm.fetchStatus();
      return members.some(({ vm: id, state }) =>
        id === dead && state === "unreachable"
      );
    },
  );
}

/**
 * Returns the owner of the engines' shard and its successor, while all VMs are
 * live.
 */
function listOwners(fleet: ProcessFleet): [ProcessVm, ProcessVm] {
  const ids = fleet.vms.map(({ id }) => toId<VmId>(id));
  const [first, second] = computeRendezvousOrder(SHARD_KEY, ids);
  return [fleet.getVm(first!), fleet.getVm(second!)];
}
