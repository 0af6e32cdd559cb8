/**
 * Schemas of the inputs of `PeerApi` calls.
 *
 * During a rolling update, VMs of other versions may send other fields. Numbers
 * must be checked: JSON encodes a non-finite number as null, and an age of null
 * would compare as 0.
 *
 * @module
 */
import { z } from "zod";
import type { AnyId, VmId } from "../ids.ts";
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

const LEASE_UPDATE = z.looseObject({
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

const MEMBER_UPDATE = z.looseObject({
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
  members: z.array(MEMBER_UPDATE),
  summaries: z.array(SHARD_SUMMARY),
  configVersion: z.number(),
  listRevision: z.number(),
});

/** The input of `probeVia`: a probe to send on behalf of another VM. */
export interface ProbeViaInput {
  target: ProbeCall["from"]["vm"];
  call: ProbeCall;
}

/** The input parser of each call. */
export const PEER_INPUTS = {
  acquire: createInput<AcquireCall>(ACQUIRE),
  syncLeases: createInput<SyncCall>(z.looseObject({
    from: FROM,
    shard: createIdSchema(),
    news: z.array(LEASE_UPDATE),
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
    leases: z.array(LEASE_UPDATE),
  })),
  noteSuspects: createInput<SuspectsCall>(z.looseObject({
    from: FROM,
    entries: z.array(z.tuple([
      createIdSchema(),
      z.array(z.tuple([createIdSchema(), MS, z.boolean()])),
      z.number(),
    ])),
    reports: z.array(z.tuple([
      createIdSchema(),
      z.number(),
      z.number(),
      createIdSchema(),
      z.array(createIdSchema()),
      createIdSchema(),
      COUNT,
    ])).optional(),
    answers: z.array(z.tuple([createIdSchema(), z.number()])).optional(),
  })),
  checkReach: createInput<VmId>(createIdSchema()),
};

function createIdSchema(): z.ZodType<AnyId, unknown> {
  return z.string().min(1) as unknown as z.ZodType<AnyId, unknown>;
}

/** Creates a tRPC input parser that validates with `schema`. */
function createInput<T>(schema: z.ZodType): (input: unknown) => T {
  return (input) => schema.parse(input) as T;
}
