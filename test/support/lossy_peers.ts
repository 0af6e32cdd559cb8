/**
 * Channels between VMs that lose, duplicate and delay messages.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import type { Clock } from "../../src/process/clock.ts";
import type { PeerApi } from "../../src/process/peer_api.ts";
import type { Random } from "../../src/process/random.ts";
import { FakePeers } from "./request_fakes.ts";

const CALL_TIMEOUT_MS = 500;

/** Probability of each fault, 0 to 1. */
export interface ChannelFaults {
  loseCall: number;
  loseAnswer: number;
  repeatCall: number;
  delayCall: number;
  maxDelayMs: number;
}

/** Peers behind faulty channels. */
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
      if (this.#isDrawn(faults.delayCall)) await this.#sleepRandomTime();
      return await deliver(super.getPeer(vm));
    };
    if (this.#isDrawn(faults.repeatCall)) {
      // The duplicate may arrive long after the call itself has ended.
      this.#sleepRandomTime().then(() => deliver(super.getPeer(vm))).catch(
        () => {},
      );
    }
    if (this.#isDrawn(faults.loseCall)) return await this.#waitForTimeout();
    const answer = arrive();
    answer.catch(() => {});
    if (this.#isDrawn(faults.loseAnswer)) return await this.#waitForTimeout();
    return await Promise.race([answer, this.#waitForTimeout()]);
  }

  #isDrawn(probability: number): boolean {
    return this.#random.next() < probability;
  }

  #sleepRandomTime(): Promise<void> {
    return this.#clock.sleep(this.#random.nextInt(this.#faults.maxDelayMs));
  }

  async #waitForTimeout(): Promise<never> {
    await this.#clock.sleep(CALL_TIMEOUT_MS);
    throw new Error("Call timed out");
  }
}
