/**
 * Sends placement requests to pool owners and matches their answers.
 *
 * @module
 */
import type { PoolName, VmId } from "../../ids.ts";
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

/** Placement of a request and the owner that chose it. */
export type OwnerPlacement = NonNullable<PlacementAnswerMessage["placed"]> & {
  owner: VmId;
};
/** Result of a placement request; undefined if no owner answered. */
export type PlacementResult = OwnerPlacement | "full" | undefined;
/** Placement request without the fields that the requester fills in. */
export type PlacementRequestContent = Omit<
  PlacementRequestMessage,
  "kind" | "vm" | "ask"
>;

/** Options of `PlacementRequester`. */
export interface PlacementRequesterOptions {
  vm: VmId;
  clock: Clock;
  log: Log;
  /** Owners to ask for a pool in order, without this VM. */
  listOwners: (pool: PoolName) => readonly FleetPeer[];
  send: (to: FleetPeer, message: PlacementRequestMessage) => void;
}

/** Sends placement requests and waits for their answers. */
export class PlacementRequester {
  readonly #options: PlacementRequesterOptions;
  readonly #pending = new Map<
    number,
    (answer: PlacementAnswerMessage) => void
  >();
  readonly #avoidedUntil = new Map<VmId, number>();
  #lastRequest = 0;

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
    return { lastAsk: this.#lastRequest, openAsks: [...this.#pending.keys()] };
  }

  /**
   * Requests a placement from each owner in turn. Resolves to undefined if no
   * owner answers in time or there is none to ask.
   */
  async fetchPlacement(
    content: PlacementRequestContent,
  ): Promise<PlacementResult> {
    for (const owner of this.#options.listOwners(content.pool)) {
      const { vm } = owner.heartbeat;
      const avoidedUntil = this.#avoidedUntil.get(vm) ?? 0;
      if (avoidedUntil > this.#options.clock.now()) continue;
      const answer = await this.#sendRequest(owner, content);
      if (answer?.placed !== undefined) return { ...answer.placed, owner: vm };
      if (answer !== undefined) return answer.isFull ? "full" : undefined;
      this.#noteSilent(vm, content.pool);
    }
    return undefined;
  }

  /** Handles an answer; one that arrives after the timeout is ignored. */
  noteAnswer(answer: PlacementAnswerMessage): void {
    this.#pending.get(answer.ask)?.(answer);
  }

  #sendRequest(
    owner: FleetPeer,
    content: PlacementRequestContent,
  ): Promise<PlacementAnswerMessage | undefined> {
    const { clock, vm, send } = this.#options;
    this.#lastRequest += 1;
    const number = this.#lastRequest;
    return new Promise((resolve) => {
      const settle = (answer?: PlacementAnswerMessage) => {
        cancelTimer();
        this.#pending.delete(number);
        resolve(answer);
      };
      const cancelTimer = clock.startTimer(ANSWER_TIMEOUT_MS, () => settle());
      this.#pending.set(number, settle);
      send(owner, { kind: "ask", vm, ask: number, ...content });
    });
  }

  #noteSilent(vm: VmId, pool: PoolName): void {
    const { clock, log } = this.#options;
    this.#avoidedUntil.set(vm, clock.now() + SILENT_OWNER_BACK_OFF_MS);
    log.warn("owner_silent", { peer: vm, pool, ms: ANSWER_TIMEOUT_MS });
  }
}
