/**
 * The faults of a soak and their times, drawn from its seed.
 *
 * @module
 */
import { SeededRandom } from "../../src/process/random.ts";
import { LINK_CUTS, type LinkCut } from "../support/cuttable_links.ts";
import type { RelayMode } from "../support/relay.ts";
import type { ReplicaMode } from "../platform/replica_stand_in.ts";
import type { StoreMode } from "../platform/store_stand_in.ts";

const MAX_GAP_MS = 1_500;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 3_000;
const MAX_DELAY_MS = 200;
const MAX_SIGNAL_GAP_MS = 10_000;
const MIN_SIGNAL_MS = 4_000;
const MAX_SIGNAL_MS = 9_000;
const MAX_REQUESTS_PER_S = 8;
const MAX_BACK_OFF_S = 4;
/** Signals have their own seed, so that they don't change a seed's faults. */
const SIGNAL_SEED = 1_000_000_007;
/** So do replicas that leave for long. */
const LEAVING_SEED = 2_000_000_011;
/** So do cuts of all links of some VMs, silences and brittle replicas. */
const LINKS_SEED = 3_000_000_019;
const MAX_LINKS_GAP_MS = 6_000;
/** So do releases of replicas, and streams without a length. */
const STREAMS_SEED = 4_000_000_007;
const MAX_STREAMS_GAP_MS = 4_000;
/** So do restorations of the store. */
const RESTORES_SEED = 5_000_000_029;
const MAX_RESTORES_GAP_MS = 12_000;
const MAX_COPY_AGE_MS = 4_000;
/** So do changes that one watch leaves out. */
const SILENCES_SEED = 6_000_000_011;
const MAX_SILENCES_GAP_MS = 4_000;
const VERSIONS: readonly string[] = ["v1", "v1.1", "v2"];
const LINK_CUT_SHARE = 0.5;
const MIN_CUT_MS = 1_000;
const MAX_CUT_MS = 7_000;
const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 1_300;
/** One configuration in this many revokes a key. */
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

/** A fault of a process, a connection, a replica or the store. */
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
  | {
    kind: "replica_removed";
    replica: number;
    /** Whether its entry says so before it is removed. */
    isAnnounced: boolean;
    forMs: number;
  }
  | { kind: "replica_says_leaving"; replica: number; forMs: number }
  | { kind: "replica_backs_off"; replica: number; forS: number; forMs: number }
  | { kind: "links"; vms: number[]; how: LinkCut; forMs: number }
  | { kind: "replica_released"; replica: number; version: string }
  | { kind: "replica_silent"; replica: number; forMs: number }
  | { kind: "replica_brittle"; replica: number; forMs: number }
  | { kind: "store_way"; vm: number; mode: RelayMode; forMs: number }
  | { kind: "store"; mode: StoreMode; forMs: number }
  | { kind: "store_forgets" }
  /** The store is away, and back as it was `ageMs` before. */
  | { kind: "store_restored"; ageMs: number; forMs: number }
  /** One watch does not tell the next change of a replica's entry. */
  | { kind: "store_leaves_out"; replica: number }
  | { kind: "configuration"; isRevoking: boolean };

/** A fault and its start, in milliseconds from the start of the soak. */
export interface PlannedFault {
  at: number;
  fault: Fault;
}

/** Options of a plan. */
export interface PlanOptions {
  seed: number;
  forMs: number;
  vms: number;
  replicas: number;
}

/** Builds a plan in order of time; faults may overlap. */
export function buildPlan(options: PlanOptions): PlannedFault[] {
  const faults = buildSeries(
    SeededRandom.create(options.seed),
    options,
    MAX_GAP_MS,
    pickFault,
  );
  const signals = buildSeries(
    SeededRandom.create(options.seed + SIGNAL_SEED),
    options,
    MAX_SIGNAL_GAP_MS,
    pickSignal,
  );
  const leaves = buildSeries(
    SeededRandom.create(options.seed + LEAVING_SEED),
    options,
    MAX_SIGNAL_GAP_MS,
    pickLeaving,
  );
  const links = buildSeries(
    SeededRandom.create(options.seed + LINKS_SEED),
    options,
    MAX_LINKS_GAP_MS,
    pickLinkFault,
  );
  const streams = buildSeries(
    SeededRandom.create(options.seed + STREAMS_SEED),
    options,
    MAX_STREAMS_GAP_MS,
    pickStreamFault,
  );
  const restores = buildSeries(
    SeededRandom.create(options.seed + RESTORES_SEED),
    options,
    MAX_RESTORES_GAP_MS,
    pickRestore,
  );
  const silences = buildSeries(
    SeededRandom.create(options.seed + SILENCES_SEED),
    options,
    MAX_SILENCES_GAP_MS,
    pickSilence,
  );
  return [
    ...faults,
    ...signals,
    ...leaves,
    ...links,
    ...streams,
    ...restores,
    ...silences,
  ].toSorted((left, right) => left.at - right.at);
}

function buildSeries(
  random: SeededRandom,
  options: PlanOptions,
  maxGapMs: number,
  pick: (random: SeededRandom, options: PlanOptions) => Fault,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let at = 0;
  while (true) {
    at += random.nextInt(maxGapMs);
    if (at >= options.forMs) return plan;
    plan.push({ at, fault: pick(random, options) });
  }
}

function pickRestore(random: SeededRandom): Fault {
  return {
    kind: "store_restored",
    ageMs: random.nextInt(MAX_COPY_AGE_MS),
    forMs: MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS),
  };
}

function pickSilence(random: SeededRandom, options: PlanOptions): Fault {
  const replica = random.nextInt(options.replicas);
  return { kind: "store_leaves_out", replica };
}

function pickLeaving(random: SeededRandom, options: PlanOptions): Fault {
  return {
    kind: "replica_removed",
    replica: random.nextInt(options.replicas),
    isAnnounced: random.nextInt(2) === 0,
    forMs: MIN_SIGNAL_MS + random.nextInt(MAX_SIGNAL_MS - MIN_SIGNAL_MS),
  };
}

/** Picks a replica that gets other software, or breaks streams off. */
function pickStreamFault(random: SeededRandom, options: PlanOptions): Fault {
  const replica = random.nextInt(options.replicas);
  const version = random.pick(VERSIONS)!;
  const forMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
  const faults: Fault[] = [
    { kind: "replica_released", replica, version },
    { kind: "replica", replica, mode: "unframed", forMs },
    { kind: "replica", replica, mode: "break", forMs },
  ];
  return random.pick(faults)!;
}

/** Picks VMs whose links are cut, or a replica that is silent or brittle. */
function pickLinkFault(random: SeededRandom, options: PlanOptions): Fault {
  const replica = random.nextInt(options.replicas);
  const vms = Array.from({ length: options.vms }, (_, index) => index);
  // At least one VM is left.
  const count = 1 + random.nextInt(Math.max(1, options.vms - 1));
  const faults: Fault[] = [
    {
      kind: "links",
      vms: random.pickSample(vms, count),
      how: random.pick(LINK_CUTS)!,
      forMs: MIN_CUT_MS + random.nextInt(MAX_CUT_MS - MIN_CUT_MS),
    },
    {
      kind: "replica_silent",
      replica,
      forMs: MIN_SILENCE_MS + random.nextInt(MAX_SILENCE_MS - MIN_SILENCE_MS),
    },
    {
      kind: "replica_brittle",
      replica,
      forMs: MIN_SIGNAL_MS + random.nextInt(MAX_SIGNAL_MS - MIN_SIGNAL_MS),
    },
  ];
  return random.next() < LINK_CUT_SHARE ? faults[0]! : random.pick(faults)!;
}

/** Picks a signal that a replica sends in its answers. */
function pickSignal(random: SeededRandom, options: PlanOptions): Fault {
  const replica = random.nextInt(options.replicas);
  const forMs = MIN_SIGNAL_MS +
    random.nextInt(MAX_SIGNAL_MS - MIN_SIGNAL_MS);
  const requestsPerS = 1 + random.nextInt(MAX_REQUESTS_PER_S);
  const signals: Fault[] = [
    { kind: "replica_limits", replica, requestsPerS, forMs },
    { kind: "replica_says_leaving", replica, forMs },
    {
      kind: "replica_backs_off",
      replica,
      forS: 1 + random.nextInt(MAX_BACK_OFF_S),
      forMs,
    },
  ];
  return random.pick(signals)!;
}

function pickFault(random: SeededRandom, options: PlanOptions): Fault {
  const vm = random.nextInt(options.vms);
  const replica = random.nextInt(options.replicas);
  const forMs = MIN_FAULT_MS +
    random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
  const delayMs = 1 + random.nextInt(MAX_DELAY_MS);
  const relayMode = random.pick(RELAY_MODES)!;
  const faults: Fault[] = [
    { kind: "kill", vm },
    { kind: "terminate", vm },
    { kind: "reload", vm },
    { kind: "pause", vm, forMs },
    { kind: "reset_ways", replica },
    { kind: "replica_way", replica, mode: relayMode, forMs },
    { kind: "replica_delay", replica, delayMs, forMs },
    { kind: "replica", replica, mode: random.pick(REPLICA_MODES)!, forMs },
    { kind: "replica_leaves", replica, forMs },
    { kind: "store_way", vm, mode: relayMode, forMs },
    { kind: "store", mode: random.pick(STORE_MODES)!, forMs },
    { kind: "store_forgets" },
    {
      kind: "configuration",
      isRevoking: random.nextInt(REVOKING_ONE_IN) === 0,
    },
  ];
  return random.pick(faults)!;
}
