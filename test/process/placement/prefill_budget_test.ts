import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { RefusalError } from "../../../src/outcome.ts";
import {
  Locality,
  PlacementSource,
  PlacementState,
  ReplicaChooser,
  ReplicaDirectory,
} from "../../../src/process/placement/index.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import type { LeaseRequest } from "../../../src/process/services.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const POOL_SIZE = 4;
const PROMPT_TOKENS = 9_000;
const FLOOD_MS = 10_000;
/** At 35 tokens in a millisecond a pool of four reads a prompt in 64 ms. */
const FLOOD_EVERY_MS = 50;
const CALM_EVERY_MS = 130;

function createPool() {
  const clock = VirtualClock.create();
  const directory = ReplicaDirectory.create();
  directory.apply({
    revision: 1,
    replicas: Array.from({ length: POOL_SIZE }, (_, index) => ({
      id: toId<VmId>(`i-${index}`),
      pool: toId("pool"),
      address: "10.0.0.1",
      port: 80 + index,
      dataCentre: toId("dc"),
      slots: 24,
      state: "ready",
    })),
  });
  const state = PlacementState.create({
    clock,
    onNews: () => {},
    onEjected: () => {},
  });
  const chooser = ReplicaChooser.create(directory, state);
  let asks = 0;
  const place = (
    changes: {
      promptTokens?: number;
      isInteractive?: boolean;
      priority?: number;
    } = {},
  ) => {
    const promptTokens = changes.promptTokens ?? PROMPT_TOKENS;
    const isInteractive = changes.isInteractive ?? false;
    asks += 1;
    return chooser.chooseFor(toId("vm"), asks, {
      pool: toId("pool"),
      avoid: [],
      dataCentre: toId("dc"),
      parts: [`own-${asks}`],
      partTokens: [promptTokens],
      promptTokens,
      isInteractive,
      pacePriority: isInteractive ? undefined : changes.priority ?? 2,
    });
  };
  /** Places prompts for a while; returns how many, and the prefill of each. */
  const placeAll = async (everyMs: number) => {
    const prefillMs = new Map<VmId, number>();
    let refused = 0;
    for (let at = 0; at < FLOOD_MS; at += everyMs) {
      const replica = place()?.replica.id;
      if (replica === undefined) refused += 1;
      else {
        const ms = PROMPT_TOKENS * state.speeds.getMsPerToken(replica);
        prefillMs.set(replica, (prefillMs.get(replica) ?? 0) + ms);
      }
      await clock.run(everyMs);
    }
    return { refused, prefillMs };
  };
  return { clock, directory, state, place, placeAll };
}

// The load: for ten seconds a third more long prompts than a pool can read.
// Symptom: streams reach a replica at once and run until their deadline.
// Sequence: each replica has prompts to read all the time; each token of its
// streams waits for a chunk of them.
// Cause: replicas were given whatever came.
describe("prompts whose streams have to keep their pace", () => {
  it("leave replicas time for their streams in a flood", async () => {
    const { placeAll } = createPool();
    const { refused, prefillMs } = await placeAll(FLOOD_EVERY_MS);
    expect(refused).toBeGreaterThan(0);
    for (const ms of prefillMs.values()) {
      expect(ms / FLOOD_MS).toBeLessThan(0.85);
      expect(ms / FLOOD_MS).toBeGreaterThan(0.65);
    }
  });

  it("are never refused at half of what the pool can read", async () => {
    const { placeAll } = createPool();
    expect((await placeAll(CALM_EVERY_MS)).refused).toBe(0);
  });

  // Symptom: the longest documents alone are turned away.
  // Cause: a prompt had to fit in with its whole length.
  it("find room whatever their length", () => {
    const { place } = createPool();
    expect(place({ promptTokens: 40_000 })).toBeDefined();
  });

  // Symptom: urgent prompts are refused while less urgent ones begin.
  // Sequence: less urgent ones fill every replica; each time that one has room
  // again whoever comes first gets it.
  // Cause: all were held to the same bound.
  it("leave room for more urgent ones", async () => {
    const { place, placeAll } = createPool();
    await placeAll(FLOOD_EVERY_MS);
    while (place() !== undefined);
    expect(place({ priority: 1 })).toBeDefined();
    while (place({ priority: 1 }) !== undefined);
    expect(place({ priority: 0 })).toBeDefined();
    expect(place({ priority: 5 })).toBeUndefined();
  });

  it("do not keep interactive streams out", async () => {
    const { place, placeAll } = createPool();
    await placeAll(FLOOD_EVERY_MS);
    while (place() !== undefined);
    expect(place({ promptTokens: 600, isInteractive: true })).toBeDefined();
  });
});

function buildRequest(changes: Partial<LeaseRequest>): LeaseRequest {
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
    prefixes: ["own"],
    partTokens: [PROMPT_TOKENS],
    isInteractive: false,
    pauseMs: 200,
    avoid: [],
    ...changes,
  };
}

describe("a VM whose owner finds no room", () => {
  const createSource = () => {
    const { clock, directory, state } = createPool();
    const asked: boolean[] = [];
    const source = PlacementSource.create({
      clock,
      random: SeededRandom.create(1),
      dataCentre: toId("dc"),
      directory,
      locality: Locality.create(new Map()),
      state,
      readArrived: () => Promise.resolve(),
      askOwner: ({ pacePriority }) => {
        const isBounded = pacePriority !== undefined;
        asked.push(isBounded);
        return Promise.resolve(isBounded ? "full" : undefined);
      },
    });
    const acquire = (changes: Partial<LeaseRequest> = {}) =>
      source.acquire(buildRequest(changes), {
        signal: new AbortController().signal,
        onStep: () => {},
      });
    return { acquire, asked };
  };

  it("refuses at once, says that nothing ran, and when to come back", async () => {
    const { acquire } = createSource();
    const refusals: number[] = [];
    for (let index = 0; index < 20; index++) {
      const thrown = await acquire().catch((error: unknown) => error);
      expect(thrown).toBeInstanceOf(RefusalError);
      const { refusal } = thrown as RefusalError;
      expect(refusal.outcome).toBe("not_run");
      refusals.push(refusal.retryAfterMs!);
    }
    expect(Math.max(...refusals) - Math.min(...refusals)).toBeGreaterThan(400);
  });

  it("asks for room only where callers accept short pauses alone", async () => {
    const { acquire, asked } = createSource();
    await acquire({ pauseMs: 1_200 });
    await acquire({ pauseMs: undefined });
    await acquire({ avoid: [toId<VmId>("i-0")] });
    await acquire({ promptTokens: 600, isInteractive: true });
    expect(asked).toEqual([false, false, false, false]);
  });
});
