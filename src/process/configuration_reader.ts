/**
 * Reads the configuration source. A few VMs of each data centre watch it by
 * long polling; the others read it rarely, as a fallback.
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

/** Timeout of a long poll; also the maximum age of a watcher's view. */
const WATCH_WAIT_MS = 5_000;
/** A long poll without a change that ends before so much of its time is early. */
const MIN_WAITED_SHARE = 0.5;
/** Bounds the pause after early ones: changes have to be known in time. */
const MAX_EARLY = 2;
/** Watchers in each data centre. */
const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * Mean time between reads of a VM that does not watch, in a fleet of up to
 * `UNSCALED_FLEET_VMS`.
 */
const FALLBACK_INTERVAL_MS = 30_000;
/** The same while no VM of the fleet seems to reach the source. */
const STALE_FALLBACK_INTERVAL_MS = 2_000;
/** Age of the view above which no VM seems to reach the source. */
const STALE_VIEW_MS = 15_000;
/** How long a VM watches that reached the source when no watcher did. */
const VOLUNTEER_DURATION_MS = 60_000;
/** A volunteer continues if no other VM reached the source within this time. */
const OTHER_READER_TIMEOUT_MS = 20_000;
/** Beyond this size, intervals grow with the fleet to bound the total rate. */
const UNSCALED_FLEET_VMS = 8;
const ROLE_CHECK_INTERVAL_MS = 1_000;
const RETRY_BASE_MS = 250;
const MAX_RETRY_DELAY_MS = 5_000;
const STARTUP_LIST_ATTEMPTS = 4;

/** Options of `SourceReader`. */
export interface ReaderOptions {
  environment: Environment;
  membership: FleetMembership;
  source: ConfigurationSource;
  getVersion: () => number;
  onIndex: (index: RecordIndex) => Promise<void>;
  onList: (value: unknown) => void;
}

/** Reads the configuration index and the membership list, each in a task. */
export class SourceReader {
  readonly #options: ReaderOptions;
  readonly #stopped = new AbortController();
  /** Highest index version that was handled, including rejected ones. */
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
   * Whether this VM watches the source: it is among the first reachable VMs of
   * its data centre in rendezvous order, or is a volunteer, which reached the
   * source when the watchers did not.
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
   * Notes that another VM has reached the source itself. It reported a more
   * recent confirmation of the list than this VM's, which it cannot have from
   * this VM.
   */
  noteOtherRead(): void {
    this.#otherReadAt = this.#options.environment.clock.now();
  }

  /** Reads the list once before peers are known, in a few attempts. */
  async readListAtStartup(): Promise<void> {
    for (let attempt = 1; attempt <= STARTUP_LIST_ATTEMPTS; attempt += 1) {
      try {
        await this.#readList(0);
        return;
      } catch (error) {
        this.#noteFailure("list", toError(error));
        await this.#sleepBeforeRetry(attempt);
      }
    }
  }

  async #runReads(
    name: string,
    readOnce: (waitMs: number) => Promise<boolean>,
  ): Promise<void> {
    const { log, clock } = this.#options.environment;
    let failures = 0;
    /** Long polls in a row that ended early without a change. */
    let early = 0;
    // The first read, and each after a failure, does not wait: a long poll
    // confirms that nothing is newer only when it times out.
    let mayWait = false;
    while (!this.#stopped.signal.aborted) {
      const isStarting = this.#options.getVersion() === 0;
      if (!this.isWatcher() && !isStarting) await this.#waitForTurn();
      if (this.#stopped.signal.aborted) return;
      try {
        const waitMs = this.isWatcher() && mayWait ? WATCH_WAIT_MS : 0;
        const calledAt = clock.now();
        const isNew = await readOnce(waitMs);
        const isEarly = clock.now() - calledAt < waitMs * MIN_WAITED_SHARE;
        early = isEarly && !isNew ? Math.min(early + 1, MAX_EARLY) : 0;
        if (early > 0) await this.#sleepBeforeRetry(early);
        mayWait = true;
        if (failures > 0) log.info("source_answers", { read: name });
        failures = 0;
        // Avoids a busy loop: a source without a version answers at once.
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

  /** Returns whether there was a newer index. */
  async #readIndex(waitMs: number): Promise<boolean> {
    const { source, getVersion, onIndex } = this.#options;
    const after = Math.max(getVersion(), this.#indexVersion);
    const { signal } = this.#stopped;
    const index = await source.fetchIndex(after, waitMs, signal);
    if (index === undefined || this.#stopped.signal.aborted) return false;
    const isNew = index.version > after;
    await onIndex(index);
    this.#indexVersion = Math.max(this.#indexVersion, index.version);
    return isNew;
  }

  /** Returns whether there was a newer list. */
  async #readList(waitMs: number): Promise<boolean> {
    const { environment, membership, source, onList } = this.#options;
    const after = membership.getList().revision;
    const isNeeded = this.#isVolunteerNeeded();
    const requestedAt = environment.clock.now();
    const { signal } = this.#stopped;
    const value = await source.fetchMembership(after, waitMs, signal);
    if (this.#stopped.signal.aborted) return false;
    if (value !== undefined) onList(value);
    if (isNeeded) {
      this.#volunteerUntil = environment.clock.now() + VOLUNTEER_DURATION_MS;
    }
    // The response may have been in transit for long. It was current when the
    // source sent it: not before the end of the wait if nothing is new, and not
    // before the request otherwise.
    const elapsedMs = environment.clock.now() - requestedAt;
    const waitedMs = value === undefined ? Math.min(elapsedMs, waitMs) : 0;
    const revision = value === undefined ? after : getRevision(value);
    membership.noteListCurrent(revision, elapsedMs - waitedMs);
    return revision > after;
  }

  async #waitForTurn(): Promise<void> {
    const { clock, random } = this.#options.environment;
    const startedAt = clock.now();
    const jitter = 0.5 + random.next();
    const { signal } = this.#stopped;
    while (!signal.aborted && !this.isWatcher()) {
      if (clock.now() - startedAt >= jitter * this.#getFallbackMs()) return;
      await clock.sleep(ROLE_CHECK_INTERVAL_MS, signal);
    }
  }

  #getFallbackMs(): number {
    const { membership } = this.#options;
    const count = membership.listEntryVms().length;
    const scale = Math.max(1, count / UNSCALED_FLEET_VMS);
    return scale *
      (this.#isViewStale() ? STALE_FALLBACK_INTERVAL_MS : FALLBACK_INTERVAL_MS);
  }

  /** Whether no VM but this one seems to reach the source. */
  #isVolunteerNeeded(): boolean {
    const now = this.#options.environment.clock.now();
    const isVolunteer = now < this.#volunteerUntil;
    const isAlone = now - this.#otherReadAt > OTHER_READER_TIMEOUT_MS;
    return this.#isViewStale() || (isVolunteer && isAlone);
  }

  /** Whether the source was reached before, but not recently, by any VM. */
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
    const maxMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_BASE_MS * 2 ** failures);
    const ms = maxMs * (0.5 + random.next() / 2);
    await clock.sleep(ms, this.#stopped.signal);
  }
}
