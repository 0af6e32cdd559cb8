/**
 * Channels between VMs that lose, repeat and delay messages.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import type { Clock } from "../../src/process/clock.ts";
import type { PeerApi } from "../../src/process/peer_api.ts";
import type { Random } from "../../src/process/random.ts";
import { FakePeers } from "./request_fakes.ts";

const CALL_TIMEOUT_MS = 500;

/** How often each fault comes, 0 to 1. */
export interface ChannelFaults {
  loseCall: number;
  loseAnswer: number;
  repeatCall: number;
  delayCall: number;
  maxDelayMs: number;
}

/** Peers behind channels that misbehave. */
export class LossyPeers extends FakePeers {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #faults: ChannelFaults;

  constructor(clock: Clock, random: Random, faults: ChannelFaults) {
    super();
    this.#clock = clock;
    this.#random = random;
    this.#faults = faults;
  }

  override getPeer(vm: VmId): PeerApi {
    const peer: Pick<PeerApi, "claimRun" | "settleRun" | "findFate"> = {
      claimRun: (call) => this.#send(vm, (target) => target.claimRun(call)),
      settleRun: (call) => this.#send(vm, (target) => target.settleRun(call)),
      findFate: (call) => this.#send(vm, (target) => target.findFate(call)),
    };
    return peer as PeerApi;
  }

  async #send<T>(
    vm: VmId,
    deliver: (target: PeerApi) => Promise<T>,
  ): Promise<T> {
    const faults = this.#faults;
    const arrive = async () => {
      if (this.#isDrawn(faults.delayCall)) await this.#sleepSome();
      return await deliver(super.getPeer(vm));
    };
    if (this.#isDrawn(faults.repeatCall)) {
      // The repeat may come long after the call itself is over.
      this.#sleepSome().then(() => deliver(super.getPeer(vm))).catch(() => {});
    }
    if (this.#isDrawn(faults.loseCall)) return await this.#waitForNothing();
    const answer = arrive();
    answer.catch(() => {});
    if (this.#isDrawn(faults.loseAnswer)) return await this.#waitForNothing();
    return await Promise.race([answer, this.#waitForNothing()]);
  }

  #isDrawn(share: number): boolean {
    return this.#random.next() < share;
  }

  #sleepSome(): Promise<void> {
    return this.#clock.sleep(this.#random.nextInt(this.#faults.maxDelayMs));
  }

  async #waitForNothing(): Promise<never> {
    await this.#clock.sleep(CALL_TIMEOUT_MS);
    throw new Error("Call timed out");
  }
}
