/**
 * How VMs hear of each other's evidence against requests.
 *
 * A crash is told to all at once, since the request may come again at any VM.
 * Datagrams get lost and VMs start or are cut off: each second a VM tells one
 * other, picked at random, of the requests with the most crashes.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { SuspectEntry } from "../quarantine/index.ts";
import type { Random } from "../random.ts";
import type { FleetMessage } from "./fleet_message.ts";
import type { FleetPeer } from "./fleet_peers.ts";

/** About 1 KB, which one frame holds. */
const ENTRIES_PER_MESSAGE = 12;
const GOSSIP_EVERY_MS = 1_000;

/** What telling needs. */
export interface SuspectNewsOptions {
  clock: Clock;
  random: Random;
  listLive: () => FleetPeer[];
  send: (to: readonly FleetPeer[], message: FleetMessage) => void;
  /** The evidence against those of most crashes, at most `count` requests. */
  listEntries: (count: number) => SuspectEntry[];
}

/** Tells the other VMs. */
export class SuspectNews {
  readonly #options: SuspectNewsOptions;
  readonly #ended = new AbortController();

  constructor(options: SuspectNewsOptions) {
    this.#options = options;
  }

  static create(options: SuspectNewsOptions): SuspectNews {
    return new SuspectNews(options);
  }

  start(): void {
    void this.#runGossip();
  }

  stop(): void {
    this.#ended.abort();
  }

  /** What a VM is told that has just been heard, or is told now and then. */
  listPressing(): SuspectEntry[] {
    return this.#options.listEntries(ENTRIES_PER_MESSAGE);
  }

  /** Tells all at once. */
  announce(entries: readonly SuspectEntry[]): void {
    const peers = this.#options.listLive();
    for (const message of buildSuspectMessages(entries)) {
      this.#options.send(peers, message);
    }
  }

  async #runGossip(): Promise<void> {
    const { clock, listLive, random, send } = this.#options;
    const { signal } = this.#ended;
    while (!signal.aborted) {
      await clock.sleep(GOSSIP_EVERY_MS, signal);
      const peer = random.pick(listLive());
      if (signal.aborted || peer === undefined) continue;
      buildSuspectMessages(this.listPressing())
        .forEach((message) => send([peer], message));
    }
  }
}

/** The entries as messages of one frame each; none where there are none. */
export function buildSuspectMessages(
  entries: readonly SuspectEntry[],
): FleetMessage[] {
  const messages: FleetMessage[] = [];
  for (let at = 0; at < entries.length; at += ENTRIES_PER_MESSAGE) {
    messages.push({
      kind: "suspects",
      entries: entries.slice(at, at + ENTRIES_PER_MESSAGE),
    });
  }
  return messages;
}
