/**
 * Slopes of a shard owner's cost per waiter, lease, replica and summary.
 *
 * @module
 */
import type { ShardId } from "../../src/ids.ts";
import { toId } from "../../src/ids.ts";
import type { AcquireCall, LeaseUpdate } from "../../src/process/peer_api.ts";
import { buildShardId } from "../../src/process/scheduler/index.ts";
import {
  buildCall,
  buildClass,
  buildPool,
  buildReport,
  createOwnerHarness,
  type OwnerHarness,
} from "../../test/process/scheduler/fixtures.ts";
import {
  collectSlope,
  countHeap,
  countProcessorTime,
  type Slope,
} from "./slope.ts";

const WAITERS = [256, 512, 1_024, 2_048];
const REPLICAS = [4, 8, 16, 32];
const SLOTS_PER_REPLICA = 16;
const HOLDERS = 64;
const TIERS = ["gold", "silver", "bronze"];
const CLASSES = 5;
const WORKSPACES = 200;
const QUEUE_LIMIT = 100_000;
const GRANTS = 1_000;
const SECONDS = 6;
const RENEW_EVERY_MS = 1_500;
const STEP_MS = 100;
const MS_PER_SECOND = 1_000;
const SUMMARIES = 2_000;
const SHARD: ShardId = buildShardId(toId("pool"), 0);

/** Measures the owner of one shard. */
export async function collectShardSlopes(): Promise<Slope[]> {
  return [
    await collectSlope("owner, a grant: processor", WAITERS, {
      size: "waiters",
      unit: "µs for an acquire, a grant and a return",
      count: countGrants,
    }),
    await collectSlope("owner, waiters: heap", WAITERS, {
      size: "waiters",
      unit: "KiB",
      count: countWaitersHeap,
    }),
    await collectSlope("owner, waiters: processor", WAITERS, {
      size: "waiters",
      unit: "µs a second, without any call",
      count: countWaiting,
    }),
    await collectSlope("owner, leases: processor", REPLICAS, {
      size: "replicas with 16 leases each",
      unit: "µs a second, with a renewal of each lease in 1.5 s",
      count: countRenewals,
    }),
    await collectSlope("owner, leases: heap", REPLICAS, {
      size: "replicas with 16 leases each",
      unit: "KiB",
      count: (replicas) => countHeap(() => createLeased(replicas)),
    }),
    await collectSlope("owner, reports: processor", REPLICAS, {
      size: "replicas",
      unit: "µs for a report of each",
      count: countReports,
    }),
    await collectSlope("owner, summary: processor", WAITERS, {
      size: "waiters",
      unit: "µs a summary",
      count: countSummaries,
    }),
  ];
}

async function countGrants(waiters: number): Promise<number> {
  const bench = await createWaiting(waiters);
  return await countProcessorTime(GRANTS, async (count) => {
    for (let index = 0; index < count; index++) {
      const ticket = bench.granted.at(-1)!;
      const update = bench.leases.get(ticket)!;
      bench.leases.delete(ticket);
      bench.owner.syncLeases({
        from: { vm: toId("entry-1"), incarnation: toId("1") },
        shard: SHARD,
        news: [{ ...update, state: "done", tokens: 300 }],
        withdrawn: [],
      });
      bench.acquire(buildAcquireCall(index));
      await Promise.resolve();
      await bench.clock.run(0);
    }
  });
}

function countWaitersHeap(waiters: number): Promise<number> {
  return countHeap(() => createWaiting(waiters));
}

async function countWaiting(waiters: number): Promise<number> {
  const bench = await createWaiting(waiters);
  return await countProcessorTime(SECONDS, async () => {
    for (let ms = 0; ms < SECONDS * MS_PER_SECOND; ms += STEP_MS) {
      if (ms % MS_PER_SECOND === 0) sendRenewals(bench, 0);
      await bench.clock.run(STEP_MS);
    }
  });
}

async function countRenewals(replicas: number): Promise<number> {
  const bench = await createLeased(replicas);
  let ms = 0;
  return await countProcessorTime(SECONDS, async () => {
    for (let step = 0; step < SECONDS * MS_PER_SECOND / STEP_MS; step++) {
      // Each holder renews once per 1.5 s; the holders are spread over the
      // steps.
      const part = ms % RENEW_EVERY_MS / STEP_MS;
      sendRenewals(bench, part, RENEW_EVERY_MS / STEP_MS);
      await bench.clock.run(STEP_MS);
      ms += STEP_MS;
    }
  });
}

async function countReports(replicas: number): Promise<number> {
  const bench = await createLeased(replicas);
  const report = buildReport({ running: SLOTS_PER_REPLICA });
  const rounds = 1_000;
  return await countProcessorTime(rounds, (count) => {
    for (let round = 0; round < count; round++) {
      for (const { id } of bench.upstreams) {
        bench.owner.applyLoadReport(id, report, 0);
      }
    }
  });
}

async function countSummaries(waiters: number): Promise<number> {
  const bench = await createWaiting(waiters);
  return await countProcessorTime(SUMMARIES, (count) => {
    for (let index = 0; index < count; index++) bench.owner.buildSummary();
  });
}

/** Renews the leases of the holders whose number is `part` modulo `of`. */
function sendRenewals(bench: OwnerHarness, part: number, of = 1): void {
  const byHolder = new Map<string, LeaseUpdate[]>();
  for (const [ticket, update] of bench.leases) {
    const holder = getHolder(ticket);
    if (holder % of !== part) continue;
    const vm = `entry-${holder}`;
    byHolder.set(vm, [...byHolder.get(vm) ?? [], buildRunningUpdate(update)]);
  }
  for (const [vm, updates] of byHolder) {
    bench.owner.syncLeases({
      from: { vm: toId(vm), incarnation: toId("1") },
      shard: SHARD,
      news: updates,
      withdrawn: [],
    });
  }
}

function buildRunningUpdate(update: LeaseUpdate): LeaseUpdate {
  return {
    ...update,
    state: "running",
    tokens: 100,
    firstTokenMs: 300,
    betweenTokensMs: 30,
  };
}

/**
 * Creates an owner of 16 replicas without free slots and with `waiters` queued
 * requests.
 */
async function createWaiting(waiters: number): Promise<OwnerHarness> {
  const bench = await createOwner(16);
  await takeSlots(bench, 16 * SLOTS_PER_REPLICA);
  for (let index = 0; index < waiters; index++) {
    bench.acquire(buildAcquireCall(index));
  }
  await bench.clock.run(0);
  if (bench.owner.waitingCount !== waiters) {
    throw new Error(
      `${bench.owner.waitingCount} requests are queued, expected ${waiters}`,
    );
  }
  return bench;
}

async function createLeased(replicas: number): Promise<OwnerHarness> {
  const bench = await createOwner(replicas);
  await takeSlots(bench, replicas * SLOTS_PER_REPLICA);
  return bench;
}

async function takeSlots(bench: OwnerHarness, slots: number): Promise<void> {
  for (let index = 0; index < slots; index++) {
    bench.acquire(buildAcquireCall(index));
  }
  await bench.clock.run(0);
  if (bench.leases.size !== slots) {
    throw new Error(
      `${bench.leases.size} leases were granted, expected ${slots}`,
    );
  }
}

function createOwner(replicas: number): Promise<OwnerHarness> {
  const slots = {
    initial: SLOTS_PER_REPLICA,
    min: SLOTS_PER_REPLICA,
    max: SLOTS_PER_REPLICA,
  };
  return createOwnerHarness({
    classes: Array.from(
      { length: CLASSES },
      (_, index) =>
        buildClass(`class-${index}`, {
          tier: toId(TIERS[index % TIERS.length]!),
          queueLimit: QUEUE_LIMIT,
          targets: {
            firstTokenMs: 100_000,
            betweenTokensMs: 1_000,
            totalMs: 10_000_000,
          },
        }),
    ),
    pool: buildPool({ slots }),
    replicas,
  });
}

function buildAcquireCall(index: number): AcquireCall {
  const call = buildCall(`class-${index % CLASSES}`, {
    workspace: toId(`workspace-${index % WORKSPACES}`),
    prefixes: [`a${index % 50}`, `b${index % 50}`, `c${index}`],
    deadlineInMs: 10_000_000,
    holdMs: 9_000_000,
    promptTokens: 1_200,
    maxTokens: 1_024,
  });
  const vm = toId<AcquireCall["from"]["vm"]>(
    `entry-${getHolder(call.ticket)}`,
  );
  return { ...call, from: { ...call.from, vm } };
}

function getHolder(ticket: string): number {
  return Number(ticket.slice(ticket.lastIndexOf("-") + 1)) % HOLDERS;
}
