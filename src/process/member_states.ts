/**
 * States of the other entry VMs as this VM knows them, and the state that it
 * reports about itself.
 *
 * The rules are those of SWIM: a suspect has a certain time to refute the
 * suspicion with a higher counter; after that it is considered dead.
 *
 * @module
 */
import type { Incarnation, VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import type { MemberUpdate, PeerIdentity } from "./peer_api.ts";

/** Stands for an incarnation that is not known. */
export const UNKNOWN_INCARNATION = "?" as Incarnation;

const STATE_ORDER = { alive: 0, suspect: 1, dead: 2 } as const;

type Liveness = keyof typeof STATE_ORDER;

interface MemberRecord {
  incarnation: Incarnation;
  state: Liveness;
  /** Announced by the VM itself; final for its incarnation. */
  draining: boolean;
  counter: number;
  suspectedAt: number;
}

/** What a VM reports about itself in each message. */
export interface SelfReport {
  from: PeerIdentity;
  counter: number;
  draining: boolean;
}

/** Member states; a VM without an entry is considered alive. */
export class MemberStates {
  readonly #self: PeerIdentity;
  readonly #clock: Clock;
  readonly #onUpdate: (update: MemberUpdate) => void;
  readonly #members = new Map<VmId, MemberRecord>();
  #counter = 0;
  #draining = false;

  constructor(
    options: {
      self: PeerIdentity;
      clock: Clock;
      onUpdate: (update: MemberUpdate) => void;
    },
  ) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#onUpdate = options.onUpdate;
  }

  /** `onUpdate` is called with each state change, for the gossip. */
  static create(
    options: {
      self: PeerIdentity;
      clock: Clock;
      onUpdate: (update: MemberUpdate) => void;
    },
  ): MemberStates {
    return new MemberStates(options);
  }

  /** What this VM reports about itself. */
  getSelfReport(): SelfReport {
    return {
      from: this.#self,
      counter: this.#counter,
      draining: this.#draining,
    };
  }

  startDraining(): void {
    if (this.#draining) return;
    this.#draining = true;
    this.#announceSelf();
  }

  isDead(vm: VmId): boolean {
    return this.#members.get(vm)?.state === "dead";
  }

  isDraining(vm: VmId): boolean {
    if (vm === this.#self.vm) return this.#draining;
    return this.#members.get(vm)?.draining ?? false;
  }

  /** The state of `vm` if it is suspected or dead. */
  findSuspicion(vm: VmId): MemberUpdate | undefined {
    const record = this.#members.get(vm);
    if (record === undefined || record.state === "alive") return undefined;
    return toUpdate(vm, record);
  }

  /** Applies what a VM just reported about itself. */
  applySelfReport(report: SelfReport): void {
    const { vm, incarnation } = report.from;
    if (vm === this.#self.vm) return;
    const record = this.#members.get(vm);
    // A delayed duplicate must not overwrite a newer state, and a suspicion
    // ends only with the higher counter of its refutation.
    const isSameIncarnation = record?.incarnation === incarnation;
    if (isSameIncarnation && report.counter <= record.counter) return;
    const isDefault = record === undefined && !report.draining &&
      report.counter === 0;
    this.#put(vm, {
      incarnation,
      state: "alive",
      draining: report.draining,
      counter: report.counter,
      suspectedAt: 0,
    }, isDefault);
  }

  /** Applies an update that another VM forwarded. */
  applyUpdate(update: MemberUpdate): void {
    if (update.vm === this.#self.vm) this.#handleSuspicion(update);
    else if (this.#isNew(update)) this.#put(update.vm, this.#toRecord(update));
  }

  /** Records that `vm` answered neither a direct nor an indirect probe. */
  noteProbeFailure(vm: VmId): void {
    const record = this.#members.get(vm);
    if (record === undefined) {
      // No message of this VM was ever received, so its incarnation is unknown.
      const incarnation = UNKNOWN_INCARNATION;
      this.#put(
        vm,
        this.#toRecord({
          vm,
          incarnation,
          state: "suspect",
          counter: 0,
        }),
      );
    } else if (record.state === "alive") {
      this.#put(vm, {
        ...record,
        state: "suspect",
        suspectedAt: this.#clock.now(),
      });
    }
  }

  /**
   * Declares suspects dead that were not cleared within `suspicionMs`, and
   * returns them.
   */
  applySuspicionTimeout(suspicionMs: number): VmId[] {
    const now = this.#clock.now();
    const dead: VmId[] = [];
    for (const [vm, record] of this.#members) {
      if (record.state !== "suspect") continue;
      if (now - record.suspectedAt < suspicionMs) continue;
      this.#put(vm, { ...record, state: "dead" });
      dead.push(vm);
    }
    return dead;
  }

  /**
   * Restarts the suspicion timeout of every suspect after this VM was paused.
   */
  restartSuspicions(): void {
    for (const record of this.#members.values()) {
      record.suspectedAt = this.#clock.now();
    }
  }

  /** Removes the VMs that are not in `listed`. */
  removeUnlisted(listed: ReadonlySet<VmId>): void {
    for (const vm of this.#members.keys()) {
      if (!listed.has(vm)) this.#members.delete(vm);
    }
  }

  #handleSuspicion(update: MemberUpdate): void {
    const isCurrent = update.incarnation === this.#self.incarnation ||
      update.incarnation === UNKNOWN_INCARNATION;
    const isSuspicion = update.state === "suspect" || update.state === "dead";
    if (!isCurrent || !isSuspicion || update.counter < this.#counter) return;
    this.#counter = update.counter;
    this.#announceSelf();
  }

  #announceSelf(): void {
    this.#counter += 1;
    this.#onUpdate({
      ...this.#self,
      state: this.#draining ? "draining" : "alive",
      counter: this.#counter,
    });
  }

  #isNew(update: MemberUpdate): boolean {
    const record = this.#members.get(update.vm);
    if (record === undefined) return true;
    const state = toLiveness(update);
    if (record.incarnation === update.incarnation) {
      if (update.counter !== record.counter) {
        return update.counter > record.counter;
      }
      if (STATE_ORDER[state] !== STATE_ORDER[record.state]) {
        return STATE_ORDER[state] > STATE_ORDER[record.state];
      }
      return update.state === "draining" && !record.draining;
    }
    // Incarnations have no order. A suspicion of another incarnation does not
    // apply to the known one. A live state of another incarnation applies only
    // if the known one is suspected or dead; otherwise the VM's own next
    // message decides.
    return state === "alive" && record.state !== "alive";
  }

  #toRecord(update: MemberUpdate): MemberRecord {
    const known = this.#members.get(update.vm);
    const isSameIncarnation = known?.incarnation === update.incarnation;
    return {
      incarnation: update.incarnation,
      state: toLiveness(update),
      draining: update.state === "draining" ||
        (isSameIncarnation && known.draining),
      counter: update.counter,
      suspectedAt: this.#clock.now(),
    };
  }

  #put(vm: VmId, record: MemberRecord, isDefault = false): void {
    this.#members.set(vm, record);
    if (!isDefault) this.#onUpdate(toUpdate(vm, record));
  }
}

function toLiveness(update: MemberUpdate): Liveness {
  return update.state === "draining" ? "alive" : update.state;
}

function toUpdate(vm: VmId, record: MemberRecord): MemberUpdate {
  const isDraining = record.state === "alive" && record.draining;
  return {
    vm,
    incarnation: record.incarnation,
    state: isDraining ? "draining" : record.state,
    counter: record.counter,
  };
}
