/**
 * Asks of this VM to the owners of pools, and their answers.
 *
 * @module
 */
import type { PoolName, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { AnswerMessage, AskMessage } from "./fleet_message.ts";
import type { FleetPeer } from "./fleet_peers.ts";

/**
 * An answer takes some 5 ms between data centres; an owner that has not
 * answered after so long, in milliseconds, is gone, cut off or overloaded.
 */
const ANSWER_WITHIN_MS = 40;
/**
 * An owner that left one ask without an answer is not asked for so long, in
 * milliseconds: otherwise each request would wait for it until it is missed.
 */
const AVOIDED_MS = 500;

/** Where a request should go, and who decided it. */
export type PlacedByOwner = NonNullable<AnswerMessage["placed"]> & {
  owner: VmId;
};
/** What became of an ask; undefined where nobody answered it. */
export type OwnerAnswer = PlacedByOwner | "full" | undefined;
/** What is asked, without what the asker fills in. */
export type AskContent = Omit<AskMessage, "kind" | "vm" | "ask">;

/** What the asker needs. */
export interface PlacementAskerOptions {
  vm: VmId;
  clock: Clock;
  log: Log;
  /** Who places a pool's requests, the owner first, without this VM. */
  listOwners: (pool: PoolName) => readonly FleetPeer[];
  send: (to: FleetPeer, message: AskMessage) => void;
}

/** Sends asks and waits for their answers. */
export class PlacementRequester {
  readonly #options: PlacementAskerOptions;
  readonly #open = new Map<number, (answer: AnswerMessage) => void>();
  readonly #avoidedUntil = new Map<VmId, number>();
  #lastAsk = 0;

  constructor(options: PlacementAskerOptions) {
    this.#options = options;
  }

  static create(options: PlacementAskerOptions): PlacementRequester {
    return new PlacementRequester(options);
  }

  /** For the heartbeat: which asks its loads include. */
  get numbers(): { lastAsk: number; openAsks: number[] } {
    return { lastAsk: this.#lastAsk, openAsks: [...this.#open.keys()] };
  }

  /** Undefined when no owner answers in time, or none is to be asked. */
  async ask(content: AskContent): Promise<OwnerAnswer> {
    for (const owner of this.#options.listOwners(content.pool)) {
      const { vm } = owner.heartbeat;
      const avoidedUntil = this.#avoidedUntil.get(vm) ?? 0;
      if (avoidedUntil > this.#options.clock.now()) continue;
      const answer = await this.#askOne(owner, content);
      if (answer?.placed !== undefined) return { ...answer.placed, owner: vm };
      if (answer !== undefined) return answer.isFull ? "full" : undefined;
      this.#noteSilent(vm, content.pool);
    }
    return undefined;
  }

  /** Takes in an answer; one that comes too late changes nothing. */
  noteAnswer(answer: AnswerMessage): void {
    this.#open.get(answer.ask)?.(answer);
  }

  #askOne(
    owner: FleetPeer,
    content: AskContent,
  ): Promise<AnswerMessage | undefined> {
    const { clock, vm, send } = this.#options;
    this.#lastAsk += 1;
    const ask = this.#lastAsk;
    return new Promise((resolve) => {
      const settle = (answer?: AnswerMessage) => {
        cancelTimer();
        this.#open.delete(ask);
        resolve(answer);
      };
      const cancelTimer = clock.startTimer(ANSWER_WITHIN_MS, () => settle());
      this.#open.set(ask, settle);
      send(owner, { kind: "ask", vm, ask, ...content });
    });
  }

  #noteSilent(vm: VmId, pool: PoolName): void {
    const { clock, log } = this.#options;
    this.#avoidedUntil.set(vm, clock.now() + AVOIDED_MS);
    log.warn("owner_silent", { peer: vm, pool, ms: ANSWER_WITHIN_MS });
  }
}
