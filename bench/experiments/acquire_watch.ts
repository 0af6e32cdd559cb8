/**
 * Stands before the owners of a fleet: passes each acquire call on as it would
 * be had the VMs exchanged clock times, and notes what became of it.
 *
 * @module
 */
import type { TicketId, VmId } from "../../src/ids.ts";
import type { Clock } from "../../src/process/clock.ts";
import type { AcquireAnswer, AcquireCall } from "../../src/process/peer_api.ts";
import type { ShardOwners } from "../../src/process/scheduler/index.ts";
import type { WatchedTicket } from "./grant_order.ts";

/**
 * Refusals within so long of the true time to give up are no false ones: the
 * owner looks at its queue once in a tick.
 */
const OWNER_TICK_MS = 100;

/** How VMs tell one another of times. */
export type TimeForm =
  /** The project's own way. The time on the wire is not counted. */
  | { kind: "ages" }
  /** Clock times; a VM's clock is its offset ahead of the true time. */
  | { kind: "clock_times"; offsets: ReadonlyMap<VmId, number> };

/** What a watch needs to know. */
export interface AcquireWatchOptions {
  clock: Clock;
  form: TimeForm;
  /** One-way delay between two VMs, in milliseconds. */
  getDelay: (from: VmId, to: VmId) => number;
}

/** Refusals of one run for want of time. */
export interface LateRefusals {
  all: number;
  /** From the queue, before the true time to give up. */
  tooEarlyInQueue: number;
  /** On coming, by an owner that took the request for older than it was. */
  doubtfulOnComing: number;
}

/** Every ticket that came to the watched owners. */
export class AcquireWatch {
  readonly refusals: LateRefusals = {
    all: 0,
    tooEarlyInQueue: 0,
    doubtfulOnComing: 0,
  };
  readonly #options: AcquireWatchOptions;
  readonly #tickets = new Map<TicketId, WatchedTicket>();
  #grants = 0;

  constructor(options: AcquireWatchOptions) {
    this.#options = options;
  }

  static create(options: AcquireWatchOptions): AcquireWatch {
    return new AcquireWatch(options);
  }

  /** Puts itself before the owners of `vm`. */
  watch(vm: VmId, owners: ShardOwners): void {
    const acquire = owners.acquire.bind(owners);
    owners.acquire = async (call) => {
      const { received, ticket } = this.#convertCall(vm, call);
      const answer = await acquire(received);
      if (ticket !== undefined) this.#noteAnswer(ticket, answer);
      return answer;
    };
  }

  listTickets(): WatchedTicket[] {
    return [...this.#tickets.values()];
  }

  #convertCall(owner: VmId, call: AcquireCall) {
    const { clock, getDelay } = this.#options;
    const from = call.from.vm;
    const wireMs = from === owner ? 0 : getDelay(from, owner);
    const ageMs = call.ageMs + wireMs;
    const errorMs = this.#computeError({ from, owner, wireMs, ageMs });
    const received = {
      ...call,
      ageMs: ageMs + errorMs,
      deadlineInMs: call.deadlineInMs - wireMs - errorMs,
    };
    // A resumed stream keeps its place by another rule than its arrival.
    if (call.doneTokens > 0) return { received, ticket: undefined };
    const ticket = this.#tickets.get(call.ticket) ?? {
      ticket: call.ticket,
      className: call.className,
      workspace: call.workspace,
      arrivedAt: clock.now() - ageMs,
      enteredAt: clock.now(),
      errorMs,
      granted: undefined,
    };
    this.#tickets.set(call.ticket, ticket);
    return { received, ticket };
  }

  #computeError(
    call: { from: VmId; owner: VmId; wireMs: number; ageMs: number },
  ): number {
    const { form } = this.#options;
    if (form.kind === "ages") return -call.wireMs;
    const { offsets } = form;
    const ahead = offsets.get(call.owner)! - offsets.get(call.from)!;
    // Nothing arrives in the future; a receiver of clock times would know.
    return Math.max(ahead, -call.ageMs);
  }

  #noteAnswer(ticket: WatchedTicket, answer: AcquireAnswer): void {
    const now = this.#options.clock.now();
    if (answer.kind === "granted") {
      ticket.granted ??= { at: now, order: this.#grants++ };
    }
    if (answer.kind !== "refused") return;
    if (answer.refusal.code !== "deadline_unreachable") return;
    this.refusals.all++;
    if (ticket.errorMs <= OWNER_TICK_MS) return;
    if (now > ticket.enteredAt) this.refusals.tooEarlyInQueue++;
    else this.refusals.doubtfulOnComing++;
  }
}
