/**
 * Times to notice a killed VM and to take over a shard that it owned.
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
const NOTICED_MS = 30_000;
const CALM_MS = 3_000;

/** What is measured, from the kill on. */
export interface LossFigures {
  /** Until the first other VM holds it for dead. */
  noticedFirst: Summary;
  /** Until all other VMs do. */
  noticedByAll: Summary;
  /** Until another VM has taken the engines' shard. */
  shardTaken: Summary;
  /** Until a request that was sent after the kill is answered. */
  firstAnswer: Summary;
  /** The longest wait among the requests sent after the kill. */
  longestWait: Summary;
  /** Of all requests sent after the kill to VMs that live. */
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
  const noticing = Promise.all(
    others.map((vm) => watchNoticed(vm, owner.id)),
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
  const noticed = await noticing;
  const taken = "event=shard_taken shard=engines/0";
  const [takenAt] = await waitForLogs([next], taken, killedAt);
  owner.start();
  await waitUntilReady(fleet.vms);
  await sleep(CALM_MS);
  const answered = ends.filter(({ isAnswered }) => isAnswered);
  return {
    noticedFirst: Math.min(...noticed),
    noticedByAll: Math.max(...noticed),
    shardTaken: takenAt! - killedAt,
    firstAnswer: Math.min(...answered.map(({ at }) => at)) - killedAt,
    longestWait: Math.max(...ends.map(({ waitMs }) => waitMs)),
    notAnswered: ends.length - answered.length,
  };
}

/** Time until `vm` holds `dead` for dead, to within a poll. */
async function watchNoticed(vm: ProcessVm, dead: string): Promise<number> {
  return await waitUntil(`${vm.id} to notice`, NOTICED_MS, async () => {
    const { members } = await vm.fetchStatus();
    return members.some(({ vm: id, state }) =>
      id === dead && state === "unreachable"
    );
  });
}

/** The owner of the engines' shard, and who is next, while all VMs live. */
function listOwners(fleet: ProcessFleet): [ProcessVm, ProcessVm] {
  const ids = fleet.vms.map(({ id }) => toId<VmId>(id));
  const [first, second] = computeRendezvousOrder(SHARD_KEY, ids);
  return [fleet.getVm(first!), fleet.getVm(second!)];
}
