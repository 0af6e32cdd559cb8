/**
 * Generates seeded requests of both users: mixed classes, log-normal lengths,
 * uneven workspaces and bursts of one class.
 *
 * @module
 */
import type { ClassName, PoolName, WorkspaceName } from "../../src/ids.ts";
import { toId } from "../../src/ids.ts";
import type { Random } from "../../src/process/random.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import { getClassRank, type Workspace } from "../../src/version/index.ts";
import { EngineAnswer } from "../../standin/engine_answer.ts";
import type { EngineOptions } from "../../standin/engine_options.ts";
import {
  type ExampleRecords,
  getBenchKey,
  type User,
} from "./example_records.ts";
import { formatTag } from "./tags.ts";
import { formatServiceAnswer } from "./virtual_service.ts";

const CHARACTERS_PER_TOKEN = 4;
const SHARED_PROMPT_TOKENS = 512;
const FILLER = "El texto que sigue es parte del documento original. ";
/**
 * Exponent of the workspaces' weights; above 1, workspaces of large weight send
 * more than their weighted share.
 */
const WORKSPACE_SKEW = 1.5;

/** Arrival rate and lengths of the requests of one class. */
export interface ClassProfile {
  className: ClassName;
  /** Share of the load, for a model class; 0 for a service class. */
  loadShare: number;
  /** Requests per second, for a service class; 0 for a model class. */
  perSecond: number;
  /** Median number of generated tokens. */
  medianTokens: number;
  /** Standard deviation of the logarithm of the lengths. */
  sigma: number;
  medianPromptTokens: number;
}

/** A temporarily higher load of one class. */
export interface Burst {
  className: ClassName;
  /** Load relative to the capacity of all engines. */
  load: number;
  fromMs: number;
  toMs: number;
}

/** Options of a workload. */
export interface WorkloadOptions {
  examples: ExampleRecords;
  engine: EngineOptions;
  random: Random;
  durationMs: number;
  /** Total load of the model classes relative to the engines' capacity. */
  load: number;
  bursts: Burst[];
  /** Overrides of the user's profiles, by class name. */
  changes: Partial<Record<string, Partial<ClassProfile>>>;
}

/** One request, with the details that are hidden from the router. */
export interface BenchRequest {
  tag: number;
  at: number;
  className: ClassName;
  rank: number;
  workspace: WorkspaceName;
  pool: PoolName;
  kind: "model" | "service";
  idempotent: boolean;
  /** Number of tokens of the complete answer; 1 for a service. */
  tokens: number;
  /** Number of prompt tokens not shared with other requests. */
  uniquePromptTokens: number;
  /** Builds the expected text of the complete answer. */
  buildExpected: () => string;
  buildCall: (arrivedAt: number) => CallerRequest;
}

const PROFILES: Record<User, ClassProfile[]> = {
  lectura_llana: [
    buildModelProfile("adaptation", 0.8, [700, 0.8, 900]),
    buildModelProfile("glossary", 0.2, [60, 0.6, 40]),
    buildServiceProfile("portal_submission", 2),
    buildServiceProfile("portal_read", 8),
  ],
  kontrola_sever: [
    buildModelProfile("clerk_summary", 0.45, [220, 0.6, 400]),
    buildModelProfile("chat", 0.55, [110, 0.7, 120]),
    buildServiceProfile("lane_lookup", 20),
    buildServiceProfile("garage_lookup", 15),
    buildServiceProfile("slot_hold", 5),
    buildServiceProfile("reminder", 3),
  ],
};

/** The class with bursts, of the lowest model tier. */
export const BURST_CLASS: Record<User, ClassName> = {
  lectura_llana: toId("glossary"),
  kontrola_sever: toId("chat"),
};

/** Tokens per millisecond of the whole model pool with full batches. */
function computeCapacity(
  examples: ExampleRecords,
  engine: EngineOptions,
): number {
  const replicas = examples.list.vms.filter(({ pool }) =>
    pool !== undefined && examples.snapshot.pools.get(pool)?.type === "model"
  );
  return replicas.length / computeTokenMs(engine);
}

/**
 * Minimum time of a replica per token in milliseconds: its share of a step with
 * a full batch.
 */
export function computeTokenMs(engine: EngineOptions): number {
  const { baseMs, perRunningMs, maxBatch } = engine;
  return (baseMs + perRunningMs * maxBatch) / maxBatch;
}

/** Generates requests in order of arrival; deterministic for a seed. */
export function buildWorkload(options: WorkloadOptions): BenchRequest[] {
  const requests = PROFILES[options.examples.user].flatMap((base) => {
    const profile = { ...base, ...options.changes[base.className] };
    return buildClassRequests(profile, options);
  });
  requests.sort((left, right) => left.at - right.at);
  requests.forEach((request, index) => request.tag = index + 1);
  return requests;
}

function buildClassRequests(
  profile: ClassProfile,
  options: WorkloadOptions,
): BenchRequest[] {
  const { random, durationMs } = options;
  const requests: BenchRequest[] = [];
  let at = 0;
  while (true) {
    const perMs = computeArrivalRate(profile, options, at);
    // At a rate of 0, checks again after 100 ms, because a burst may start.
    const gapMs = perMs === 0 ? 100 : -Math.log(1 - random.next()) / perMs;
    const changeAt = findNextChange(options.bursts, at);
    // If the rate changes within the gap, draws the gap again from there.
    if (at + gapMs > changeAt) {
      at = changeAt;
      continue;
    }
    at += gapMs;
    if (at >= durationMs) return requests;
    if (perMs > 0) requests.push(buildRequest(profile, options, at));
  }
}

function findNextChange(bursts: readonly Burst[], at: number): number {
  const changes = bursts.flatMap(({ fromMs, toMs }) => [fromMs, toMs])
    .filter((changeAt) => changeAt > at);
  return Math.min(Infinity, ...changes);
}

function computeArrivalRate(
  profile: ClassProfile,
  options: WorkloadOptions,
  at: number,
): number {
  if (profile.perSecond > 0) return profile.perSecond / 1_000;
  const burst = options.bursts.find(({ className, fromMs, toMs }) =>
    className === profile.className && at >= fromMs && at < toMs
  );
  const load = burst?.load ?? options.load * profile.loadShare;
  return load * computeCapacity(options.examples, options.engine) /
    computeMeanTokens(profile);
}

function computeMeanTokens(profile: ClassProfile): number {
  return profile.medianTokens * Math.exp(profile.sigma ** 2 / 2);
}

function buildRequest(
  profile: ClassProfile,
  options: WorkloadOptions,
  at: number,
): BenchRequest {
  const { random, examples } = options;
  const { snapshot } = examples;
  const requestClass = snapshot.classes.get(profile.className)!;
  const workspace = chooseWorkspace(examples, profile.className, random);
  const kind = profile.perSecond > 0 ? "service" as const : "model" as const;
  const pool = [...snapshot.pools.values()].find(({ type }) => type === kind)!;
  const drawnTokens = pickLogNormal(
    profile.medianTokens,
    profile.sigma,
    random,
  );
  const tokens = kind === "service" ? 1 : Math.min(
    requestClass.maxOutputTokens,
    Math.max(1, Math.round(drawnTokens)),
  );
  const uniquePromptTokens = kind === "service" ? 0 : Math.round(
    pickLogNormal(profile.medianPromptTokens, profile.sigma, random),
  );
  const request: BenchRequest = {
    tag: 0,
    at,
    className: profile.className,
    rank: getClassRank(snapshot, profile.className),
    workspace: workspace.name,
    pool: pool.name,
    kind,
    idempotent: requestClass.idempotent,
    tokens,
    uniquePromptTokens,
    buildExpected: () => "",
    buildCall: () => {
      throw new Error("buildCall was used before the request was complete");
    },
  };
  const details = {
    model: pool.models[0]?.model ?? "",
    maxTokens: requestClass.maxOutputTokens,
  };
  request.buildExpected = () => buildExpected(request, details);
  request.buildCall = (arrivedAt) => ({
    ...(kind === "service"
      ? buildServiceCall(request)
      : buildModelCall(request, details)),
    query: "",
    remoteAddress: "127.0.0.1",
    arrivedAt,
  });
  return request;
}

function buildExpected(
  request: BenchRequest,
  details: { model: string; maxTokens: number },
): string {
  if (request.kind === "service") return formatServiceAnswer(request.tag);
  const prompt = formatPrompt(request);
  return EngineAnswer.create({ ...details, prompt }).getText();
}

function buildServiceCall(request: BenchRequest) {
  const { pool, tag, idempotent } = request;
  const mark = formatTag(tag);
  const headers = {
    ...buildHeaders(request),
    "x-idempotent": String(idempotent),
  };
  return idempotent
    ? {
      method: "GET",
      path: `/services/${pool}/lookup/${mark}`,
      headers,
      body: new Uint8Array(),
    }
    : {
      method: "POST",
      path: `/services/${pool}/holds`,
      headers,
      body: Buffer.from(JSON.stringify({ mark })),
    };
}

function buildModelCall(
  request: BenchRequest,
  details: { model: string; maxTokens: number },
) {
  const body = {
    model: details.model,
    prompt: formatPrompt(request),
    stream: true,
    max_tokens: details.maxTokens,
  };
  return {
    method: "POST",
    path: "/v1/completions",
    headers: buildHeaders(request),
    body: Buffer.from(JSON.stringify(body)),
  };
}

function buildHeaders(request: BenchRequest): Record<string, string> {
  return {
    authorization: `Bearer ${getBenchKey(request.workspace)}`,
    "content-type": "application/json",
    "x-request-class": request.className,
  };
}

/** A prefix shared by the workspace and class, followed by a unique part. */
function formatPrompt(request: BenchRequest): string {
  const { workspace, className, uniquePromptTokens, tag, tokens } = request;
  const shared = formatText(
    `${workspace} ${className}. `,
    SHARED_PROMPT_TOKENS,
  );
  const unique = formatText(formatTag(tag), uniquePromptTokens);
  return `${shared}${unique}[[tokens=${tokens}]]`;
}

function formatText(start: string, tokens: number): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  return start + FILLER.repeat(Math.ceil(length / FILLER.length))
    .slice(0, Math.max(0, length - start.length));
}

function chooseWorkspace(
  { snapshot }: ExampleRecords,
  className: ClassName,
  random: Random,
): Workspace {
  const workspaces = [...snapshot.workspaces.values()]
    .filter(({ classes }) => classes.includes(className));
  const weights = workspaces.map(({ weight }) => weight ** WORKSPACE_SKEW);
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => (left -= weight) < 0);
  return workspaces[Math.max(0, index)]!;
}

function pickLogNormal(median: number, sigma: number, random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp(sigma * normal);
}

function buildModelProfile(
  name: string,
  loadShare: number,
  [medianTokens, sigma, medianPromptTokens]: [number, number, number],
): ClassProfile {
  return {
    className: toId(name),
    loadShare,
    perSecond: 0,
    medianTokens,
    sigma,
    medianPromptTokens,
  };
}

function buildServiceProfile(name: string, perSecond: number): ClassProfile {
  return {
    className: toId(name),
    loadShare: 0,
    perSecond,
    medianTokens: 1,
    sigma: 0,
    medianPromptTokens: 0,
  };
}
