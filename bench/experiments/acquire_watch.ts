/**
 * Intercepts the acquire calls to the owners of a fleet: changes their ages as
 * if the VMs had exchanged ages or clock times, and records the answers.
 *
 * @module
 */
import type { TicketId, VmId } from "../../src/ids.ts";
import type { Clock } from "../../src/process/clock.ts";
import type { AcquireAnswer, AcquireCall } from "../../src/process/peer_api.ts";
import type { ShardOwners } from "../../src/process/scheduler/index.ts";
import type { WatchedTicket } from "./grant_order.ts";

/**
 * Refusals earlier than the true deadline by at most this are not counted as
 * false, because the owner checks its queue once per tick.
 */
const OWNER_TICK_MS = 100;

/** How VMs exchange times. */
export type TimeForm =
  /** As in production: ages, which do not include the network delay. */
  | { kind: "ages" }
  /** Clock times; each VM's clock is ahead of the true time by its offset. */
  | { kind: "clock_times"; offsets: ReadonlyMap<VmId, number> };

/** Options of a watch. */
export interface AcquireWatchOptions {
  clock: Clock;
  form: TimeForm;
  /** One-way delay between two VMs, in milliseconds. */
  getDelay: (from: VmId, to: VmId) => number;
}

/** Refusals with `deadline_unreachable` in one run. */
export interface LateRefusals {
  all: number;
  /** Refused from the queue, before the true deadline. */
  tooEarlyInQueue: number;
  /** Refused on arrival, by an owner that overestimated the request's age. */
  doubtfulOnComing: number;
}

/** Records the tickets that reached the watched owners. */
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

  /** Intercepts the calls to the owners of `vm`. */
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
    // The queue position of a resumed stream does not depend on its arrival.
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
    // An age is never negative: a receiver of clock times would clamp it.
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
