/**
 * Slopes of the per-request stores of a VM: request status, answers, execution
 * claims and figures.
 *
 * @module
 */
import { type RequestId, toId } from "../../src/ids.ts";
import { AnswerStore } from "../../src/process/answer_store.ts";
import type { Environment } from "../../src/process/environment.ts";
import { RequestStatusStore } from "../../src/process/request_status_store.ts";
import { SilentLog } from "../../src/process/log.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { ProcessMetrics } from "../../src/process/request_metrics.ts";
import { ProcessExecutionClaims } from "../../src/process/execution_claims.ts";
import type { FinishedRequest } from "../../src/process/services.ts";
import type { RequestStep } from "../../src/request/request_status.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import {
  collectSlope,
  countHeap,
  countProcessorTime,
  type Slope,
} from "./slope.ts";

const RECORDS = [2_500, 5_000, 10_000, 20_000];
const ANSWERS = [500, 1_000, 2_000, 4_000];
const CLAIMS = [6_250, 12_500, 25_000, 50_000];
const ENTRIES = [125, 250, 500, 1_000];
const ANSWER_BYTES = 4_096;
const CLASSES = 5;
const FINISHED = 5_000;
const UNLIMITED_BYTES = 2 ** 40;
const STEPS: readonly RequestStep["step"][] = [
  "arrived",
  "queued",
  "granted",
  "sent",
  "first_token",
  "answered",
];

/** Measures the stores of one VM. */
export async function collectStoreSlopes(): Promise<Slope[]> {
  return [
    await collectSlope("fate store: heap", RECORDS, {
      size: "records with 6 steps",
      unit: "KiB",
      count: (records) => countHeap(() => buildStatusStore(records)),
    }),
    await collectSlope("answer store: heap", ANSWERS, {
      size: "answers of 4 KiB",
      unit: "KiB",
      count: (answers) => countHeap(() => buildAnswers(answers)),
    }),
    await collectSlope("run claims: heap", CLAIMS, {
      size: "claims",
      unit: "KiB",
      count: (claims) => countHeap(() => buildClaims(claims)),
    }),
    await collectSlope("run claims: processor", CLAIMS, {
      size: "claims held",
      unit: "µs to issue, claim and settle at the same VM",
      count: countClaims,
    }),
    await collectSlope("figures: heap", ENTRIES, {
      size: "classes of workspaces",
      unit: "KiB",
      count: (entries) => countHeap(() => buildMetrics(entries)),
    }),
    await collectSlope("figures: processor", ENTRIES, {
      size: "classes of workspaces",
      unit: "µs a finished request",
      count: countFinished,
    }),
    await collectSlope("figures: collecting", ENTRIES, {
      size: "classes of workspaces",
      unit: "µs for a burn report's answer",
      count: countCollecting,
    }),
    await collectSlope("figures: bytes", ENTRIES, {
      size: "classes of workspaces",
      unit: "bytes of a burn report's answer",
      count: (entries) =>
        JSON.stringify(buildMetrics(entries).collectSeries()).length,
    }),
  ];
}

function buildStatusStore(count: number): RequestStatusStore {
  const store = RequestStatusStore.create({
    maxRecords: count,
    maxBytes: UNLIMITED_BYTES,
  });
  for (let index = 0; index < count; index++) {
    const requestId = buildId(index);
    store.start({
      requestId,
      vm: toId("entry-217"),
      workspace: toId(`workspace-${index % 100}`),
      className: toId(`class-${index % CLASSES}`),
      arrivedAt: "2026-12-02T18:55:18.000Z",
      configVersion: 1_234,
      outcome: "running",
      code: undefined,
      tokens: 0,
      steps: [],
      droppedSteps: 0,
    });
    for (const step of STEPS) {
      store.note(requestId, {
        step,
        ageMs: index + 0.5,
        peer: toId("engine-1482"),
        detail: `12 ahead in models-3/12, expected wait ${index} ms`,
      });
    }
    store.end(requestId, { outcome: "answered", code: undefined, tokens: 300 });
  }
  return store;
}

function buildAnswers(count: number): AnswerStore {
  const store = AnswerStore.create({ maxBytes: UNLIMITED_BYTES });
  for (let index = 0; index < count; index++) {
    const body = Buffer.alloc(ANSWER_BYTES, index % 251);
    store.put(buildId(index), {
      status: 200,
      headers: { "content-type": "application/json" },
      bodyBase64: body.toString("base64"),
    });
  }
  return store;
}

async function buildClaims(count: number): Promise<ProcessExecutionClaims> {
  const claims = ProcessExecutionClaims.create(createEnvironment(), {
    maxClaims: count,
  });
  for (let index = 0; index < count; index++) await runClaim(claims);
  return claims;
}

async function countClaims(held: number): Promise<number> {
  const claims = await buildClaims(held);
  return await countProcessorTime(FINISHED, async (count) => {
    for (let index = 0; index < count; index++) await runClaim(claims);
  });
}

async function runClaim(claims: ProcessExecutionClaims): Promise<void> {
  const id = claims.issueId();
  await claims.claimExecution(id);
  claims.settleExecution(id, "answered");
}

function buildMetrics(entries: number): ProcessMetrics {
  const metrics = ProcessMetrics.create(VirtualClock.create());
  for (let round = 0; round < 20; round++) {
    for (let index = 0; index < entries; index++) {
      metrics.noteFinished(buildFinished(index, round));
    }
  }
  return metrics;
}

function countFinished(entries: number): Promise<number> {
  const metrics = buildMetrics(entries);
  return countProcessorTime(FINISHED, (count) => {
    for (let index = 0; index < count; index++) {
      metrics.noteFinished(buildFinished(index % entries, index));
    }
  });
}

function countCollecting(entries: number): Promise<number> {
  const metrics = buildMetrics(entries);
  return countProcessorTime(1, (count) => {
    for (let index = 0; index < count; index++) {
      JSON.stringify(metrics.collectSeries());
    }
  });
}

function buildFinished(entry: number, round: number): FinishedRequest {
  return {
    requestId: buildId(round),
    workspace: toId(`workspace-${Math.floor(entry / CLASSES)}`),
    className: toId(`class-${entry % CLASSES}`),
    pool: toId("models-3"),
    upstream: toId(`engine-${round % 40}`),
    result: round % 10 === 0 ? "late" : "met",
    step: "queue",
    firstTokenMs: 300 + round % 997,
    betweenTokensMs: 20 + round % 31,
    totalMs: 9_000 + round % 4_999,
    tokens: 300,
    wastedTokens: 0,
  };
}

function buildId(index: number): RequestId {
  return toId<RequestId>(
    `entry-217.9f86d081884c7d65.${index}.1a2b3c4d.0f3a9c1bd2e45f60`,
  );
}

function createEnvironment(): Environment {
  return {
    vm: toId("entry-217"),
    incarnation: toId("9f86d081884c7d65"),
    dataCentre: toId("dc-0"),
    clock: VirtualClock.create(),
    random: SeededRandom.create(1),
    log: SilentLog.create(),
    peers: undefined as never,
    upstreams: undefined as never,
  };
}
