/**
 * Leavings of replicas, as this VM learns of them from lists and heartbeats.
 *
 * A list is fetched by a call, from the few VMs that have it first, and while
 * the fleet is short of processor time such calls take seconds. A leaving fits
 * into the heartbeat that tells of the newer list.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import { buildListFields, type LastSend } from "../placement/last_sends.ts";
import type {
  LeavingEntry,
  ReplicaDirectory,
  ReplicaList,
} from "../placement/replica_list.ts";
import type { FleetHeartbeat } from "./fleet_message.ts";
import { RecentLeavings } from "./recent_leavings.ts";

/** A VM that gets lists in time learns of a leaving by one younger than this. */
const LATE_AFTER_MS = 1_700;
/** A request that was sent earlier has long arrived. */
const LOGGED_SEND_MS = 10_000;

/** Options of `LeavingNews`. */
export interface LeavingNewsOptions {
  clock: Clock;
  log: Log;
  replicas: ReplicaDirectory;
  /** Time since the list was last known to be the newest; -1 for never. */
  getListAgeMs: () => number;
  /** The last request to a replica; undefined for none. */
  findLastSend: (replica: VmId) => LastSend | undefined;
}

/** How this VM got a newer list. */
export interface ListChange {
  before: ReplicaList;
  after: ReplicaList;
  from: VmId | "store";
  /** Age of the list before, in milliseconds; below 0 for never confirmed. */
  listAgeMs: number;
  /** Time for which other VMs have had a newer list, in milliseconds. */
  lagMs: number;
  /** Time for which other VMs have had another list of the same position. */
  differsMs: number;
  /** Whether the list before lacked a change of its own revision. */
  isCorrected: boolean;
}

/** Learns of leavings, passes them on, and logs those learnt late. */
export class LeavingNews {
  readonly #options: LeavingNewsOptions;
  readonly #recent: RecentLeavings;
  #lateCount = 0;

  constructor(options: LeavingNewsOptions) {
    this.#options = options;
    this.#recent = RecentLeavings.create(options.clock);
  }

  static create(options: LeavingNewsOptions): LeavingNews {
    return new LeavingNews(options);
  }

  /** Leavings that this VM may have learnt late, since the start. */
  get lateCount(): number {
    return this.#lateCount;
  }

  /** What to tell other VMs. */
  listRecent(): LeavingEntry[] {
    return this.#recent.list();
  }

  /** Forgets the leavings of an era that is over. */
  noteRestored(): void {
    this.#recent.clear();
  }

  /** Notes the leavings in a newer list, but for the first one. */
  noteList(change: ListChange): void {
    const { before, after } = change;
    if (before.revision === 0) return;
    const entries = listLeavings(before, after)
      .map((id): LeavingEntry => [id, after.revision]);
    const unheard = entries.filter(([id]) => !this.#recent.has(id));
    this.#recent.add(entries);
    unheard.forEach(([id]) => this.#writeLastSend(id));
    if (!isLate(change)) return;
    this.#lateCount += unheard.length;
    for (const [id] of unheard) this.#writeLate(id, change);
  }

  /**
   * Applies leavings that another VM knows by a newer list; returns whether any
   * was unknown.
   */
  noteHeartbeat({ vm, left = [], listEra }: FleetHeartbeat): boolean {
    const { replicas, log, getListAgeMs, findLastSend } = this.#options;
    const heard = replicas.noteLeftLater(left, listEra);
    this.#recent.add(heard);
    for (const [replica, revision] of heard) {
      log.info("replica_left_heard", {
        replica,
        revision,
        from: vm,
        list_age_ms: getListAgeMs(),
        last_sent_ms: findLastSend(replica)?.agoMs,
      });
      this.#writeLastSend(replica);
    }
    return heard.length > 0;
  }

  /** Logs by which list the last request to a leaving replica was sent. */
  #writeLastSend(replica: VmId): void {
    const { log, findLastSend } = this.#options;
    const sent = findLastSend(replica);
    if (sent === undefined || sent.agoMs > LOGGED_SEND_MS) return;
    log.info("last_request_before_leaving", {
      request_id: sent.requestId,
      replica,
      sent_ms: sent.agoMs,
      ...buildListFields(sent.list),
    });
  }

  #writeLate(
    replica: VmId,
    { after, from, listAgeMs, lagMs, differsMs }: ListChange,
  ): void {
    const { log, findLastSend } = this.#options;
    log.warn("leaving_learnt_late", {
      replica,
      revision: after.revision,
      from,
      list_age_ms: listAgeMs,
      lag_ms: Math.round(lagMs),
      differs_ms: differsMs,
      last_sent_ms: findLastSend(replica)?.agoMs,
    });
  }
}

/** Whether the leavings that a list shows may have been learnt late. */
function isLate(
  { listAgeMs, lagMs, differsMs, isCorrected }: ListChange,
): boolean {
  return isCorrected || Math.max(listAgeMs, lagMs, differsMs) >= LATE_AFTER_MS;
}

/**
 * Replicas that were ready, and are draining or missing now. One that was missing
 * before and is retained no more is none: other VMs may still retain it.
 */
function listLeavings(before: ReplicaList, after: ReplicaList): VmId[] {
  const ready = new Set(
    after.replicas.filter(({ state }) => state === "ready")
      .map(({ id }) => id),
  );
  return before.replicas
    .filter(({ id, state, isRetained }) =>
      state === "ready" && isRetained !== true && !ready.has(id)
    )
    .map(({ id }) => id);
}
