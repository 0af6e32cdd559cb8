import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { RefusalError } from "../../../src/outcome.ts";
import {
  Locality,
  PlacementSource,
  PlacementState,
  ReplicaDirectory,
} from "../../../src/process/placement/index.ts";
import { isOnTime } from "../../../src/process/placement/on_time.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import type { HeldLease, LeaseRequest } from "../../../src/process/services.ts";
import { buildListedReplicas } from "../../support/listed_replicas.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const POOL_SIZE = 4;
const TARGET_MS = 600;
/** Callers leave after so long without output. */
const PATIENCE_MS = 2_000;
const PROMPT_TOKENS = 6_000;
/** An engine of the model reads so many tokens in a millisecond. */
const TOKENS_PER_MS = 35;
const STEP_MS = 5;
/** Priorities of prompts that can be in time and of those that can not. */
const ON_TIME = 1;
const LATE = 2;
const FLOOD_MS = 9_000;
/** Prompts for 1.6 times as long as the pool has in a second. */
const FLOOD_EVERY_MS = 27;
/** The same for half of its time. */
const CALM_EVERY_MS = 90;
/** In a flood of 1.6 times the pool, one prompt in 1.6 at best is in time. */
const BEST_IN_TIME = 1 / 1.6;
/** The aim: three quarters of what is possible. */
const LEAST_IN_TIME = 0.75 * BEST_IN_TIME;

interface Prompt {
  lease: HeldLease;
  askedAt: number;
  leftTokens: number;
}

/** A pool whose engines read one prompt after the other, urgent ones first. */
class ModelPool {
  readonly clock = VirtualClock.create();
  readonly state = PlacementState.create({
    clock: this.clock,
    onUpdate: () => {},
    onEjected: () => {},
  });
  readonly firstOutputMs: number[] = [];
  readonly priorities: number[] = [];
  readonly #source: PlacementSource;
  readonly #queues = new Map<VmId, Prompt[]>();
  #asked = 0;

  constructor() {
    const directory = ReplicaDirectory.create();
    directory.apply({
      revision: 1,
      replicas: buildListedReplicas(POOL_SIZE),
    });
    this.#source = PlacementSource.create({
      clock: this.clock,
      random: SeededRandom.create(1),
      dataCentre: toId("dc"),
      directory,
      locality: Locality.create(new Map()),
      state: this.state,
      waitForSocketReads: () => Promise.resolve(),
      fetchPlacement: () => Promise.resolve(undefined),
    });
  }

  async add(changes: Partial<LeaseRequest> = {}): Promise<HeldLease> {
    this.#asked += 1;
    const request = buildRequest(this.#asked, changes);
    const lease = await this.#source.acquire(request, {
      signal: new AbortController().signal,
      onStep: () => {},
    });
    const queue = this.#queues.get(lease.upstream) ?? [];
    this.#queues.set(lease.upstream, queue);
    queue.push({
      lease,
      askedAt: this.clock.now(),
      leftTokens: request.promptTokens,
    });
    this.priorities.push(lease.priority);
    return lease;
  }

  /** Lets the engines read for one step. */
  async runStep(): Promise<void> {
    await this.clock.run(STEP_MS);
    for (const queue of this.#queues.values()) this.#readFrom(queue);
  }

  /** Adds a prompt so often for `forMs`. */
  async runLoad(
    everyMs: number,
    forMs: number,
  ): Promise<void> {
    const endsAt = this.clock.now() + forMs;
    let nextAt = this.clock.now();
    while (this.clock.now() < endsAt) {
      while (nextAt <= this.clock.now()) {
        await this.add();
        nextAt += everyMs;
      }
      await this.runStep();
    }
  }

  countInTime(): { inTime: number; all: number } {
    const inTime = this.firstOutputMs.filter((ms) => ms <= TARGET_MS);
    return { inTime: inTime.length, all: this.firstOutputMs.length };
  }

  #readFrom(queue: Prompt[]): void {
    let left = TOKENS_PER_MS * STEP_MS;
    while (left > 0 && queue.length > 0) {
      queue.sort((a, b) =>
        a.lease.priority - b.lease.priority || a.askedAt - b.askedAt
      );
      const [first] = queue as [Prompt];
      const read = Math.min(left, first.leftTokens);
      left -= read;
      first.leftTokens -= read;
      if (first.leftTokens > 0) return;
      queue.shift();
      this.#end(first);
    }
  }

  #end({ lease, askedAt }: Prompt): void {
    const ms = this.clock.now() - askedAt;
    const progress = {
      tokens: 1,
      firstTokenMs: ms,
      betweenTokensMs: undefined,
    };
    lease.noteProgress(progress);
    lease.release("done", progress);
    this.firstOutputMs.push(ms);
  }
}

function buildRequest(
  number: number,
  changes: Partial<LeaseRequest>,
): LeaseRequest {
  return {
    requestId: toId("request"),
    attempt: 1,
    workspace: toId("workspace"),
    className: toId("document"),
    pool: toId("pool"),
    model: undefined,
    adapter: undefined,
    arrivedAt: 0,
    deadlineAt: 5_000,
    promptTokens: PROMPT_TOKENS,
    maxTokens: 80,
    doneTokens: 0,
    idempotent: true,
    prefixes: [`own-${number}`],
    partTokens: [PROMPT_TOKENS],
    isInteractive: false,
    firstOutputMs: TARGET_MS,
    clientTimeoutMs: PATIENCE_MS,
    priority: ON_TIME,
    latePriority: LATE,
    avoid: [],
    ...changes,
  };
}

// The load: for nine seconds 1.6 times the prompts that a pool can read.
// Symptom: nearly all answers begin late, though the replicas read all the
// time.
// Sequence: in the first second more come than can be read; from then on each
// prompt waits for the queue that stands since.
// Cause: prompts were read in the order in which they came, those that were
// late already before those that could still be in time.
describe("long prompts in a flood", () => {
  it("begin in time for the most part of what the pool can read", async () => {
    const pool = new ModelPool();
    await pool.runLoad(FLOOD_EVERY_MS, FLOOD_MS);
    const { inTime } = pool.countInTime();
    const asked = FLOOD_MS / FLOOD_EVERY_MS;
    expect(inTime / asked).toBeGreaterThan(LEAST_IN_TIME);
  });

  it("are all sent on, those that are late behind the others", async () => {
    const pool = new ModelPool();
    await pool.runLoad(FLOOD_EVERY_MS, FLOOD_MS);
    expect(new Set(pool.priorities)).toEqual(new Set([ON_TIME, LATE]));
  });

  it("are all in time in calm, and none goes behind another", async () => {
    const pool = new ModelPool();
    await pool.runLoad(CALM_EVERY_MS, FLOOD_MS);
    const { inTime, all } = pool.countInTime();
    expect(inTime).toBe(all);
    expect(new Set(pool.priorities)).toEqual(new Set([ON_TIME]));
  });

  // Symptom: the longest documents alone are never in time.
  // Cause: a prompt had to fit in with its whole length.
  it("get their turn however long they are", async () => {
    const pool = new ModelPool();
    const long = await pool.add({
      promptTokens: 40_000,
      partTokens: [40_000],
    });
    expect(long.priority).toBe(ON_TIME);
  });
});

// Symptom: a third of the prompts of a flood run until their deadline.
// Sequence: prompts that are late wait for seconds behind others; when they are
// read at last there is no time left for their streams.
// Cause: their callers were still there, so they were read in vain.
describe("a prompt whose caller waits for most of its time", () => {
  it("takes its turn, however late that is", async () => {
    const pool = new ModelPool();
    await pool.runLoad(1, 120);
    const patient = await pool.add({ clientTimeoutMs: 4_000 });
    expect(patient.priority).toBe(ON_TIME);
    const unknown = await pool.add({ clientTimeoutMs: undefined });
    expect(unknown.priority).toBe(ON_TIME);
  });
});

describe("a prompt that goes behind others", () => {
  it("is no wait for those in time", async () => {
    const pool = new ModelPool();
    await pool.runLoad(1, 120);
    const late = await pool.add();
    const pending = () => pool.state.loads.getLoad(late.upstream).pendingTokens;
    const before = pending();
    expect(late.priority).toBe(LATE);
    late.release("cancelled", {
      tokens: 0,
      firstTokenMs: undefined,
      betweenTokensMs: undefined,
    });
    expect(pending()).toBe(before);
  });

  it("is not taken for one at a dead replica while it waits", async () => {
    const pool = new ModelPool();
    await pool.runLoad(1, 120);
    const late = await pool.add();
    await pool.clock.run(1_500);
    expect(late.isUpstreamAlive()).toBe(true);
    await pool.clock.run(1_000);
    expect(late.isUpstreamAlive()).toBe(false);
  });
});

describe("a first output", () => {
  it("is in time with some to spare for what cannot be foreseen", () => {
    expect(isOnTime({ waitMs: 300, ownMs: 100 }, TARGET_MS)).toBe(true);
    expect(isOnTime({ waitMs: 500, ownMs: 100 }, TARGET_MS)).toBe(false);
  });
});

// Symptom: replicas that have just started fall over.
// Sequence: all replicas of a pool start again; each VM sends what it has.
// Cause: a request was sent on although nothing bears it.
describe("a request that no replica bears yet", () => {
  it("is refused at once, as not run, with a time to come back", async () => {
    const clock = VirtualClock.create();
    const directory = ReplicaDirectory.create();
    const source = PlacementSource.create({
      clock,
      random: SeededRandom.create(1),
      dataCentre: toId("dc"),
      directory,
      locality: Locality.create(new Map()),
      state: PlacementState.create({
        clock,
        onUpdate: () => {},
        onEjected: () => {},
      }),
      waitForSocketReads: () => Promise.resolve(),
      fetchPlacement: () => Promise.resolve("full"),
    });
    const retries: number[] = [];
    for (let index = 0; index < 20; index++) {
      const thrown = await source.acquire(buildRequest(index, {}), {
        signal: new AbortController().signal,
        onStep: () => {},
      }).catch((error: unknown) => error);
      expect(thrown).toBeInstanceOf(RefusalError);
      const { refusal } = thrown as RefusalError;
      expect(refusal.outcome).toBe("not_run");
      retries.push(refusal.retryAfterMs!);
    }
    expect(Math.max(...retries) - Math.min(...retries)).toBeGreaterThan(400);
  });
});
