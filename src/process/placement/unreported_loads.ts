/**
 * Load that this VM placed for other VMs and that their reports do not include
 * yet.
 *
 * No VM counts a request between the answer to a placement request and the next
 * heartbeat of the requesting VM. Without this, all placement requests in that
 * time would go to the replica that looked best before the first.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { LoadTotals, type ReplicaLoad } from "./load_totals.ts";

/**
 * A requesting VM reports its load some 25 ms later; one that has not reported
 * after this time is gone or has lost the answer.
 */
const MAX_AGE_MS = 1_000;

interface UnreportedPlacement {
  vm: VmId;
  number: number;
  replica: VmId;
  load: ReplicaLoad;
  placedAt: number;
}

/**
 * Placements by VM and request number, until the VM's own heartbeat includes
 * them.
 */
export class UnreportedLoads {
  readonly #clock: Clock;
  readonly #totals = LoadTotals.create();
  /** In the order in which they were added. */
  readonly #placements = new Set<UnreportedPlacement>();
  readonly #byVm = new Map<VmId, Set<UnreportedPlacement>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): UnreportedLoads {
    return new UnreportedLoads(clock);
  }

  /** Counts what was placed for placement request `number` of `vm`. */
  add(vm: VmId, number: number, placed: { replica: VmId; load: ReplicaLoad }) {
    const placement = { vm, number, ...placed, placedAt: this.#clock.now() };
    const ofVm = this.#byVm.get(vm) ?? new Set();
    this.#byVm.set(vm, ofVm);
    ofVm.add(placement);
    this.#placements.add(placement);
    this.#totals.add(placed.replica, placed.load);
  }

  /**
   * Removes what the loads reported by `vm` include: all its placement requests
   * up to `lastRequest` but those in `openRequests`, which it had no answer to or
   * no lease for.
   */
  settle(vm: VmId, lastRequest: number, openRequests: readonly number[]): void {
    for (const placement of this.#byVm.get(vm) ?? []) {
      const isOpen = openRequests.includes(placement.number);
      if (placement.number <= lastRequest && !isOpen) this.#drop(placement);
    }
  }

  /** Removes what was placed for one placement request. */
  remove(vm: VmId, number: number): void {
    for (const placement of this.#byVm.get(vm) ?? []) {
      if (placement.number === number) this.#drop(placement);
    }
  }

  get(replica: VmId): Readonly<ReplicaLoad> {
    this.#dropExpired();
    return this.#totals.get(replica);
  }

  #dropExpired(): void {
    const oldest = this.#clock.now() - MAX_AGE_MS;
    for (const placement of this.#placements) {
      if (placement.placedAt >= oldest) return;
      this.#drop(placement);
    }
  }

  #drop(placement: UnreportedPlacement): void {
    const ofVm = this.#byVm.get(placement.vm);
    ofVm?.delete(placement);
    if (ofVm?.size === 0) this.#byVm.delete(placement.vm);
    this.#placements.delete(placement);
    this.#totals.remove(placement.replica, placement.load);
  }
}
