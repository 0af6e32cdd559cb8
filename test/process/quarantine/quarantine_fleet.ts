/**
 * The quarantines of several VMs that tell each other over lossy links, in
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
import { SilentLog } from "../../../src/process/log.ts";
import {
  RequestQuarantine,
  type SuspectEntry,
  SuspectNews,
} from "../../../src/process/quarantine/index.ts";
import { type Random, SeededRandom } from "../../../src/process/random.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

/** One way between two VMs. */
const DELAY_MS = 1;

interface TestVm {
  index: number;
  quarantine: RequestQuarantine;
  news: SuspectNews<number>;
  isUp: boolean;
}

/** Quarantines that hear of each other's evidence. */
export class QuarantineFleet {
  readonly clock = VirtualClock.create();
  readonly random: Random;
  readonly #vms: TestVm[] = [];
  readonly #lostShare: number;
  #replicas = 0;
  /** What a check finds of a replica whose connection broke. */
  areReplicasUp = false;
  /** Whether datagrams go from the first VM to the second. */
  isCut: (from: number, to: number) => boolean = () => false;

  constructor(options: { vms: number; seed: number; lostShare: number }) {
    this.random = SeededRandom.create(options.seed);
    this.#lostShare = options.lostShare;
    for (let index = 0; index < options.vms; index++) this.startVm(index);
  }

  static create(
    options: { vms: number; seed?: number; lostShare?: number },
  ): QuarantineFleet {
    return new QuarantineFleet({ seed: 1, lostShare: 0, ...options });
  }

  /** Starts a VM that knows nothing, in the place of the one before. */
  startVm(index: number): void {
    this.stopVm(index);
    const { clock } = this;
    const vm: TestVm = {
      index,
      isUp: true,
      quarantine: RequestQuarantine.create({
        clock,
        log: SilentLog.create(),
        isListening: () => Promise.resolve(this.areReplicasUp),
        announce: (entries) => vm.news.announce(entries),
      }),
      news: SuspectNews.create({
        clock,
        random: this.random,
        listPeers: () => this.#listPeers(index),
        send: (to, entries) =>
          to.forEach((peer) => this.#send(vm, peer, entries)),
        listEntries: (count) => vm.quarantine.listEntries(count),
      }),
    };
    this.#vms[index] = vm;
    vm.news.start();
  }

  stopVm(index: number): void {
    const vm = this.#vms[index];
    if (vm === undefined) return;
    vm.isUp = false;
    vm.news.stop();
  }

  getQuarantine(index: number): RequestQuarantine {
    return this.#vms[index]!.quarantine;
  }

  /** Whether each VM that is up holds the request back. */
  isHeldByAll(request: RequestFingerprint): boolean {
    return this.#vms.filter(({ isUp }) => isUp)
      .every(({ quarantine }) => quarantine.getQuarantineMs(request) > 0);
  }

  /** A replica's connections break under these requests of these VMs. */
  endReplica(
    requests: [vm: number, request: RequestFingerprint][],
    hadOutput = true,
  ): void {
    this.#replicas += 1;
    const id = toId<VmId>(`i-${this.#replicas}`);
    const incarnation = toId<Incarnation>(id);
    for (const [vm, request] of requests) {
      void this.getQuarantine(vm).noteConnectionLoss(request, {
        id,
        incarnation,
        hadOutput,
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
    entries: readonly SuspectEntry[],
  ): void {
    const isLost = this.random.next() < this.#lostShare ||
      this.isCut(from.index, to) || !from.isUp;
    if (isLost) return;
    const receiver = this.#vms[to]!;
    this.clock.startTimer(DELAY_MS, () => {
      if (!receiver.isUp) return;
      const name = String(from.index);
      const better = receiver.quarantine.mergeEntries(name, entries);
      if (better.length > 0) this.#send(receiver, from.index, better);
    });
  }
}
