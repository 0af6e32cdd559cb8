/**
 * How VMs hear of each other's evidence against requests.
 *
 * A crash is told to all at once, since the request may come again at any VM.
 * Messages get lost and VMs start or are cut off: each second a VM tells one
 * other, picked at random, of the requests with the most crashes.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Random } from "../random.ts";
import type { SuspectEntry } from "./crash_evidence.ts";

const GOSSIP_EVERY_MS = 1_000;
/** Requests told of at a time, some 80 bytes each. */
const PRESSING_ENTRIES = 12;

/** What telling needs; `Peer` is another VM. */
export interface SuspectGossipOptions<Peer> {
  clock: Clock;
  random: Random;
  listPeers: () => readonly Peer[];
  send: (to: readonly Peer[], entries: readonly SuspectEntry[]) => void;
  /** The evidence against those of most crashes, at most `count` requests. */
  listEntries: (count: number) => SuspectEntry[];
}

/** Tells the other VMs. */
export class SuspectGossip<Peer> {
  readonly #options: SuspectGossipOptions<Peer>;
  readonly #ended = new AbortController();

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
    this.#ended.abort();
  }

  /** What a VM is told that has just been heard, or is told now and then. */
  listTopSuspects(): SuspectEntry[] {
    return this.#options.listEntries(PRESSING_ENTRIES);
  }

  /** Tells all at once. */
  announce(entries: readonly SuspectEntry[]): void {
    this.#options.send(this.#options.listPeers(), entries);
  }

  async #runGossip(): Promise<void> {
    const { clock, listPeers, random, send } = this.#options;
    const { signal } = this.#ended;
    while (!signal.aborted) {
      await clock.sleep(GOSSIP_EVERY_MS, signal);
      const entries = signal.aborted ? [] : this.listTopSuspects();
      if (entries.length > 0) send(random.pickSome(listPeers(), 1), entries);
    }
  }
}
