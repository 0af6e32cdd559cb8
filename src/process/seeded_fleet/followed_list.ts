/**
 * Keeps the replica list of this VM up to date with what the store and other VMs
 * tell. An older list never replaces a newer one.
 *
 * @module
 */
import type { Incarnation, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { formatNames } from "../format_names.ts";
import type { Log } from "../log.ts";
import type { LastSend } from "../placement/last_sends.ts";
import { listDifferences } from "../placement/list_digest.ts";
import {
  isAfterRestore,
  isNewer,
  isSamePosition,
} from "../placement/list_position.ts";
import type {
  ReplicaDirectory,
  ReplicaList,
} from "../placement/replica_list.ts";
import { listEvacuations, writeEvacuations } from "./evacuation_changes.ts";
import { type FleetHeartbeat, getListPosition } from "./fleet_message.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import { LeavingNews } from "./leaving_news.ts";
import { ListAgreement } from "./list_agreement.ts";
import { ListConfirmation } from "./list_confirmation.ts";
import { buildCorrectedList } from "./list_correction.ts";
import type { ListSource, VersionRecord } from "./list_source.ts";
import {
  RecentlyExpired,
  type StoreOutage,
  toPublishedList,
} from "./recently_expired.ts";
import { listChanges, writeChanges } from "./replica_changes.ts";
import { Restorations } from "./restorations.ts";
import { StateLag } from "./state_lag.ts";
import type { ReadState } from "./store_reader.ts";

/**
 * A view older than a watch of the store and the time for which word of it
 * spreads counts as cut off from the store.
 */
const STALE_VIEW_MS = 1_700;

/** Options of `FollowedList`. */
export interface FollowedListOptions {
  incarnation: Incarnation;
  clock: Clock;
  log: Log;
  peers: FleetPeers;
  replicas: ReplicaDirectory;
  /** Interval at which replicas renew their entries. */
  entryRenewalMs: number;
  /** Called with each newer list, even if no replica changed. */
  onList: (list: ReplicaList, source: ListSource) => void;
  /**
   * Called when replicas or evacuations changed, with the replicas that
   * restarted.
   */
  onReplicas: (restarted: readonly VmId[]) => void;
  /** The last request to a replica; undefined for none. */
  findLastSend: (replica: VmId) => LastSend | undefined;
}

/** The list, and how new it is known to be. */
export class FollowedList {
  readonly #options: FollowedListOptions;
  /** Restorations of the store from older copies. */
  readonly restorations: Restorations;
  /** Leavings of replicas, for the log and other VMs. */
  readonly leavings: LeavingNews;
  /** When the list was last known to be the newest. */
  readonly confirmation: ListConfirmation;
  /** Which other VMs have other lists at one position. */
  readonly agreement: ListAgreement;
  readonly #expired: RecentlyExpired;
  readonly #lag: StateLag;

  constructor(options: FollowedListOptions) {
    this.#options = options;
    this.#expired = RecentlyExpired.create(options);
    this.restorations = Restorations.create({
      ...options,
      onWithheld: () => options.onReplicas([]),
    });
    this.leavings = LeavingNews.create({
      ...options,
      getListAgeMs: () => this.getAgeMs(),
    });
    this.agreement = ListAgreement.create(options);
    this.#lag = StateLag.create(options.clock, options.log);
    this.confirmation = ListConfirmation.create(
      options.incarnation,
      options.clock,
    );
  }

  static create(options: FollowedListOptions): FollowedList {
    return new FollowedList(options);
  }

  stop(): void {
    this.restorations.stop();
  }

  /** Whether replicas are retained that are missing in the store's list. */
  get isRetaining(): boolean {
    return this.#expired.isRetaining;
  }

  /** Time since the list was last known to be the newest; -1 for never. */
  getAgeMs(): number {
    const age = this.#options.clock.now() - this.confirmation.confirmedAt;
    return Number.isFinite(age) ? Math.round(age) : -1;
  }

  /** Whether the list was not known to be the newest for some time. */
  isStale(): boolean {
    const { clock } = this.#options;
    return clock.now() - this.confirmation.confirmedAt > STALE_VIEW_MS;
  }

  /** Time for which another VM has had a newer list; 0 if none has. */
  getLagMs(): number {
    return this.#lag.getMs();
  }

  /** Whether another VM has a newer list than this one. */
  isBehind(heartbeat: FleetHeartbeat): boolean {
    const own = this.#options.replicas.getList();
    const list = getListPosition(heartbeat);
    return isNewer(list, own) && !this.#expired.isHeldBack(list, own);
  }

  /** Records what another VM tells of its list. */
  noteHeartbeat(heartbeat: FleetHeartbeat): void {
    const { replicas, onReplicas } = this.#options;
    const list = getListPosition(heartbeat);
    const isSameList = isSamePosition(list, replicas.position);
    this.confirmation.noteHeartbeat(heartbeat, isSameList);
    this.agreement.noteHeartbeat(heartbeat);
    const hasLeft = this.leavings.noteHeartbeat(heartbeat);
    if (hasLeft) {
      this.#expired.dropLeft((id) => replicas.hasLeft(id));
      onReplicas([]);
    }
    this.restorations.noteTold(heartbeat);
    if (this.isBehind(heartbeat)) this.#lag.noteBehind(list);
  }

  /** Records that the store answers again. */
  noteStoreRegained(outage: StoreOutage): void {
    this.#expired.noteStoreRegained(outage);
  }

  /** Applies the list of another VM, which may retain replicas. */
  applyFetched(
    fetched: ReplicaList,
    versions: VersionRecord | undefined,
    from: VmId,
  ): void {
    const source: ListSource = versions === undefined
      ? { kind: "unknown" }
      : { kind: "record", record: versions };
    const before = this.#options.replicas.getList();
    const published = toPublishedList(fetched);
    this.#noteMissing(published, before);
    const list = this.#expired.isRestoring
      ? this.#expired.apply(published, before)
      : fetched;
    this.#apply(list, from, { source });
  }

  /** Applies the list that the store told. */
  applyRead({ state, newestAt, isWhole, source }: ReadState): void {
    const { replicas } = this.#options;
    const before = replicas.getList();
    this.#noteMissing(state.replicas, before);
    const read = this.#expired.apply(state.replicas, before);
    const list = isWhole ? buildCorrectedList(before, read) : read;
    const isCorrected = list !== before && list.revision > read.revision;
    if (isCorrected) this.#writeCorrected(before, list);
    this.#apply(list, "store", { source, isCorrected });
    if (!isSamePosition(replicas.position, list)) return;
    this.confirmation.noteStore(newestAt);
  }

  #apply(
    list: ReplicaList,
    from: VmId | "store",
    { source, isCorrected = false }: {
      source: ListSource;
      isCorrected?: boolean;
    },
  ): void {
    const { replicas, log } = this.#options;
    const before = replicas.getList();
    const isRestored = isAfterRestore(list, before);
    const left = isRestored ? replicas.listLeft() : [];
    const [listAgeMs, lagMs] = [this.getAgeMs(), this.#lag.getMs()];
    const differsMs = this.agreement.getDifferingMs();
    if (!replicas.apply(list, from)) return;
    this.#lag.noteApplied(list, from, listAgeMs);
    const after = replicas.getList();
    this.agreement.noteOwn(after);
    if (isRestored) {
      this.leavings.noteRestored();
      this.restorations.noteRestored({ before, left, from });
    } else {
      this.restorations.noteList(after);
    }
    this.#options.onList(after, source);
    const changes = listChanges(before, after);
    const evacuations = listEvacuations(before, after);
    if (changes.length + evacuations.length === 0) return;
    writeEvacuations(log, evacuations, { list, from });
    const isFirst = before.revision === 0;
    writeChanges(log, changes, { list, from, isFirst });
    this.leavings.noteList({
      before,
      after,
      from,
      listAgeMs,
      lagMs,
      differsMs,
      isCorrected,
    });
    const restarted = changes.filter(({ change }) => change === "restarted");
    this.#options.onReplicas(restarted.map(({ replica }) => replica));
  }

  #writeCorrected(before: ReplicaList, list: ReplicaList): void {
    this.#options.log.warn("list_corrected", {
      revision: list.revision,
      entries: formatNames(listDifferences(before, list)),
      differs_ms: this.agreement.getDifferingMs(),
    });
  }

  /** Retains what the copy lacks, unless another VM told that it has left. */
  #noteMissing(list: ReplicaList, before: ReplicaList): void {
    if (!isAfterRestore(list, before)) return;
    const { replicas } = this.#options;
    const ready = before.replicas.filter(({ id }) => !replicas.hasLeft(id));
    this.#expired.noteRestored(list, { ...before, replicas: ready });
  }
}
