/**
 * Asks other VMs for their evidence about crashes, before this VM sends work to
 * replicas.
 *
 * A VM that has just started, or that heard from no other one for a while, would
 * learn of what crashes replicas by crashes of its own.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Random } from "../random.ts";

/** Without any message from another VM for so long, evidence was missed. */
const ISOLATION_MS = 3_000;
/** A query or its answer may be lost. */
const RESEND_INTERVAL_MS = 40;
/** VMs that do not answer by then are older or unreachable. */
const MAX_WAIT_MS = 500;

/** Options of `NewsQueries`; `Peer` is another VM. */
export interface NewsQueriesOptions<Peer> {
  clock: Clock;
  random: Random;
  listPeers: () => readonly Peer[];
  send: (to: Peer) => void;
}

/** Queries of one VM. */
export class NewsQueries<Peer> {
  readonly #options: NewsQueriesOptions<Peer>;
  readonly #waiting = new Set<() => void>();
  #state: "unasked" | "asking" | "answered" = "unasked";
  #heardAt = -Infinity;

  constructor(options: NewsQueriesOptions<Peer>) {
    this.#options = options;
  }

  static create<Peer>(options: NewsQueriesOptions<Peer>): NewsQueries<Peer> {
    return new NewsQueries(options);
  }

  /** Asks as soon as another VM is live. */
  start(): void {
    if (this.#state === "asking") return;
    this.#state = "asking";
    this.#send(this.#options.clock.now() + MAX_WAIT_MS);
  }

  /** Records a message from a live VM. */
  notePeer(): void {
    const now = this.#options.clock.now();
    const isBack = now - this.#heardAt > ISOLATION_MS;
    this.#heardAt = now;
    if (isBack) this.start();
  }

  /** Records that another VM has told its evidence. */
  noteAnswer(): void {
    if (this.#state !== "asking") return;
    this.#state = "answered";
    this.#waiting.forEach((resolve) => resolve());
    this.#waiting.clear();
  }

  /** Resolves once no query is open. */
  waitForAnswer(): Promise<void> {
    if (this.#state !== "asking") return Promise.resolve();
    return new Promise((resolve) => this.#waiting.add(resolve));
  }

  #send(until: number): void {
    if (this.#state !== "asking") return;
    const { clock, random, listPeers, send } = this.#options;
    if (clock.now() >= until) return this.noteAnswer();
    random.pickSample(listPeers(), 1).forEach(send);
    clock.startTimer(RESEND_INTERVAL_MS, () => this.#send(until));
  }
}
