/**
 * Exchange of evidence against requests between VMs.
 *
 * A crash is announced to all VMs at once, since the request may arrive at any
 * of them next. Messages get lost, and VMs restart or are cut off: so every
 * second a VM also sends the evidence against the requests with the most
 * crashes to one other VM, picked at random.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Random } from "../random.ts";
import { type CrashNews, isEmptyNews } from "./suspect_entry.ts";

const GOSSIP_INTERVAL_MS = 1_000;
/** Entries in a message, of some 80 bytes each. */
const MAX_GOSSIP_ENTRIES = 12;

/** Options of `SuspectGossip`; `Peer` is another VM. */
export interface SuspectGossipOptions<Peer> {
  clock: Clock;
  random: Random;
  listPeers: () => readonly Peer[];
  send: (to: readonly Peer[], news: CrashNews) => void;
  /** Evidence against the requests and parts with the most crashes. */
  listNews: (count: number) => CrashNews;
}

/** Sends evidence to the other VMs. */
export class SuspectGossip<Peer> {
  readonly #options: SuspectGossipOptions<Peer>;
  readonly #abort = new AbortController();

  constructor(options: SuspectGossipOptions<Peer>) {
    this.#options = options;
  }

  static create<Peer>(
    options: SuspectGossipOptions<Peer>,
  ): SuspectGossip<Peer> {
    return new SuspectGossip(options);
  }

  start(): void {
    void this.#runGossip();
  }

  stop(): void {
    this.#abort.abort();
  }

  /**
   * Evidence for a VM that has just become reachable, and for the regular
   * gossip.
   */
  listTopSuspects(): CrashNews {
    return this.#options.listNews(MAX_GOSSIP_ENTRIES);
  }

  /** Sends the evidence to all other VMs at once. */
  announce(news: CrashNews): void {
    this.#options.send(this.#options.listPeers(), news);
  }

  async #runGossip(): Promise<void> {
    const { clock, listPeers, random, send } = this.#options;
    const { signal } = this.#abort;
    while (!signal.aborted) {
      await clock.sleep(GOSSIP_INTERVAL_MS, signal);
      if (signal.aborted) return;
      const news = this.listTopSuspects();
      if (!isEmptyNews(news)) send(random.pickSample(listPeers(), 1), news);
    }
  }
}
