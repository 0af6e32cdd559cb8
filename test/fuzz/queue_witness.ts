/**
 * Watches the calls at the owners of shards: who waits, who is granted, who is
 * shed or preempted, in what order.
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
import type { VmLife } from "./vm_life.ts";

/** What may hold an owner up beside the load. */
const HOLD_UPS: readonly Disturbance[] = [
  "link",
  "loss",
  "paused",
  "killed",
  "drain",
  "list",
  "version",
  "upstream",
];
/** A preemption is heard of at the holder's next renewal, or never. */
const PREEMPTION_LIFE_MS = 7_000;
/** Time for a takeover, settling and one slot. */
const SLACK_MS = 6_000;

/** A broken rule, as it was seen. */
export interface QueueFault {
  promise: "higher_tier_shed" | "preempted_for_lower_tier" | "starved";
  detail: string;
}

interface WaitingTicket {
  life: VmLife;
  call: AcquireCall;
  rank: number;
  since: number;
  /** Whether a call of the ticket is held by the owner at present. */
  isHeld: boolean;
  seenAt: number;
}

interface RunningLease {
  upstream: string;
  rank: number;
  className: string;
  shard: string;
  life: VmLife;
}

/** Sees every call that reaches an owner. */
export class QueueWitness {
  readonly faults: QueueFault[] = [];
  /** Counts, so that a run shows that it met what it checks. */
  readonly counts = { granted: 0, shed: 0, preempted: 0 };
  readonly #clock: Clock;
  readonly #waiting = new Map<string, WaitingTicket>();
  readonly #leases = new Map<string, RunningLease>();
  readonly #preempted = new Set<string>();
  /** By owner and shard: when each rank last had a request waiting. */
  readonly #waitedAt = new Map<string, Map<number, number>>();
  /** By owner and upstream: the rank whose slot was just given back. */
  readonly #freed = new Map<string, { rank: number; at: number }>();
  /** By owner and class: the last grant or refusal, or the first wait. */
  readonly #progressAt = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): QueueWitness {
    return new QueueWitness(clock);
  }

  /** Puts itself before the owners of a life. */
  watch(life: VmLife): void {
    const { owners } = life.runtime;
    const acquire = owners.acquire.bind(owners);
    const sync = owners.syncLeases.bind(owners);
    owners.acquire = async (call) => {
      const key = this.#noteCall(life, call);
      const answer = await acquire(call);
      this.#noteAnswer(key, answer);
      return answer;
    };
    owners.syncLeases = (call) => {
      this.#noteReturns(life, call);
      const answer = sync(call);
      this.#noteSync(life, call, answer);
      return answer;
    };
  }

  /** Hears an owner's own word of whom it takes a slot from, and for whom. */
  notePreemption(user: User, fields: LogFields): void {
    const taken = getRankOf(user, fields["class"]);
    const taker = getRankOf(user, fields["for_class"]);
    if (taker < taken) return;
    this.faults.push({
      promise: "preempted_for_lower_tier",
      detail: `${fields["class"]} was preempted for ${fields["for_class"]}`,
    });
  }

  /** Whether the head of a class waits longer than its bound in calm times. */
  checkWaits(disturbances: Disturbances): void {
    const now = this.#clock.now();
    const calmSince = disturbances.getCalmSince(HOLD_UPS);
    for (const ticket of this.#waiting.values()) this.#noteWaiting(ticket);
    for (const [key, ticket] of this.#waiting) {
      if (ticket.life.isDead || now - ticket.seenAt > 5_000) {
        this.#waiting.delete(key);
        continue;
      }
      this.#checkWait(ticket, { now, calmSince });
    }
  }

  #checkWait(
    ticket: WaitingTicket,
    times: { now: number; calmSince: number },
  ): void {
    const { life, call } = ticket;
    const className = call.className;
    const requestClass = life.runtime.getSnapshot()?.classes.get(className);
    if (requestClass === undefined || !ticket.isHeld) return;
    const progressAt = this.#progressAt.get(formatClassKey(ticket)) ?? 0;
    const since = Math.max(ticket.since, progressAt, times.calmSince);
    const waitedMs = times.now - since;
    if (waitedMs <= requestClass.maxWaitMs + SLACK_MS) return;
    this.faults.push({
      promise: "starved",
      detail: `${className} at ${life.vm} had no progress for ${waitedMs} ms`,
    });
    this.#progressAt.set(formatClassKey(ticket), times.now);
  }

  #noteCall(life: VmLife, call: AcquireCall): string {
    const key = `${life.incarnation} ${call.ticket}`;
    const now = this.#clock.now();
    const known = this.#waiting.get(key);
    const snapshot = life.runtime.getSnapshot();
    const rank = snapshot ? getClassRank(snapshot, call.className) : 0;
    const since = known?.since ?? now;
    const ticket = { life, call, rank, since, isHeld: true, seenAt: now };
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
    const key = `${ticket.life.incarnation} ${ticket.call.shard}`;
    const byRank = this.#waitedAt.get(key) ?? new Map<number, number>();
    this.#waitedAt.set(key, byRank);
    byRank.set(ticket.rank, this.#clock.now());
  }

  #noteGrant(ticket: WaitingTicket, slot: SlotLease): void {
    const { rank, life, call } = ticket;
    const { lease, upstream, shard } = slot;
    const { className } = call;
    this.#leases.set(lease, { rank, life, className, shard, upstream });
    const freedKey = `${life.incarnation} ${upstream}`;
    const freed = this.#freed.get(freedKey);
    this.#freed.delete(freedKey);
    if (freed === undefined || freed.at !== this.#clock.now()) return;
    if (rank <= freed.rank) return;
    const higher = this.#listAt(life, shard)
      .find((other) => other.rank < freed.rank && other.isHeld);
    if (higher === undefined) return;
    this.faults.push({
      promise: "preempted_for_lower_tier",
      detail: `A slot of rank ${freed.rank} was taken back at ${life.vm} and ` +
        `given to ${className} while ${higher.call.className} waited`,
    });
  }

  /** Nothing of a lower tier may have been waiting all the while. */
  #checkShed(shed: WaitingTicket): void {
    const now = this.#clock.now();
    const favoured = this.#listAt(shed.life, shed.call.shard).find((other) =>
      other.isHeld && other.since < now && other.rank > shed.rank
    );
    if (favoured === undefined) return;
    this.faults.push({
      promise: "higher_tier_shed",
      detail: `${shed.call.className} was shed at ${shed.life.vm} while ` +
        `${favoured.call.className} waited`,
    });
  }

  #noteSync(life: VmLife, call: SyncCall, answer: SyncAnswer): void {
    for (const lease of answer.preempt) {
      if (this.#preempted.has(lease)) continue;
      this.#preempted.add(lease);
      this.counts.preempted++;
      this.#checkPreempted(life, lease);
    }
    for (const ticket of call.withdrawn) {
      this.#waiting.delete(`${life.incarnation} ${ticket}`);
    }
  }

  /** Before the owner hears of them: the slots that preemption gives back. */
  #noteReturns(life: VmLife, call: SyncCall): void {
    for (const { lease, state, upstream } of call.news) {
      const known = this.#leases.get(lease);
      if (state === "running" || !this.#preempted.has(lease)) continue;
      if (known === undefined || known.life !== life) continue;
      const freed = { rank: known.rank, at: this.#clock.now() };
      this.#freed.set(`${life.incarnation} ${upstream}`, freed);
    }
  }

  /** A request of a higher tier must have been there to have the slot. */
  #checkPreempted(life: VmLife, lease: string): void {
    const taken = this.#leases.get(lease);
    if (taken === undefined || taken.life !== life) return;
    const since = this.#clock.now() - PREEMPTION_LIFE_MS;
    const byRank = this.#waitedAt.get(`${life.incarnation} ${taken.shard}`);
    const hasHigher = [...byRank ?? []]
      .some(([rank, at]) => rank < taken.rank && at >= since);
    if (hasHigher) return;
    this.faults.push({
      promise: "preempted_for_lower_tier",
      detail: `${taken.className} was preempted at ${life.vm} and nothing of ` +
        "a higher tier had waited",
    });
  }

  #listAt(life: VmLife, shard: string): WaitingTicket[] {
    return [...this.#waiting.values()].filter((ticket) =>
      ticket.life === life && ticket.call.shard === shard
    );
  }
}

function formatClassKey(ticket: WaitingTicket): string {
  const { life, call } = ticket;
  return `${life.incarnation} ${call.shard} ${call.className}`;
}

function getRankOf(user: User, className: unknown): number {
  return getRank(
    user,
    listClasses(user).find(({ name }) => name === className)!,
  );
}
