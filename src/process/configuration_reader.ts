/**
 * Reads and watches the source, as often as this VM's part in it asks for.
 *
 * @module
 */
import { toError } from "../errors.ts";
import type { RecordIndex } from "../version/index.ts";
import {
  type ConfigurationSource,
  getRevision,
} from "./configuration_source.ts";
import type { Environment } from "./environment.ts";
import type { FleetMembership } from "./fleet_membership.ts";

/** How long a watch waits; also the age that a watcher's view may have. */
const WATCH_WAIT_MS = 5_000;
/** VMs of each data centre that watch the source. */
const WATCHERS_PER_DATA_CENTRE = 2;

/** Mean time between two reads of a VM that does not watch, up to 8 VMs. */
const FALLBACK_MS = 30_000;
/** The same while nobody in the fleet seems to reach the source. */
const STALE_FALLBACK_MS = 2_000;
/** The view's age from which nobody seems to reach the source. */
const STALE_VIEW_MS = 15_000;
/** How long a VM watches that got through where the watchers did not. */
const VOLUNTEER_MS = 60_000;
/** It goes on when no other VM showed in this time that it gets through. */
const ALONE_MS = 20_000;
/** Intervals grow with the fleet from this size on, so that the sum does not. */
const FLEET_UNIT = 8;
const ROLE_CHECK_MS = 1_000;
const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 5_000;
const FIRST_LIST_TRIES = 4;

/** What a reader needs. */
export interface ReaderOptions {
  environment: Environment;
  membership: FleetMembership;
  source: ConfigurationSource;
  getVersion: () => number;
  onIndex: (index: RecordIndex) => Promise<void>;
  onList: (value: unknown) => void;
}

/** Two tasks: one for the configuration's index, one for the list. */
export class SourceReader {
  readonly #options: ReaderOptions;
  readonly #stopped = new AbortController();
  /** The highest index handled, rejected ones too. */
  #indexVersion = 0;
  #volunteerUntil = -Infinity;
  #otherReadAt = -Infinity;

  constructor(options: ReaderOptions) {
    this.#options = options;
  }

  static create(options: ReaderOptions): SourceReader {
    return new SourceReader(options);
  }

  start(): void {
    void this.#runReads("index", (waitMs) => this.#readIndex(waitMs));
    void this.#runReads("list", (waitMs) => this.#readList(waitMs));
  }

  stop(): void {
    this.#stopped.abort();
  }

  /**
   * Whether this VM watches the source: it is among the first of its data
   * centre that answer, in rendezvous order, or got through when they did not.
   */
  isWatcher(): boolean {
    const { environment, membership } = this.#options;
    if (environment.clock.now() < this.#volunteerUntil) return true;
    const { dataCentre, vm: self } = environment;
    const watchers = membership.listOwnerOrder(`configuration/${dataCentre}`)
      .filter((vm) => membership.findVm(vm)?.dataCentre === dataCentre)
      .filter((vm) => membership.isReachable(vm) && !membership.isDraining(vm))
      .slice(0, WATCHERS_PER_DATA_CENTRE);
    return watchers.includes(self);
  }

  /**
   * Notes that another VM got through to the source on its own: its word of
   * the list is fresher than this VM's, so it cannot come from this VM.
   */
  noteOtherRead(): void {
    this.#otherReadAt = this.#options.environment.clock.now();
  }

  /** Reads the list once, before peers are known; gives up after some tries. */
  async readListFirst(): Promise<void> {
    for (let tries = 1; tries <= FIRST_LIST_TRIES; tries += 1) {
      try {
        return await this.#readList(0);
      } catch (error) {
        this.#noteFailure("list", toError(error));
        await this.#sleepBeforeRetry(tries);
      }
    }
  }

  async #runReads(
    name: string,
    readOnce: (waitMs: number) => Promise<void>,
  ): Promise<void> {
    const { log } = this.#options.environment;
    let failures = 0;
    // Without a wait at first and after failures: a watch tells that nothing
    // is newer only when its time is over.
    let mayWait = false;
    while (!this.#stopped.signal.aborted) {
      const isStarting = this.#options.getVersion() === 0;
      if (!this.isWatcher() && !isStarting) await this.#waitForTurn();
      if (this.#stopped.signal.aborted) return;
      try {
        await readOnce(this.isWatcher() && mayWait ? WATCH_WAIT_MS : 0);
        mayWait = true;
        if (failures > 0) log.info("source_answers", { read: name });
        failures = 0;
        // A source without any version answers a read at once, again and again.
        if (!this.isWatcher() && isStarting) await this.#sleepBeforeRetry(1);
      } catch (error) {
        if (this.#stopped.signal.aborted) return;
        failures += 1;
        mayWait = false;
        if (failures === 1) this.#noteFailure(name, toError(error));
        await this.#sleepBeforeRetry(failures);
      }
    }
  }

  async #readIndex(waitMs: number): Promise<void> {
    const { source, getVersion, onIndex } = this.#options;
    const after = Math.max(getVersion(), this.#indexVersion);
    const { signal } = this.#stopped;
    const index = await source.fetchIndex(after, waitMs, signal);
    if (index === undefined || this.#stopped.signal.aborted) return;
    await onIndex(index);
    this.#indexVersion = Math.max(this.#indexVersion, index.version);
  }

  async #readList(waitMs: number): Promise<void> {
    const { environment, membership, source, onList } = this.#options;
    const after = membership.getList().revision;
    const isNeeded = this.#isNeeded();
    const askedAt = environment.clock.now();
    const { signal } = this.#stopped;
    const value = await source.fetchMembership(after, waitMs, signal);
    if (this.#stopped.signal.aborted) return;
    if (value !== undefined) onList(value);
    if (isNeeded) {
      this.#volunteerUntil = environment.clock.now() + VOLUNTEER_MS;
    }
    // The answer may have been on its way for long: what it says was true when
    // the source sent it, which is no earlier than the end of a wait that
    // brought nothing, and no earlier than the question otherwise.
    const elapsedMs = environment.clock.now() - askedAt;
    const waitedMs = value === undefined ? Math.min(elapsedMs, waitMs) : 0;
    const revision = value === undefined ? after : getRevision(value);
    membership.noteListCurrent(revision, elapsedMs - waitedMs);
  }

  async #waitForTurn(): Promise<void> {
    const { clock, random } = this.#options.environment;
    const startedAt = clock.now();
    const share = 0.5 + random.next();
    const { signal } = this.#stopped;
    while (!signal.aborted && !this.isWatcher()) {
      if (clock.now() - startedAt >= share * this.#getFallbackMs()) return;
      await clock.sleep(ROLE_CHECK_MS, signal);
    }
  }

  #getFallbackMs(): number {
    const { membership } = this.#options;
    const count = membership.listEntryVms().length;
    const units = Math.max(1, count / FLEET_UNIT);
    return units * (this.#isViewStale() ? STALE_FALLBACK_MS : FALLBACK_MS);
  }

  /** Whether the fleet has nobody but this VM to reach the source. */
  #isNeeded(): boolean {
    const now = this.#options.environment.clock.now();
    const isVolunteer = now < this.#volunteerUntil;
    const isAlone = now - this.#otherReadAt > ALONE_MS;
    return this.#isViewStale() || (isVolunteer && isAlone);
  }

  /** Whether nobody seems to reach the source, who did once. */
  #isViewStale(): boolean {
    const ageMs = this.#options.membership.getViewAgeMs();
    return Number.isFinite(ageMs) && ageMs > STALE_VIEW_MS;
  }

  #noteFailure(name: string, error: Error): void {
    const { log } = this.#options.environment;
    log.warn("source_fails", { read: name, error: error.message });
  }

  async #sleepBeforeRetry(failures: number): Promise<void> {
    const { clock, random } = this.#options.environment;
    const most = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
    const ms = most * (0.5 + random.next() / 2);
    await clock.sleep(ms, this.#stopped.signal);
  }
}
