/**
 * Sends placement requests to pool owners and matches their answers.
 *
 * @module
 */
import { startSilenceTimer } from "../../connection/silence_timer.ts";
import type { Incarnation, PoolName, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type {
  PlacementAnswerMessage,
  PlacementRequestMessage,
} from "./fleet_message.ts";
import type { FleetPeer } from "./fleet_peers.ts";

/**
 * An answer takes about 5 ms between data centres. An owner that has not
 * answered within this time is down, unreachable or overloaded.
 */
const ANSWER_TIMEOUT_MS = 40;
/**
 * An owner that left a placement request unanswered gets no more of them for
 * this time. Otherwise each request would wait for it until its heartbeats are
 * missed.
 */
const SILENT_OWNER_BACK_OFF_MS = 500;

/**
 * A VM whose request waits at an owner sends it again at this interval. That
 * finds out whether the owner still has it; an answer that was lost comes again.
 */
const RENEWAL_INTERVAL_MS = 400;
/**
 * Time for which a wait shows that replicas have no room. VMs send few calls
 * each, and the owner needs the reports of all of them.
 */
const RECENT_WAIT_MS = 10_000;

/** Placement of a request and the owner that chose it. */
export type OwnerPlacement = NonNullable<PlacementAnswerMessage["placed"]> & {
  owner: VmId;
};
/** Result of a placement request; undefined if no owner answered. */
export type PlacementResult = OwnerPlacement | "full" | "expired" | undefined;
/** Placement request without the fields that the requester fills in. */
export type PlacementRequestContent = Omit<
  PlacementRequestMessage,
  "kind" | "vm" | "ask" | "incarnation"
>;

/** How a request waits at its owner. */
export interface OwnerWait {
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
  /** Called once if the request waits at an owner. */
  onWaiting: (owner: VmId) => void;
  /**
   * Resolves once a placement counts in this VM's own load, or is not used;
   * omitted where that is so at once.
   */
  settled?: Promise<void>;
}

/** Options of `PlacementRequester`. */
export interface PlacementRequesterOptions {
  vm: VmId;
  incarnation: Incarnation;
  clock: Clock;
  log: Log;
  /** Owners to ask for a pool in order, without this VM. */
  listOwners: (pool: PoolName) => readonly FleetPeer[];
  send: (to: FleetPeer, message: PlacementRequestMessage) => void;
}

/** A placement request that has not been settled. */
interface PendingRequest {
  /** Handles an answer from the owner. */
  onAnswer: (answer: PlacementAnswerMessage) => void;
  isWaiting: boolean;
}

/** Sends placement requests and waits for their answers. */
export class PlacementRequester {
  readonly #options: PlacementRequesterOptions;
  readonly #pending = new Map<number, PendingRequest>();
  /** Placed requests that this VM's own load does not include yet. */
  readonly #unsettled = new Set<number>();
  readonly #avoidedUntil = new Map<VmId, number>();
  #lastRequest = 0;
  #lastWaitAt = -Infinity;

  constructor(options: PlacementRequesterOptions) {
    this.#options = options;
  }

  static create(options: PlacementRequesterOptions): PlacementRequester {
    return new PlacementRequester(options);
  }

  /**
   * Placement requests that this VM's reported loads include, for the
   * heartbeat.
   */
  get requestNumbers(): { lastAsk: number; openAsks: number[] } {
    const openAsks = [...this.#pending.keys(), ...this.#unsettled];
    return { lastAsk: this.#lastRequest, openAsks };
  }

  /** Whether a request of this VM has waited at an owner lately. */
  hasRecentWaits(): boolean {
    return this.#options.clock.now() - this.#lastWaitAt < RECENT_WAIT_MS;
  }

  /** Placement requests that wait at an owner. */
  listWaiting(): number[] {
    return [...this.#pending].filter(([, { isWaiting }]) => isWaiting)
      .map(([number]) => number);
  }

  /**
   * Requests a placement from each owner in turn. Resolves to undefined if no
   * owner answers in time or there is none to ask.
   */
  async fetchPlacement(
    content: PlacementRequestContent,
    wait: OwnerWait,
  ): Promise<PlacementResult> {
    const sentAt = this.#options.clock.now();
    for (const owner of this.#options.listOwners(content.pool)) {
      const { vm } = owner.heartbeat;
      const avoidedUntil = this.#avoidedUntil.get(vm) ?? 0;
      if (avoidedUntil > this.#options.clock.now()) continue;
      const answer = await this.#sendRequest(owner, { content, sentAt, wait });
      if (wait.signal.aborted) return undefined;
      if (answer?.placed !== undefined) return { ...answer.placed, owner: vm };
      if (answer?.isExpired) return "expired";
      if (answer !== undefined) return answer.isFull ? "full" : undefined;
      this.#noteSilent(vm, content.pool);
    }
    return undefined;
  }

  /** Handles an answer; one that arrives after the timeout is ignored. */
  noteAnswer(answer: PlacementAnswerMessage): void {
    this.#pending.get(answer.ask)?.onAnswer(answer);
  }

  /**
   * Resolves to the owner's last answer, after a wait if there is one, or to
   * undefined once the owner is silent or the caller has disconnected.
   */
  #sendRequest(
    owner: FleetPeer,
    { content, sentAt, wait }: {
      content: PlacementRequestContent;
      sentAt: number;
      wait: OwnerWait;
    },
  ): Promise<PlacementAnswerMessage | undefined> {
    const { clock, vm, send } = this.#options;
    const incarnation = content.waiting && this.#options.incarnation;
    this.#lastRequest += 1;
    const number = this.#lastRequest;
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const settle = (answer?: PlacementAnswerMessage) => {
        cancelTimer();
        wait.signal.removeEventListener("abort", onAbort);
        this.#pending.delete(number);
        if (answer?.placed !== undefined) this.#addUnsettled(number, wait);
        resolve(answer);
      };
      const onAbort = () => settle();
      const sendNow = () => {
        cancelTimer();
        cancelTimer = startSilenceTimer(clock, ANSWER_TIMEOUT_MS, settle);
        const current = updateTimes(content, clock.now() - sentAt);
        send(owner, { kind: "ask", vm, ask: number, incarnation, ...current });
      };
      const pending: PendingRequest = {
        isWaiting: false,
        onAnswer: (answer) => {
          if (!answer.isWaiting) return settle(answer);
          if (!pending.isWaiting) wait.onWaiting(owner.heartbeat.vm);
          pending.isWaiting = true;
          this.#lastWaitAt = clock.now();
          cancelTimer();
          cancelTimer = clock.startTimer(RENEWAL_INTERVAL_MS, sendNow);
        },
      };
      this.#pending.set(number, pending);
      wait.signal.addEventListener("abort", onAbort, { once: true });
      sendNow();
    });
  }

  #addUnsettled(number: number, { settled }: OwnerWait): void {
    if (settled === undefined) return;
    this.#unsettled.add(number);
    void settled.then(() => this.#unsettled.delete(number));
  }

  #noteSilent(vm: VmId, pool: PoolName): void {
    const { clock, log } = this.#options;
    this.#avoidedUntil.set(vm, clock.now() + SILENT_OWNER_BACK_OFF_MS);
    log.warn("owner_silent", { peer: vm, pool, ms: ANSWER_TIMEOUT_MS });
  }
}

/** The content with the times that are left after `elapsedMs`. */
function updateTimes(
  content: PlacementRequestContent,
  elapsedMs: number,
): PlacementRequestContent {
  const { waiting } = content;
  if (waiting === undefined || elapsedMs === 0) return content;
  return {
    ...content,
    waiting: {
      ...waiting,
      waitedMs: waiting.waitedMs + elapsedMs,
      onTimeMs: waiting.onTimeMs - elapsedMs,
      usefulMs: waiting.usefulMs - elapsedMs,
    },
  };
}
