/**
 * Work that this VM placed for other VMs and that they have not told of yet.
 *
 * Between the answer to an ask and the asking VM's next heartbeat nobody
 * counts the request. Several asks come in that time, and without this all
 * would be sent to the replica that looked best before the first.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { LoadTotals, type ReplicaLoad } from "./load_totals.ts";

/**
 * An asking VM tells of its work some 25 ms later; one that has not after so
 * long, in milliseconds, is gone or has lost the answer.
 */
const KEPT_MS = 1_000;

interface Answered {
  vm: VmId;
  ask: number;
  replica: VmId;
  load: ReplicaLoad;
  notedAt: number;
}

/** Answers by VM and ask, until the VM's own heartbeat includes them. */
export class UnreportedLoads {
  readonly #clock: Clock;
  readonly #totals = LoadTotals.create();
  /** In the order in which they were noted. */
  readonly #answers = new Set<Answered>();
  readonly #byVm = new Map<VmId, Set<Answered>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): UnreportedLoads {
    return new UnreportedLoads(clock);
  }

  /** Counts what was placed for ask number `ask` of `vm`. */
  note(vm: VmId, ask: number, placed: { replica: VmId; load: ReplicaLoad }) {
    const answered = { vm, ask, ...placed, notedAt: this.#clock.now() };
    const ofVm = this.#byVm.get(vm) ?? new Set();
    this.#byVm.set(vm, ofVm);
    ofVm.add(answered);
    this.#answers.add(answered);
    this.#totals.add(placed.replica, placed.load);
  }

  /**
   * Takes out what the loads that `vm` told include: all its asks up to
   * `lastAsk` but those in `openAsks`, whose answers it had not seen.
   */
  settle(vm: VmId, lastAsk: number, openAsks: readonly number[]): void {
    for (const answered of this.#byVm.get(vm) ?? []) {
      const isOpen = openAsks.includes(answered.ask);
      if (answered.ask <= lastAsk && !isOpen) this.#drop(answered);
    }
  }

  get(replica: VmId): Readonly<ReplicaLoad> {
    this.#dropOld();
    return this.#totals.get(replica);
  }

  #dropOld(): void {
    const oldest = this.#clock.now() - KEPT_MS;
    for (const answered of this.#answers) {
      if (answered.notedAt >= oldest) return;
      this.#drop(answered);
    }
  }

  #drop(answered: Answered): void {
    const ofVm = this.#byVm.get(answered.vm);
    ofVm?.delete(answered);
    if (ofVm?.size === 0) this.#byVm.delete(answered.vm);
    this.#answers.delete(answered);
    this.#totals.remove(answered.replica, answered.load);
  }
}
