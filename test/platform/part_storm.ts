/**
 * Requests with a prompt part that crashes replicas, beside sound ones, at a
 * fleet whose crashed replicas return under new ids.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { onTestFinished } from "vitest";
import type { StandInCall } from "../../standin/http_stand_in.ts";
import { waitUntil } from "../support/loopback.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";
import type { ReplicaStandIn } from "./replica_stand_in.ts";
import type { TestAnswer } from "./test_call.ts";

const POISON_GAP_MS = 200;
const SOUND_GAP_MS = 40;
/** Time until the entry of a crashed replica is removed. */
const ENTRY_EXPIRY_MS = 600;
/** Time until a crashed replica is back under a new id. */
const RETURN_MS = 2_000;
const EVENT_GAP_MS = 20;
const TOKENS_PER_PART = 40;

/** Prompt parts that are shared, in order. */
export type SharedParts = readonly string[];

/** Options of `PartStorm`. */
export interface PartStormOptions {
  vms?: number;
  replicas?: number;
  path?: string;
  eventGapMs?: number;
  eventsBeforeCrash?: number;
  /** Selects requests that crash replicas, by their shared parts. */
  isBad: (parts: SharedParts) => boolean;
}

/** A sent request with its answer. */
export interface StormRequest {
  parts: SharedParts;
  /** By `performance.now()`. */
  sentAt: number;
  answer: TestAnswer;
}

/** A crash of a replica. */
export interface StormCrash {
  replica: string;
  /** By `performance.now()`. */
  at: number;
}

/** The fleet, its replicas and what was sent. */
export class PartStorm {
  readonly fleet: PlatformFleet;
  readonly crashes: StormCrash[] = [];
  readonly bad: StormRequest[] = [];
  readonly sound: StormRequest[] = [];
  readonly #options: PartStormOptions;
  #sent = 0;
  #isOver = false;

  constructor(fleet: PlatformFleet, options: PartStormOptions) {
    this.fleet = fleet;
    this.#options = options;
  }

  static async create(options: PartStormOptions): Promise<PartStorm> {
    const { vms = 4, replicas = 14 } = options;
    const fleet = await PlatformFleet.create({ vms, replicas });
    await waitUntil(() =>
      fleet.vms.every(({ vm }) => vm.listEntries().length === vms)
    );
    const storm = new PartStorm(fleet, options);
    fleet.replicas.forEach((replica) => storm.#addPoison(replica));
    onTestFinished(() => storm.stop());
    return storm;
  }

  stop(): void {
    this.#isOver = true;
  }

  /** Sends a request with these shared parts and one of its own. */
  async send(
    parts: SharedParts,
    vm: TestVm = this.#pickVm(),
  ): Promise<StormRequest> {
    this.#sent += 1;
    const prefix = [...parts, `own-${this.#sent}`]
      .map((part) => `${part}:${TOKENS_PER_PART}`);
    const sentAt = performance.now();
    const answer = await sendRequest(vm, {
      path: this.#options.path ?? "/restream/x",
      body: `body-${this.#sent}`,
      headers: {
        "x-token-count": `${TOKENS_PER_PART * prefix.length},10`,
        "x-prompt-prefix": prefix.join(),
      },
    });
    const request = { parts, sentAt, answer };
    const list = this.#options.isBad(parts) ? this.bad : this.sound;
    list.push(request);
    return request;
  }

  /** Sends bad requests, five a second, and sound ones beside them. */
  async run(
    ms: number,
    { bad, sound }: {
      bad: (index: number) => SharedParts;
      sound: (index: number) => SharedParts;
    },
  ): Promise<void> {
    const until = performance.now() + ms;
    const pending: Promise<unknown>[] = [];
    const sendEvery = async (
      gapMs: number,
      choose: (index: number) => SharedParts,
    ) => {
      for (let index = 0; performance.now() < until; index++) {
        pending.push(this.send(choose(index)));
        await sleep(gapMs);
      }
    };
    await Promise.all([
      sendEvery(POISON_GAP_MS, bad),
      sendEvery(SOUND_GAP_MS, sound),
    ]);
    await Promise.all(pending);
  }

  /** Requests that reached replicas with parts for which `isBad` holds. */
  countReached(
    isBad: (parts: SharedParts) => boolean = this.#options.isBad,
    since = -Infinity,
  ): number {
    return this.fleet.replicas.flatMap(({ seen, seenAt }) =>
      seen.filter((call, index) =>
        isBad(readSharedParts(call)) && seenAt[index]! >= since
      )
    ).length;
  }

  /** Share of the sound requests sent since then that were served. */
  computeServed(since = -Infinity): number {
    const sound = this.sound.filter(({ sentAt }) => sentAt >= since);
    const served = sound.filter(({ answer }) =>
      answer.status === 200 && answer.isWhole
    );
    return served.length / sound.length;
  }

  /** Crashes a replica for a reason of its own, and lets it return. */
  async endReplica(replica: ReplicaStandIn): Promise<void> {
    this.#noteCrash(replica);
    await replica.stop();
  }

  #pickVm(): TestVm {
    const { vms } = this.fleet;
    return vms[this.#sent % vms.length]!;
  }

  #addPoison(replica: ReplicaStandIn): void {
    const { eventGapMs = EVENT_GAP_MS, eventsBeforeCrash = 0, isBad } =
      this.#options;
    replica.eventGapMs = eventGapMs;
    replica.eventsBeforeCrash = eventsBeforeCrash;
    replica.isPoison = (call) => isBad(readSharedParts(call));
    replica.onCrash = () => this.#noteCrash(replica);
  }

  #noteCrash(replica: ReplicaStandIn): void {
    this.crashes.push({ replica: replica.id, at: performance.now() });
    void this.#replace(replica);
  }

  async #replace(replica: ReplicaStandIn): Promise<void> {
    await sleep(ENTRY_EXPIRY_MS);
    this.fleet.store.remove(`servers/${replica.id}`);
    await sleep(RETURN_MS - ENTRY_EXPIRY_MS);
    if (this.#isOver) return;
    this.#addPoison(await this.fleet.addReplica(`${replica.id}n`));
  }
}

/** The parts of a call without the last one, which is its own. */
function readSharedParts({ headers }: StandInCall): SharedParts {
  const entries = headers["x-prompt-prefix"]?.split(",") ?? [];
  return entries.slice(0, -1).map((entry) => entry.split(":")[0]!);
}
