/**
 * Which faults a soak brings about and when, drawn from its seed.
 *
 * @module
 */
import { SeededRandom } from "../../src/process/random.ts";
import type { RelayMode } from "../support/relay.ts";
import type { ReplicaMode } from "../platform/replica_stand_in.ts";
import type { StoreMode } from "../platform/store_stand_in.ts";

const LONGEST_GAP_MS = 1_500;
const SHORTEST_FAULT_MS = 200;
const LONGEST_FAULT_MS = 3_000;
const LONGEST_DELAY_MS = 200;
const LONGEST_SIGNAL_GAP_MS = 10_000;
const SHORTEST_SIGNAL_MS = 4_000;
const LONGEST_SIGNAL_MS = 9_000;
const MOST_REQUESTS_PER_S = 8;
const LONGEST_BACK_OFF_S = 4;
/** What replicas ask is drawn apart: the faults of a seed stay what they are. */
const SIGNAL_SEED = 1_000_000_007;
/** One configuration in so many takes a key away. */
const REVOKING_ONE_IN = 3;

const RELAY_MODES: RelayMode[] = ["swallow", "swallow_back", "refuse"];
const STORE_MODES: StoreMode[] = ["busy", "limited", "reset", "silent"];
const REPLICA_MODES: ReplicaMode[] = [
  "shed",
  "fail",
  "hang",
  "reset",
  "other_id",
  "unsigned",
  "break",
  "extra",
  "extra_late",
];

/** What happens at one moment. */
export type Fault =
  | { kind: "kill" | "terminate" | "reload"; vm: number }
  | { kind: "pause"; vm: number; forMs: number }
  | { kind: "reset_ways"; replica: number }
  | { kind: "replica_way"; replica: number; mode: RelayMode; forMs: number }
  | { kind: "replica_delay"; replica: number; delayMs: number; forMs: number }
  | { kind: "replica"; replica: number; mode: ReplicaMode; forMs: number }
  | { kind: "replica_leaves"; replica: number; forMs: number }
  | {
    kind: "replica_limits";
    replica: number;
    requestsPerS: number;
    forMs: number;
  }
  | { kind: "replica_says_leaving"; replica: number; forMs: number }
  | { kind: "replica_backs_off"; replica: number; forS: number; forMs: number }
  | { kind: "store_way"; vm: number; mode: RelayMode; forMs: number }
  | { kind: "store"; mode: StoreMode; forMs: number }
  | { kind: "store_forgets" }
  | { kind: "configuration"; isRevoking: boolean };

/** A fault and when it begins, in milliseconds from the soak's start. */
export interface PlannedFault {
  at: number;
  fault: Fault;
}

/** What a plan is drawn for. */
export interface PlanOptions {
  seed: number;
  forMs: number;
  vms: number;
  replicas: number;
}

/** Faults in the order of their time; they overlap and come in series. */
export function buildPlan(options: PlanOptions): PlannedFault[] {
  const faults = buildSeries(
    SeededRandom.create(options.seed),
    options,
    LONGEST_GAP_MS,
    pickFault,
  );
  const signals = buildSeries(
    SeededRandom.create(options.seed + SIGNAL_SEED),
    options,
    LONGEST_SIGNAL_GAP_MS,
    pickSignal,
  );
  return [...faults, ...signals].toSorted((left, right) => left.at - right.at);
}

function buildSeries(
  random: SeededRandom,
  options: PlanOptions,
  longestGapMs: number,
  pick: (random: SeededRandom, options: PlanOptions) => Fault,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let at = 0;
  while (true) {
    at += random.nextInt(longestGapMs);
    if (at >= options.forMs) return plan;
    plan.push({ at, fault: pick(random, options) });
  }
}

/** What a replica asks in its answers. */
function pickSignal(random: SeededRandom, options: PlanOptions): Fault {
  const replica = random.nextInt(options.replicas);
  const forMs = SHORTEST_SIGNAL_MS +
    random.nextInt(LONGEST_SIGNAL_MS - SHORTEST_SIGNAL_MS);
  const requestsPerS = 1 + random.nextInt(MOST_REQUESTS_PER_S);
  const signals: Fault[] = [
    { kind: "replica_limits", replica, requestsPerS, forMs },
    { kind: "replica_says_leaving", replica, forMs },
    {
      kind: "replica_backs_off",
      replica,
      forS: 1 + random.nextInt(LONGEST_BACK_OFF_S),
      forMs,
    },
  ];
  return random.pick(signals)!;
}

function pickFault(random: SeededRandom, options: PlanOptions): Fault {
  const vm = random.nextInt(options.vms);
  const replica = random.nextInt(options.replicas);
  const forMs = SHORTEST_FAULT_MS +
    random.nextInt(LONGEST_FAULT_MS - SHORTEST_FAULT_MS);
  const delayMs = 1 + random.nextInt(LONGEST_DELAY_MS);
  const wayMode = random.pick(RELAY_MODES)!;
  const faults: Fault[] = [
    { kind: "kill", vm },
    { kind: "terminate", vm },
    { kind: "reload", vm },
    { kind: "pause", vm, forMs },
    { kind: "reset_ways", replica },
    { kind: "replica_way", replica, mode: wayMode, forMs },
    { kind: "replica_delay", replica, delayMs, forMs },
    { kind: "replica", replica, mode: random.pick(REPLICA_MODES)!, forMs },
    { kind: "replica_leaves", replica, forMs },
    { kind: "store_way", vm, mode: wayMode, forMs },
    { kind: "store", mode: random.pick(STORE_MODES)!, forMs },
    { kind: "store_forgets" },
    {
      kind: "configuration",
      isRevoking: random.nextInt(REVOKING_ONE_IN) === 0,
    },
  ];
  return random.pick(faults)!;
}
