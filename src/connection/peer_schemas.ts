/**
 * Checks of what other VMs ask, one schema for each call of `PeerApi`.
 *
 * A VM of another build may send other shapes during a replacement of the
 * fleet. Numbers are checked above all: JSON turns a figure that is not finite
 * into null, and an age of null would count as 0 in every comparison.
 *
 * @module
 */
import { z } from "zod";
import type { AnyId } from "../ids.ts";
import type {
  AcquireCall,
  ClaimCall,
  HandOverCall,
  LimitCall,
  ProbeCall,
  RequestStatusCall,
  SettleCall,
  SnapshotCall,
  SuspectsCall,
  SyncCall,
} from "../process/peer_api.ts";

const COUNT = z.number().int().nonnegative();
const MS = z.number().nonnegative();
const FROM = z.looseObject({
  vm: createIdSchema(),
  incarnation: createIdSchema(),
});
const OUTCOME = z.enum(["not_run", "ran", "unknown", "answered"]);

const LEASE_NEWS = z.looseObject({
  lease: createIdSchema(),
  ticket: createIdSchema(),
  upstream: createIdSchema(),
  className: createIdSchema(),
  workspace: createIdSchema(),
  idempotent: z.boolean(),
  state: z.enum(["running", "done", "failed", "cancelled", "unused"]),
  promptTokens: MS,
  tokens: MS,
  firstTokenMs: MS.optional(),
  betweenTokensMs: MS.optional(),
  rateLimit: z.looseObject({ requestsPerS: MS.optional(), ageMs: MS })
    .optional(),
  backOffMs: MS.optional(),
});

const SHARD_SUMMARY = z.looseObject({
  shard: createIdSchema(),
  owner: createIdSchema(),
  room: z.number(),
  slots: MS,
  waitingByRank: z.record(z.string(), MS),
  lowestRank: z.number(),
  expectedWaitMs: MS,
  sequence: MS,
});

const MEMBER_NEWS = z.looseObject({
  vm: createIdSchema(),
  incarnation: createIdSchema(),
  state: z.enum(["alive", "suspect", "dead", "draining"]),
  counter: COUNT,
});

const ACQUIRE = z.looseObject({
  from: FROM,
  shard: createIdSchema(),
  ticket: createIdSchema(),
  requestId: createIdSchema(),
  workspace: createIdSchema(),
  className: createIdSchema(),
  model: createIdSchema().optional(),
  adapter: z.string().optional(),
  ageMs: MS,
  deadlineInMs: z.number(),
  promptTokens: MS,
  maxTokens: MS,
  doneTokens: MS,
  idempotent: z.boolean(),
  prefixes: z.array(z.string()),
  avoid: z.array(createIdSchema()),
  holdMs: MS,
});

const PROBE = z.looseObject({
  from: FROM,
  counter: COUNT,
  draining: z.boolean(),
  members: z.array(MEMBER_NEWS),
  summaries: z.array(SHARD_SUMMARY),
  configVersion: z.number(),
  listRevision: z.number(),
});

/** A probe that another VM is asked to make. */
export interface ProbeViaInput {
  target: ProbeCall["from"]["vm"];
  call: ProbeCall;
}

/** A schema for the input of each call. */
export const PEER_INPUTS = {
  acquire: createInput<AcquireCall>(ACQUIRE),
  syncLeases: createInput<SyncCall>(z.looseObject({
    from: FROM,
    shard: createIdSchema(),
    news: z.array(LEASE_NEWS),
    withdrawn: z.array(createIdSchema()),
  })),
  probe: createInput<ProbeCall>(PROBE),
  probeVia: createInput<ProbeViaInput>(
    z.looseObject({ target: createIdSchema(), call: PROBE }),
  ),
  fetchSnapshot: createInput<SnapshotCall>(
    z.looseObject({ from: FROM, after: z.number(), listAfter: z.number() }),
  ),
  leaseLimit: createInput<LimitCall>(z.looseObject({
    from: FROM,
    workspace: createIdSchema(),
    requests: MS,
    tokens: MS,
  })),
  claimRun: createInput<ClaimCall>(z.looseObject({
    from: FROM,
    requestId: createIdSchema(),
    nonce: z.string().min(1),
  })),
  settleRun: createInput<SettleCall>(z.looseObject({
    from: FROM,
    requestId: createIdSchema(),
    nonce: z.string().min(1),
    outcome: OUTCOME,
  })),
  findFate: createInput<RequestStatusCall>(
    z.looseObject({ requestId: createIdSchema(), withAnswer: z.boolean() }),
  ),
  handOver: createInput<HandOverCall>(z.looseObject({
    from: FROM,
    shard: createIdSchema(),
    waiters: z.array(ACQUIRE),
    leases: z.array(LEASE_NEWS),
  })),
  noteSuspects: createInput<SuspectsCall>(z.looseObject({
    from: FROM,
    entries: z.array(z.tuple([
      createIdSchema(),
      z.array(z.tuple([createIdSchema(), MS, z.boolean()])),
      z.number(),
    ])),
  })),
};

function createIdSchema(): z.ZodType<AnyId, unknown> {
  return z.string().min(1) as unknown as z.ZodType<AnyId, unknown>;
}

/** A parser for tRPC that checks by `schema` and gives the input's type. */
function createInput<T>(schema: z.ZodType): (input: unknown) => T {
  return (input) => schema.parse(input) as T;
}
