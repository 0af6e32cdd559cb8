/**
 * Requests with shared parts at replicas that crash, in virtual time: several
 * VMs with their own quarantines, replicas that return, requests that are
 * retried at the emptiest replica.
 *
 * @module
 */
import {
  type Incarnation,
  type PartKey,
  type PoolName,
  type RequestFingerprint,
  toId,
  type VmId,
} from "../../../src/ids.ts";
import type { RequestKeys } from "../../../src/process/crash_quarantine.ts";
import type { Random } from "../../../src/process/random.ts";
import type { VirtualClock } from "../../../standin/virtual_clock.ts";
import { QuarantineFleet } from "./quarantine_fleet.ts";

const POOL = toId<PoolName>("pool");
/** Time until a VM knows that a lost connection was a crash. */
const CHECK_MS = 25;
/** Time until a crashed replica is back. */
const RETURN_MS = 2_500;
/** Time that a caller waits before it sends a failed request again. */
const CALLER_WAIT_MS = 200;
/** A caller sends a request this often. */
const CALLER_TRIES = 2;
/** Replicas that the VM itself tries. */
const MAX_SENDS = 2;

/** A kind of sound requests. */
export interface TrafficKind {
  perSecond: number;
  /** Number of different first parts, and of sessions. */
  firsts: number;
  sessions: number;
  /** Time until the first output, and from there to the end. */
  firstMs: number;
  streamMs: number;
}

/** Requests that crash their replicas. */
export interface PoisonKind {
  perSecond: number;
  part: string;
  /** Time from their first output to the crash. */
  crashMs: number;
  fromMs: number;
  /** Until then they are answered; they crash replicas at once by default. */
  turnsAtMs?: number;
}

/** Options of `PartTraffic`. */
export interface PartTrafficOptions {
  seed: number;
  vms?: number;
  replicas?: number;
  lossRate?: number;
  kinds?: readonly TrafficKind[];
  poison?: readonly PoisonKind[];
}

interface Replica {
  incarnation: number;
  index: number;
  isUp: boolean;
  running: Set<RunningRequest>;
}

interface RunningRequest {
  vm: number;
  keys: RequestKeys;
  names: readonly string[];
  poison: PoisonKind | undefined;
  kind: TrafficKind;
  sends: number;
  tries: number;
  sentAt: number;
  beganAt: number | undefined;
}

/** Chat-like and summary-like requests of a pool of 14 replicas. */
const USUAL_KINDS: readonly TrafficKind[] = [
  { perSecond: 20, firsts: 20, sessions: 212, firstMs: 60, streamMs: 1_600 },
  { perSecond: 13, firsts: 4, sessions: 338, firstMs: 200, streamMs: 500 },
];

/** The traffic and what became of it. */
export class PartTraffic {
  readonly fleet: QuarantineFleet;
  /** When requests with a poison part reached replicas. */
  readonly poisonSends: number[] = [];
  /** Times of crashes. */
  readonly crashes: number[] = [];
  /** Times of those under requests with a poison part. */
  readonly poisonCrashes: number[] = [];
  readonly sound = { sent: 0, served: 0, refused: 0, failed: 0 };
  readonly #options: Required<PartTrafficOptions>;
  readonly #replicas: Replica[];
  readonly #random: Random;
  readonly #clock: VirtualClock;
  #sent = 0;
  #isOver = false;

  constructor(options: PartTrafficOptions) {
    this.#options = {
      vms: 8,
      replicas: 14,
      lossRate: 0,
      kinds: USUAL_KINDS,
      poison: [],
      ...options,
    };
    this.fleet = QuarantineFleet.create(this.#options);
    this.#random = this.fleet.random;
    this.#clock = this.fleet.clock;
    this.#replicas = Array.from(
      { length: this.#options.replicas },
      (_, index) => ({
        index,
        incarnation: 0,
        isUp: true,
        running: new Set(),
      }),
    );
  }

  static create(options: PartTrafficOptions): PartTraffic {
    return new PartTraffic(options);
  }

  /** Sends all traffic for `ms`. */
  async run(ms: number): Promise<void> {
    const { kinds, poison } = this.#options;
    this.#isOver = false;
    for (const kind of kinds) {
      this.#sendRepeatedly(kind.perSecond, () => this.#sendSound(kind));
    }
    for (const each of poison) {
      this.#clock.startTimer(
        each.fromMs,
        () =>
          this.#sendRepeatedly(each.perSecond, () => this.#sendPoison(each)),
      );
    }
    await this.#clock.run(ms);
    this.#isOver = true;
  }

  /** Crashes replicas for reasons of their own, one each `gapMs`. */
  endReplicas(count: number, gapMs: number): void {
    for (let each = 0; each < count; each++) {
      this.#clock.startTimer(each * gapMs, () => {
        const up = this.#replicas.filter(({ isUp }) => isUp);
        if (up.length > 0) this.#endReplica(this.#random.pick(up)!);
      });
    }
  }

  /** Parts that any VM holds alone or together, without those of poison. */
  listWronglyHeld(): string[] {
    const bad = this.#options.poison.map(({ part }) => `${POOL}/${part}`);
    const wrong = new Set<string>();
    for (let vm = 0; vm < this.#options.vms; vm++) {
      for (const hold of this.fleet.getQuarantine(vm).parts.listHolds()) {
        const parts = [hold.part, ...hold.company];
        if (!parts.some((part) => bad.includes(part))) {
          wrong.add(parts.join("+"));
        }
      }
    }
    return [...wrong];
  }

  #sendRepeatedly(perSecond: number, send: () => void): void {
    const gapMs = -Math.log(1 - this.#random.next()) * 1_000 / perSecond;
    this.#clock.startTimer(gapMs, () => {
      if (this.#isOver) return;
      send();
      this.#sendRepeatedly(perSecond, send);
    });
  }

  #sendSound(kind: TrafficKind): void {
    const first = this.#random.nextInt(kind.firsts);
    const session = this.#random.nextInt(kind.sessions);
    const at = kind.firsts;
    this.#start(kind, [`first-${at}-${first}`, `session-${at}-${session}`]);
    this.sound.sent += 1;
  }

  #sendPoison(poison: PoisonKind): void {
    const kind = this.#options.kinds[0]!;
    const first = this.#random.nextInt(kind.firsts);
    this.#start(kind, [`first-${kind.firsts}-${first}`, poison.part], poison);
  }

  #start(
    kind: TrafficKind,
    names: readonly string[],
    poison?: PoisonKind,
  ): void {
    this.#sent += 1;
    this.#send({
      vm: this.#random.nextInt(this.#options.vms),
      keys: {
        fingerprint: toId<RequestFingerprint>(`request-${this.#sent}`),
        pool: POOL,
        parts: names.map((name) => toId<PartKey>(`${POOL}/${name}`)),
      },
      names,
      poison,
      kind,
      sends: 0,
      tries: 1,
      sentAt: 0,
      beganAt: undefined,
    });
  }

  #send(request: RunningRequest): void {
    const quarantine = this.fleet.getQuarantine(request.vm);
    if (quarantine.findHold(request.keys) !== undefined) {
      if (request.poison === undefined) this.sound.refused += 1;
      return;
    }
    const replica = this.#chooseReplica();
    if (replica === undefined) return this.#endFailed(request);
    const now = this.#clock.now();
    request.sends += 1;
    request.sentAt = now;
    request.beganAt = undefined;
    replica.running.add(request);
    if (this.#isPoisonous(request)) this.poisonSends.push(now);
    const { incarnation } = replica;
    const firstMs = request.kind.firstMs * (0.5 + this.#random.next());
    this.#clock.startTimer(firstMs, () => {
      if (replica.incarnation !== incarnation) return;
      request.beganAt = this.#clock.now();
      this.#startStream(request, replica);
    });
  }

  #startStream(request: RunningRequest, replica: Replica): void {
    const { incarnation } = replica;
    const { poison, kind } = request;
    const spread = Math.exp(0.7 * (this.#random.next() * 2 - 1));
    const isPoisonous = this.#isPoisonous(request);
    const ms = isPoisonous
      ? poison!.crashMs * (0.5 + this.#random.next())
      : kind.streamMs * spread;
    this.#clock.startTimer(ms, () => {
      if (replica.incarnation !== incarnation) return;
      if (isPoisonous) {
        this.poisonCrashes.push(this.#clock.now());
        return this.#endReplica(replica);
      }
      replica.running.delete(request);
      this.sound.served += 1;
      this.fleet.getQuarantine(request.vm)
        .noteAnswered(request.keys, request.beganAt!);
    });
  }

  #isPoisonous({ poison }: RunningRequest): boolean {
    return poison !== undefined &&
      this.#clock.now() >= (poison.turnsAtMs ?? 0);
  }

  /** The emptiest replica. */
  #chooseReplica(): Replica | undefined {
    return this.#replicas.filter(({ isUp }) => isUp)
      .toSorted((left, right) => left.running.size - right.running.size)[0];
  }

  #endReplica(replica: Replica): void {
    const { index, incarnation, running } = replica;
    const id = toId<VmId>(`i-${index}-${incarnation}`);
    const cutOff = [...running];
    replica.isUp = false;
    replica.incarnation += 1;
    replica.running = new Set();
    this.crashes.push(this.#clock.now());
    this.#clock.startTimer(RETURN_MS, () => replica.isUp = true);
    for (const request of cutOff) {
      void this.fleet.getQuarantine(request.vm).noteConnectionLoss(
        request.keys,
        {
          id,
          incarnation: toId<Incarnation>(id),
          hadOutput: request.beganAt !== undefined,
          sentAt: request.sentAt,
        },
      );
      this.#clock.startTimer(CHECK_MS, () => this.#retry(request));
    }
  }

  #retry(request: RunningRequest): void {
    const quarantine = this.fleet.getQuarantine(request.vm);
    const mayRetry = request.sends < MAX_SENDS &&
      quarantine.findHold(request.keys) === undefined &&
      !quarantine.isAccused(request.keys);
    if (mayRetry) this.#send(request);
    else this.#endFailed(request);
  }

  /** Its caller sends it again, to any VM. */
  #endFailed(request: RunningRequest): void {
    if (request.tries >= CALLER_TRIES) {
      if (request.poison === undefined) this.sound.failed += 1;
      return;
    }
    request.tries += 1;
    request.sends = 0;
    request.vm = this.#random.nextInt(this.#options.vms);
    this.#clock.startTimer(CALLER_WAIT_MS, () => this.#send(request));
  }
}
