import { setTimeout as sleep } from "node:timers/promises";
import { beforeAll, expect, it } from "vitest";
import type { StandInCall } from "../../../standin/http_stand_in.ts";
import type { ReplicaStandIn } from "../../platform/replica_stand_in.ts";
import {
  buildDaemon,
  PlatformProcesses,
} from "../../support/platform_processes.ts";

const VMS = 4;
const BAD = "bad";
const SEND_GAP_MS = 300;
/** Requests with the part that may reach replicas in all. */
const MAX_REACHED = 8;
const TOKENS_PER_PART = 40;

/** Replicas that crash under one part, and are back under new ids. */
interface Pool {
  processes: PlatformProcesses;
  /** Time until a crashed replica is back. */
  returnMs: number;
  /** Time until the entry of a crashed replica is removed. */
  expiryMs: number;
  /** Time for which a crashed replica still accepts connections. */
  lingerMs: number;
}

function buildPrompt(parts: readonly string[], own: number) {
  const prefix = [...parts, `own-${own}`]
    .map((part) => `${part}:${TOKENS_PER_PART}`);
  return {
    "x-token-count": `${TOKENS_PER_PART * prefix.length},10`,
    "x-prompt-prefix": prefix.join(),
  };
}

function isBad({ headers }: StandInCall): boolean {
  return headers["x-prompt-prefix"]?.includes(`,${BAD}:`) ?? false;
}

function countReached({ processes }: Pool): number {
  return processes.replicas.flatMap(({ seen }) => seen.filter(isBad)).length;
}

function addPoison(pool: Pool, replica: ReplicaStandIn): void {
  replica.isPoison = isBad;
  replica.lingerMs = pool.lingerMs;
  replica.onCrash = () => void replaceReplica(pool, replica);
}

async function replaceReplica(
  pool: Pool,
  { id }: ReplicaStandIn,
): Promise<void> {
  const { processes, expiryMs, returnMs } = pool;
  const expire = async () => {
    await sleep(expiryMs);
    processes.store.remove(`servers/${id}`);
  };
  const restart = async () => {
    await sleep(returnMs);
    addPoison(pool, await processes.addReplica(`${id}n`));
  };
  await Promise.all([expire(), restart()]);
}

async function createPool(
  options: Omit<Pool, "processes"> & { replicas: number },
): Promise<Pool> {
  const processes = await PlatformProcesses.create();
  const pool = { processes, ...options };
  for (let index = 1; index <= options.replicas; index++) {
    addPoison(pool, await processes.addReplica(`i-${index}`));
  }
  await processes.addVms(VMS);
  return pool;
}

/** Sends requests with the part to the VMs in turn. */
async function sendBad({ processes }: Pool, requests: number): Promise<void> {
  const sent = Array.from({ length: requests }, async (_, index) => {
    await sleep(index * SEND_GAP_MS);
    const vm = processes.vms[index % VMS]!;
    const headers = buildPrompt([`first-${index % 3}`, BAD], index);
    await processes.send(vm, "/unsafe/x", { headers, body: `${index}` });
  });
  await Promise.all(sent);
}

/** Statuses of sound requests with the same first parts at all VMs. */
async function sendSound({ processes }: Pool): Promise<number[]> {
  const sent = processes.vms.map((vm, index) => {
    const headers = buildPrompt([`first-${index % 3}`], index);
    return processes.send(vm, "/safe/x", { headers });
  });
  return (await Promise.all(sent)).map(({ status }) => status);
}

beforeAll(buildDaemon);

// Guards against a crash that is taken for a lost connection, because the
// replica still accepts connections while it ends.
it("a part is held whose replicas stop listening last", async () => {
  const pool = await createPool({
    replicas: 6,
    returnMs: 2_000,
    expiryMs: 600,
    lingerMs: 60,
  });
  await sendBad(pool, 30);
  expect(countReached(pool)).toBeLessThanOrEqual(MAX_REACHED);
  expect(await sendSound(pool)).toEqual(new Array(VMS).fill(200));
});

// Guards against crashes that count for nothing, because no other replica of the
// pool is up and a VM takes its own links for lost.
it("a part is held that crashes a pool's last replicas", async () => {
  const pool = await createPool({
    replicas: 2,
    returnMs: 1_500,
    expiryMs: 3_000,
    lingerMs: 0,
  });
  await sendBad(pool, 40);
  expect(countReached(pool)).toBeLessThanOrEqual(MAX_REACHED);
  expect(await sendSound(pool)).toEqual(new Array(VMS).fill(200));
});
