/**
 * Store and replicas of a soak at a deployment's size, with replicas that leave
 * all the time. Runs as a process of its own, so that the load of the VMs and
 * callers does not delay what it observes.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { buildConfiguration } from "../../platform/configurations.ts";
import { ReplicaStandIn } from "../../platform/replica_stand_in.ts";
import {
  type DeafnessKind,
  StoreStandIn,
} from "../../platform/store_stand_in.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { PERMANENT_KEY } from "../soak_fleet.ts";
import { hasPoisonPart } from "../prompt_parts.ts";
import { getReplicaVersion, startBreaking } from "./versioned_replica.ts";

const SLOTS = 16;
const ZONES = 4;
/** Interval at which a replica that warms up renews its entry. */
const RENEWAL_MS = 1_200;
const WARM_UP_MS = 5_000;
const WARM_UP_STEPS = Math.ceil(WARM_UP_MS / RENEWAL_MS);
/** A replica serves for this long after the store removed its entry. */
const SERVES_AFTER_REMOVAL_MS = 6_000;
const MIN_DRAINING_MS = 4_000;
const MAX_DRAINING_MS = 8_000;
const LATENESS_INTERVAL_MS = 20;
const ENTRY_EXPIRY_MS = 2_000;
/** The store's watches hear nothing for this long; replicas leave meanwhile. */
const DEAF_MS = 1_000;
const LEAVE_AFTER_DEAF_MS = 100;

/** How a replica leaves: announced in its entry, or by the entry's removal. */
export type LeavingKind = "draining" | "removed";

/** A request that reached a replica after its leaving; times of day. */
export interface ArrivalAfterLeaving {
  replica: string;
  kind: LeavingKind;
  /** Time since the store accepted the leaving. */
  afterMs: number;
  at: number;
  requestId: string;
}

/** A replica's leaving, as the store accepted it. */
export interface Leaving {
  replica: string;
  kind: LeavingKind;
  /** Time of day. */
  at: number;
}

/** A request with a part that crashes replicas. */
export interface PoisonArrival {
  /** Time of day. */
  at: number;
  requestId: string;
}

/** What the observer saw. */
export interface ObserverReport {
  poison: PoisonArrival[];
  /** Times of day of the crashes that they caused. */
  crashes: number[];
  leaves: Leaving[];
  arrivals: number;
  afterLeaving: ArrivalAfterLeaving[];
  /** Revisions that the store gave out. */
  changes: number;
  /** The greatest delay of a timer of this process, in milliseconds. */
  maxLateMs: number;
  storeCalls: number;
}

/** Options of an observer. */
export interface ObserverOptions {
  seed: number;
  replicas: number;
  /** Replicas that leave at the same time. */
  atOnce: number;
  gapMs: number;
  /** Time between two spells in which watches hear nothing; 0 for none. */
  deafGapMs: number;
  deafness: DeafnessKind;
}

/** Hosts the stand-ins and lets replicas leave. */
export class LeavingObserver {
  readonly #options: ObserverOptions;
  readonly #random: SeededRandom;
  readonly #store = StoreStandIn.create();
  readonly #serving: ReplicaStandIn[] = [];
  readonly #gone: ReplicaStandIn[] = [];
  readonly #afterLeaving: ArrivalAfterLeaving[] = [];
  readonly #leaves: Leaving[] = [];
  readonly #crashes: number[] = [];
  #changes = 0;
  #started = 0;
  #maxLateMs = 0;
  #isStopped = false;

  constructor(options: ObserverOptions) {
    this.#options = options;
    this.#random = SeededRandom.create(options.seed);
  }

  static create(options: ObserverOptions): LeavingObserver {
    return new LeavingObserver(options);
  }

  get storePort(): number {
    return this.#store.port;
  }

  async start(): Promise<void> {
    await this.#store.start();
    this.#put("op/config", buildConfiguration(1, { keys: [PERMANENT_KEY] }));
    for (let index = 0; index < this.#options.replicas; index++) {
      const standIn = await this.#startReplica();
      this.#list(standIn, { state: "ready" });
    }
    void this.#watchLateness();
  }

  /** Lets replicas leave until `stop`. */
  async run(): Promise<void> {
    void this.#runDeafness();
    while (!this.#isStopped) {
      this.#replaceSome();
      await sleep(this.#options.gapMs);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  buildReport(): ObserverReport {
    const all = [...this.#serving, ...this.#gone];
    return {
      poison: all.flatMap(listPoison),
      crashes: this.#crashes,
      leaves: this.#leaves,
      arrivals: all.reduce((sum, { seen }) => sum + seen.length, 0),
      afterLeaving: this.#afterLeaving,
      changes: this.#changes,
      maxLateMs: Math.round(this.#maxLateMs),
      storeCalls: this.#store.calls.length,
    };
  }

  #replaceSome(): void {
    for (let index = 0; index < this.#options.atOnce; index++) {
      void this.#replace(index % 2 === 0 ? "draining" : "removed");
    }
  }

  /**
   * Watches hear nothing while replicas leave; then the store drops its history
   * and cuts its connections.
   */
  async #runDeafness(): Promise<void> {
    const { deafGapMs, deafness } = this.#options;
    if (deafGapMs === 0) return;
    while (!this.#isStopped) {
      await sleep(deafGapMs);
      this.#store.startDeafness(deafness);
      await sleep(LEAVE_AFTER_DEAF_MS);
      this.#replaceSome();
      await sleep(DEAF_MS - LEAVE_AFTER_DEAF_MS);
      this.#store.endDeafness();
    }
  }

  async #startReplica(): Promise<ReplicaStandIn> {
    this.#started += 1;
    const standIn = ReplicaStandIn.create(`i-${this.#started}`);
    startBreaking(standIn);
    standIn.isPoison = ({ headers }) => hasPoisonPart(headers);
    standIn.onCrash = () => void this.#replaceCrashed(standIn);
    await standIn.start();
    this.#serving.push(standIn);
    return standIn;
  }

  /** Lets a replica leave and lists another one in its place. */
  async #replace(kind: LeavingKind): Promise<void> {
    const index = this.#random.nextInt(this.#serving.length);
    const [standIn] = this.#serving.splice(index, 1);
    if (standIn === undefined) return;
    this.#gone.push(standIn);
    if (kind === "draining") this.#list(standIn, { state: "draining" });
    else this.#remove(standIn);
    const leftAt = performance.now();
    const at = performance.timeOrigin + leftAt;
    this.#leaves.push({ replica: standIn.id, kind, at });
    const next = await this.#startReplica();
    void this.#runWarmUp(next);
    await sleep(this.#pickServingMs(kind));
    if (kind === "draining") this.#remove(standIn);
    this.#noteArrivals(standIn, kind, leftAt);
    await standIn.stop();
  }

  /** Its entry expires, and another replica starts in its place. */
  async #replaceCrashed(standIn: ReplicaStandIn): Promise<void> {
    this.#crashes.push(performance.timeOrigin + performance.now());
    const index = this.#serving.indexOf(standIn);
    if (index === -1) return;
    this.#serving.splice(index, 1);
    this.#gone.push(standIn);
    await sleep(ENTRY_EXPIRY_MS);
    this.#remove(standIn);
    this.#list(await this.#startReplica(), { state: "ready" });
  }

  #pickServingMs(kind: LeavingKind): number {
    if (kind === "removed") return SERVES_AFTER_REMOVAL_MS;
    return MIN_DRAINING_MS +
      this.#random.nextInt(MAX_DRAINING_MS - MIN_DRAINING_MS);
  }

  /** Changes the entry at each renewal, as a replica does that warms up. */
  async #runWarmUp(standIn: ReplicaStandIn): Promise<void> {
    for (let step = WARM_UP_STEPS; step >= 0; step--) {
      if (this.#isStopped || !this.#serving.includes(standIn)) return;
      const coldMs = step * RENEWAL_MS;
      this.#list(standIn, { state: "ready", coldMs });
      await sleep(RENEWAL_MS);
    }
  }

  #noteArrivals(
    { id: replica, seen, seenAt }: ReplicaStandIn,
    kind: LeavingKind,
    leftAt: number,
  ): void {
    seen.forEach(({ headers }, index) => {
      const afterMs = seenAt[index]! - leftAt;
      if (afterMs <= 0) return;
      const at = performance.timeOrigin + seenAt[index]!;
      const requestId = headers["x-request-id"] ?? "";
      this.#afterLeaving.push({ replica, kind, afterMs, at, requestId });
    });
  }

  #list(
    { id, port }: ReplicaStandIn,
    entry: { state: "ready" | "draining"; coldMs?: number },
  ): void {
    this.#put(`servers/${id}`, {
      service: "pool",
      address: `127.0.0.1:${port}`,
      zone: `dc-${1 + port % ZONES}`,
      slots: SLOTS,
      version: getReplicaVersion(id),
      state: entry.state,
      "cold-remaining-ms": entry.coldMs ?? 0,
    });
  }

  #remove({ id }: ReplicaStandIn): void {
    this.#changes += 1;
    this.#store.remove(`servers/${id}`);
  }

  #put(key: string, value: unknown): void {
    this.#changes += 1;
    this.#store.put(key, value);
  }

  async #watchLateness(): Promise<void> {
    while (!this.#isStopped) {
      const before = performance.now();
      await sleep(LATENESS_INTERVAL_MS);
      const lateMs = performance.now() - before - LATENESS_INTERVAL_MS;
      this.#maxLateMs = Math.max(this.#maxLateMs, lateMs);
    }
  }
}

function listPoison({ seen, seenAt }: ReplicaStandIn): PoisonArrival[] {
  return seen.flatMap(({ headers }, index) =>
    hasPoisonPart(headers)
      ? [{
        at: performance.timeOrigin + seenAt[index]!,
        requestId: headers["x-request-id"] ?? "",
      }]
      : []
  );
}
