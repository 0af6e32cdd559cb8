/**
 * Observes the calls to shard owners: which requests wait, are granted, shed or
 * preempted, and in what order.
 *
 * @module
 */
import type { User } from "../../bench/support/example_records.ts";
import type { LogFields } from "../../src/process/log.ts";
import type { Clock } from "../../src/process/clock.ts";
import type {
  AcquireAnswer,
  AcquireCall,
  SlotLease,
  SyncAnswer,
  SyncCall,
} from "../../src/process/peer_api.ts";
import { getClassRank } from "../../src/version/records.ts";
import type { Disturbance, Disturbances } from "./disturbances.ts";
import { getRank, listClasses } from "./fuzz_request.ts";
import type { FuzzVm } from "./fuzz_vm.ts";

/** Disturbances that may delay an owner besides the load. */
const DELAYING_DISTURBANCES: readonly Disturbance[] = [
  "link",
  "loss",
  "paused",
  "killed",
  "drain",
  "list",
  "version",
  "upstream",
];
/** A holder learns of a preemption at its next renewal, or not at all. */
const PREEMPTION_NOTICE_MS = 7_000;
/** Tolerance for a takeover, its settling and one slot. */
const WAIT_TOLERANCE_MS = 6_000;

/** A violated scheduling rule. */
export interface QueueViolation {
  invariant: "higher_tier_shed" | "preempted_for_lower_tier" | "starved";
  detail: string;
}

interface WaitingTicket {
  vm: FuzzVm;
  call: AcquireCall;
  rank: number;
  since: number;
  /** Whether the owner currently holds a call of the ticket. */
  isHeld: boolean;
  seenAt: number;
}

interface RunningLease {
  upstream: string;
  rank: number;
  className: string;
  shard: string;
  vm: FuzzVm;
}

/** Observes every call that reaches an owner. */
export class QueueObserver {
  readonly violations: QueueViolation[] = [];
  /** Counts that show which cases a run covered. */
  readonly counts = { granted: 0, shed: 0, preempted: 0 };
  readonly #clock: Clock;
  readonly #waiting = new Map<string, WaitingTicket>();
  readonly #leases = new Map<string, RunningLease>();
  readonly #preempted = new Set<string>();
  /** By owner and shard: when each rank last had a request waiting. */
  readonly #waitedAt = new Map<string, Map<number, number>>();
  /** By owner and upstream: the rank whose slot was just released. */
  readonly #freed = new Map<string, { rank: number; at: number }>();
  /** By owner and class: the last grant or refusal, or the first wait. */
  readonly #progressAt = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): QueueObserver {
    return new QueueObserver(clock);
  }

  /** Wraps the shard owners of a VM. */
  watch(vm: FuzzVm): void {
    const { owners } = vm.runtime;
    const acquire = owners.acquire.bind(owners);
    const sync = owners.syncLeases.bind(owners);
    owners.acquire = async (call) => {
      const key = this.#noteCall(vm, call);
      const answer = await acquire(call);
      this.#noteAnswer(key, answer);
      return answer;
    };
    owners.syncLeases = (call) => {
      this.#noteReleases(vm, call);
      const answer = sync(call);
      this.#noteSync(vm, call, answer);
      return answer;
    };
  }

  /** Checks the classes of a preemption that an owner logged. */
  notePreemption(user: User, fields: LogFields): void {
    const preempted = getRankOf(user, fields["class"]);
    const preempting = getRankOf(user, fields["for_class"]);
    if (preempting < preempted) return;
    this.violations.push({
      invariant: "preempted_for_lower_tier",
      detail: `${fields["class"]} was preempted for ${fields["for_class"]}`,
    });
  }

  /** Checks undisturbed waits of each class against its bound. */
  checkWaits(disturbances: Disturbances): void {
    const now = this.#clock.now();
    const undisturbedSince = disturbances.getUndisturbedSince(
      DELAYING_DISTURBANCES,
    );
    for (const ticket of this.#waiting.values()) this.#noteWaiting(ticket);
    for (const [key, ticket] of this.#waiting) {
      if (ticket.vm.isDead || now - ticket.seenAt > 5_000) {
        this.#waiting.delete(key);
        continue;
      }
      this.#checkWait(ticket, { now, undisturbedSince });
    }
  }

  #checkWait(
    ticket: WaitingTicket,
    times: { now: number; undisturbedSince: number },
  ): void {
    const { vm, call } = ticket;
    const className = call.className;
    const requestClass = vm.runtime.getSnapshot()?.classes.get(className);
    if (requestClass === undefined || !ticket.isHeld) return;
    const progressAt = this.#progressAt.get(formatClassKey(ticket)) ?? 0;
    const since = Math.max(ticket.since, progressAt, times.undisturbedSince);
    const waitedMs = times.now - since;
    if (waitedMs <= requestClass.maxWaitMs + WAIT_TOLERANCE_MS) return;
    this.violations.push({
      invariant: "starved",
      detail: `${className} at ${vm.id} made no progress for ${waitedMs} ms`,
    });
    this.#progressAt.set(formatClassKey(ticket), times.now);
  }

  #noteCall(vm: FuzzVm, call: AcquireCall): string {
    const key = `${vm.incarnation} ${call.ticket}`;
    const now = this.#clock.now();
    const known = this.#waiting.get(key);
    const snapshot = vm.runtime.getSnapshot();
    const rank = snapshot ? getClassRank(snapshot, call.className) : 0;
    const since = known?.since ?? now;
    const ticket = { vm, call, rank, since, isHeld: true, seenAt: now };
    this.#waiting.set(key, ticket);
    this.#noteWaiting(ticket);
    return key;
  }

  #noteAnswer(key: string, answer: AcquireAnswer): void {
    const ticket = this.#waiting.get(key);
    if (ticket === undefined) return;
    ticket.seenAt = this.#clock.now();
    this.#noteWaiting(ticket);
    if (answer.kind === "queued") {
      ticket.isHeld = false;
      return;
    }
    this.#waiting.delete(key);
    this.#progressAt.set(formatClassKey(ticket), this.#clock.now());
    if (answer.kind === "granted") {
      this.counts.granted++;
      this.#noteGrant(ticket, answer.lease);
    }
    if (answer.kind === "refused" && answer.refusal.code === "shed") {
      this.counts.shed++;
      this.#checkShed(ticket);
    }
  }

  #noteWaiting(ticket: WaitingTicket): void {
    const key = `${ticket.vm.incarnation} ${ticket.call.shard}`;
    const byRank = this.#waitedAt.get(key) ?? new Map<number, number>();
    this.#waitedAt.set(key, byRank);
    byRank.set(ticket.rank, this.#clock.now());
  }

  #noteGrant(ticket: WaitingTicket, slot: SlotLease): void {
    const { rank, vm, call } = ticket;
    const { lease, upstream, shard } = slot;
    const { className } = call;
    this.#leases.set(lease, { rank, vm, className, shard, upstream });
    const freedKey = `${vm.incarnation} ${upstream}`;
    const freed = this.#freed.get(freedKey);
    this.#freed.delete(freedKey);
    if (freed === undefined || freed.at !== this.#clock.now()) return;
    if (rank <= freed.rank) return;
    const higher = this.#listAt(vm, shard)
      .find((other) => other.rank < freed.rank && other.isHeld);
    if (higher === undefined) return;
    this.violations.push({
      invariant: "preempted_for_lower_tier",
      detail: `A slot of rank ${freed.rank} was preempted at ${vm.id} and ` +
        `granted to ${className} while ${higher.call.className} waited`,
    });
  }

  /** Checks that no request of a lower tier was waiting before the shed one. */
  #checkShed(shed: WaitingTicket): void {
    const now = this.#clock.now();
    const lower = this.#listAt(shed.vm, shed.call.shard).find((other) =>
      other.isHeld && other.since < now && other.rank > shed.rank
    );
    if (lower === undefined) return;
    this.violations.push({
      invariant: "higher_tier_shed",
      detail: `${shed.call.className} was shed at ${shed.vm.id} while ` +
        `${lower.call.className} waited`,
    });
  }

  #noteSync(vm: FuzzVm, call: SyncCall, answer: SyncAnswer): void {
    for (const lease of answer.preempt) {
      if (this.#preempted.has(lease)) continue;
      this.#preempted.add(lease);
      this.counts.preempted++;
      this.#checkPreemption(vm, lease);
    }
    for (const ticket of call.withdrawn) {
      this.#waiting.delete(`${vm.incarnation} ${ticket}`);
    }
  }

  /** Notes slots released by preemption, before the owner handles the call. */
  #noteReleases(vm: FuzzVm, call: SyncCall): void {
    for (const { lease, state, upstream } of call.news) {
      const known = this.#leases.get(lease);
      if (state === "running" || !this.#preempted.has(lease)) continue;
      if (known === undefined || known.vm !== vm) continue;
      const freed = { rank: known.rank, at: this.#clock.now() };
      this.#freed.set(`${vm.incarnation} ${upstream}`, freed);
    }
  }

  /** Checks that a request of a higher tier was waiting for the slot. */
  #checkPreemption(vm: FuzzVm, lease: string): void {
    const preempted = this.#leases.get(lease);
    if (preempted === undefined || preempted.vm !== vm) return;
    const since = this.#clock.now() - PREEMPTION_NOTICE_MS;
    const byRank = this.#waitedAt.get(`${vm.incarnation} ${preempted.shard}`);
    const hasHigher = [...byRank ?? []]
      .some(([rank, at]) => rank < preempted.rank && at >= since);
    if (hasHigher) return;
    this.violations.push({
      invariant: "preempted_for_lower_tier",
      detail:
        `${preempted.className} was preempted at ${vm.id} and no request ` +
        "of a higher tier had waited",
    });
  }

  #listAt(vm: FuzzVm, shard: string): WaitingTicket[] {
    return [...this.#waiting.values()].filter((ticket) =>
      ticket.vm === vm && ticket.call.shard === shard
    );
  }
}

function formatClassKey(ticket: WaitingTicket): string {
  const { vm, call } = ticket;
  return `${vm.incarnation} ${call.shard} ${call.className}`;
}

function getRankOf(user: User, className: unknown): number {
  return getRank(
    user,
    listClasses(user).find(({ name }) => name === className)!,
  );
}
