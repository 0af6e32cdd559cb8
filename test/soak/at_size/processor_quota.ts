/**
 * Gives processes a quota of processor time: each runs for a share of every
 * period and stands still for the rest of it, as under a scheduler's quota.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { SoakVm } from "../soak_vm.ts";

const PERIOD_MS = 100;
/** Periods of the VMs begin at so many different moments. */
const PHASES = 10;

/** Stops and continues VMs until it is ended. */
export class ProcessorQuota {
  readonly #vms: readonly SoakVm[];
  readonly #runMs: number;
  #isEnded = false;
  #maxHeldMs = 0;

  constructor(vms: readonly SoakVm[], share: number) {
    this.#vms = vms;
    this.#runMs = share * PERIOD_MS;
  }

  /** `share` is the part of each period in which a VM runs; 1 for all of it. */
  static create(vms: readonly SoakVm[], share: number): ProcessorQuota {
    return new ProcessorQuota(vms, share);
  }

  /**
   * The longest time for which VMs stood still, in milliseconds: far longer than
   * a period where this process itself got too little processor time.
   */
  get maxHeldMs(): number {
    return this.#maxHeldMs;
  }

  /** Applies the quota until `end`. */
  async run(): Promise<void> {
    if (this.#runMs >= PERIOD_MS) return;
    const phases = Array.from({ length: PHASES }, (_, phase) => phase);
    await Promise.all(phases.map((phase) => this.#runPhase(phase)));
  }

  end(): void {
    this.#isEnded = true;
  }

  async #runPhase(phase: number): Promise<void> {
    const vms = this.#vms.filter((_vm, index) => index % PHASES === phase);
    await sleep(phase * PERIOD_MS / PHASES);
    while (!this.#isEnded) {
      vms.forEach((vm) => vm.resume());
      await sleep(this.#runMs);
      vms.forEach((vm) => vm.hold());
      const heldAt = performance.now();
      await sleep(PERIOD_MS - this.#runMs);
      const heldMs = performance.now() - heldAt;
      this.#maxHeldMs = Math.max(this.#maxHeldMs, heldMs);
    }
    vms.forEach((vm) => vm.resume());
  }
}
