/**
 * Quarantines of several VMs that exchange evidence over lossy links, in
 * virtual time.
 *
 * @module
 */
import {
  type Incarnation,
  type RequestFingerprint,
  toId,
  type VmId,
} from "../../../src/ids.ts";
import type { RequestKeys } from "../../../src/process/crash_quarantine.ts";
import { SilentLog } from "../../../src/process/log.ts";
import {
  type CrashNews,
  isEmptyNews,
  RequestQuarantine,
  SuspectGossip,
} from "../../../src/process/quarantine/index.ts";
import { type Random, SeededRandom } from "../../../src/process/random.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

/** Replicas of the pool. */
const REPLICAS = 14;
/** One-way delay between two VMs. */
const DELAY_MS = 1;

interface TestVm {
  index: number;
  quarantine: RequestQuarantine;
  gossip: SuspectGossip<number>;
  isUp: boolean;
}

/** The keys of a request without shared parts. */
export function toKeys(fingerprint: RequestFingerprint): RequestKeys {
  return { fingerprint, parts: [] };
}

/** Quarantines of VMs that exchange evidence. */
export class QuarantineFleet {
  readonly clock = VirtualClock.create();
  readonly random: Random;
  readonly #vms: TestVm[] = [];
  readonly #lossRate: number;
  #replicas = 0;
  /** Result of the check of a replica whose connection broke. */
  areReplicasUp = false;
  /** Whether datagrams from the first VM to the second are lost. */
  isLinkDown: (from: number, to: number) => boolean = () => false;

  constructor(options: { vms: number; seed: number; lossRate: number }) {
    this.random = SeededRandom.create(options.seed);
    this.#lossRate = options.lossRate;
    for (let index = 0; index < options.vms; index++) this.startVm(index);
  }

  static create(
    options: { vms: number; seed?: number; lossRate?: number },
  ): QuarantineFleet {
    return new QuarantineFleet({ seed: 1, lossRate: 0, ...options });
  }

  /** Starts a VM without any evidence, in place of the previous one. */
  startVm(index: number): void {
    this.stopVm(index);
    const { clock } = this;
    const vm: TestVm = {
      index,
      isUp: true,
      quarantine: RequestQuarantine.create({
        clock,
        log: SilentLog.create(),
        random: this.random,
        countReplicas: () => REPLICAS,
        hasCrashed: () => Promise.resolve(!this.areReplicasUp),
        announce: (news) => vm.gossip.announce(news),
      }),
      gossip: SuspectGossip.create({
        clock,
        random: this.random,
        listPeers: () => this.#listPeers(index),
        send: (to, news) => to.forEach((peer) => this.#send(vm, peer, news)),
        listNews: (count) => vm.quarantine.listNews(count),
      }),
    };
    this.#vms[index] = vm;
    vm.gossip.start();
  }

  stopVm(index: number): void {
    const vm = this.#vms[index];
    if (vm === undefined) return;
    vm.isUp = false;
    vm.gossip.stop();
  }

  getQuarantine(index: number): RequestQuarantine {
    return this.#vms[index]!.quarantine;
  }

  /** Whether every VM that is up holds the request. */
  isHeldByAll(request: RequestFingerprint): boolean {
    return this.#vms.filter(({ isUp }) => isUp)
      .every(({ quarantine }) => quarantine.getQuarantineMs(request) > 0);
  }

  /** Breaks a replica's connections under these requests of these VMs. */
  endReplica(
    requests: [vm: number, request: RequestFingerprint][],
    hadOutput = true,
  ): void {
    this.#replicas += 1;
    const id = toId<VmId>(`i-${this.#replicas}`);
    const incarnation = toId<Incarnation>(id);
    for (const [vm, request] of requests) {
      void this.getQuarantine(vm).noteConnectionLoss(toKeys(request), {
        id,
        incarnation,
        hadOutput,
        sentAt: this.clock.now(),
      });
    }
  }

  #listPeers(own: number): number[] {
    return this.#vms.filter(({ index, isUp }) => isUp && index !== own)
      .map(({ index }) => index);
  }

  #send(
    from: TestVm,
    to: number,
    news: CrashNews,
  ): void {
    const isLost = this.random.next() < this.#lossRate ||
      this.isLinkDown(from.index, to) || !from.isUp;
    if (isLost) return;
    const receiver = this.#vms[to]!;
    this.clock.startTimer(DELAY_MS, () => {
      if (!receiver.isUp) return;
      const name = String(from.index);
      const newer = receiver.quarantine.mergeNews(name, news);
      if (!isEmptyNews(newer)) this.#send(receiver, from.index, newer);
    });
  }
}
