/**
 * Calls the store and tells how new each answer is.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import {
  getEra,
  isSamePosition,
  type ListPosition,
} from "../placement/list_position.ts";
import { RepeatedEvent } from "../repeated_event.ts";
import { FruitlessWatches } from "./fruitless_watches.ts";
import type { ListSource } from "./list_source.ts";
import type { PublishedState, PublishedStore } from "./published_store.ts";
import { ReadDelay } from "./read_delay.ts";
import { StoreAudit } from "./store_audit.ts";

/** A watch without a change that ends before so much of its wait is early. */
const MIN_WAITED_SHARE = 0.5;

/** Options of `StoreReader`. */
export interface StoreReaderOptions {
  clock: Clock;
  log: Log;
  store: PublishedStore;
  /** Age of this VM's list in milliseconds, for the log. */
  getListAgeMs: () => number;
  /**
   * Called when the store answers without its state a watch that was sent at
   * `calledAt`.
   */
  onAnswered: (calledAt: number) => void;
}

/** What the store answered. */
export interface ReadState {
  state: PublishedState;
  /** `Clock.now()` at which the state was the newest. */
  newestAt: number;
  /** Whether everything was read, not only what changed. */
  isWhole: boolean;
  /** What is known of the lists before. */
  source: ListSource;
}

/** Watches and reads; both reject with `StepError`. */
export class StoreReader {
  readonly #options: StoreReaderOptions;
  readonly #readDelay: ReadDelay;
  /** When everything is read to verify what watches told. */
  readonly audit: StoreAudit;
  /** Watches that told nothing. */
  readonly fruitless = FruitlessWatches.create();
  readonly #historyLost: RepeatedEvent;
  readonly #incomplete: RepeatedEvent;

  constructor(options: StoreReaderOptions) {
    this.#options = options;
    this.#readDelay = ReadDelay.create(options.clock);
    this.audit = StoreAudit.create(options.clock);
    this.#historyLost = RepeatedEvent.create("store_history_lost", options);
    this.#incomplete = RepeatedEvent.create("store_answer_incomplete", options);
  }

  static create(options: StoreReaderOptions): StoreReader {
    return new StoreReader(options);
  }

  /** Begins to measure how late answers are read. */
  start(): void {
    this.#readDelay.start();
  }

  stop(): void {
    this.#readDelay.stop();
  }

  /** Waits for a change; `known` is the position that the watch goes on from. */
  async watchOnce(waitMs: number, known: ListPosition): Promise<ReadState> {
    const { clock, store } = this.#options;
    const calledAt = clock.now();
    const update = await store.watch(waitMs);
    if (update.kind === "history_lost") {
      return await this.#fetchAfterLoss(calledAt, known);
    }
    const { state, isComplete, listed } = update;
    const isUnchanged = isSamePosition(state, known);
    const isEarly = clock.now() - calledAt < waitMs * MIN_WAITED_SHARE;
    this.fruitless.note(isUnchanged && isEarly);
    if (!isComplete && this.#canReadIncomplete(state.revision)) {
      return await this.fetchAll();
    }
    // The store answers a watch without a change after the wait. The time for
    // which the answer was on its way, or lay in the socket, doesn't count.
    const newestAt = isUnchanged
      ? calledAt + (isEarly ? 0 : waitMs)
      : Math.max(calledAt, this.#readDelay.computeArrivedSince());
    const source = { kind: "changes" as const, listed };
    return { state, newestAt, isWhole: false, source };
  }

  /** Reads everything: what changes during the read may not be in it. */
  async fetchAll(): Promise<ReadState> {
    const newestAt = this.#options.clock.now();
    this.audit.noteBegun();
    const state = await this.#options.store.fetchState();
    this.audit.noteSize(state.sizeBytes);
    const { listed } = state;
    const source: ListSource = listed === undefined
      ? { kind: "unknown" }
      : { kind: "changes", listed };
    return { state, newestAt, isWhole: true, source };
  }

  async #fetchAfterLoss(
    calledAt: number,
    known: ListPosition,
  ): Promise<ReadState> {
    const { onAnswered, getListAgeMs } = this.#options;
    this.fruitless.note(true);
    // The store answers, however long the read of its whole state takes.
    onAnswered(calledAt);
    let read: ReadState | undefined;
    try {
      read = await this.fetchAll();
      return read;
    } finally {
      this.#historyLost.note({
        after: known.revision,
        after_era: getEra(known),
        store_era: read && getEra(read.state),
        store_revision: read?.state.revision,
        list_age_ms: getListAgeMs(),
      });
    }
  }

  /** Whether to read everything, after an answer that lacks changes. */
  #canReadIncomplete(revision: number): boolean {
    const canRead = this.audit.takeIncompleteRead();
    this.#incomplete.note({ revision, reads_all: canRead });
    return canRead;
  }
}
