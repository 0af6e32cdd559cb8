/**
 * Replicas of each pool, as the platform publishes them.
 *
 * @module
 */
import {
  type DataCentre,
  type PoolName,
  type SoftwareVersion,
  toId,
  type VmId,
} from "../../ids.ts";
import type { ListView } from "./last_sends.ts";
import {
  comparePositions,
  getEra,
  isNewer,
  type ListPosition,
} from "./list_position.ts";

/** A replica that is gone may still work on requests for some seconds. */
const MAX_FORMER = 256;

/** Stands for the software of replicas that publish no version. */
const NO_VERSION = toId<SoftwareVersion>("");

/** One replica. It may restart under the same id, with an empty cache. */
export interface ListedReplica {
  id: VmId;
  pool: PoolName;
  /** IP address. */
  address: string;
  port: number;
  dataCentre: DataCentre;
  /** Requests that it runs at once. */
  slots: number;
  /**
   * Version of its software; undefined where it publishes none. Versions are
   * equal or not, in no order.
   */
  version?: SoftwareVersion | undefined;
  /** `draining` takes no new work. */
  state: "ready" | "draining";
  /**
   * Start of its process, in Unix milliseconds of its own clock. A different
   * value is another incarnation; undefined where it has reported none.
   */
  startedAt?: number | undefined;
  /** Warm-up that its entry reports; undefined once it is warm. */
  warmUp?: ReplicaWarmUp | undefined;
  /** Whether the published list lacks it; it may have expired in an outage. */
  isRetained?: boolean;
}

/** The version of a replica's software; none is a version of its own. */
export function getSoftwareVersion(
  { version = NO_VERSION }: ListedReplica,
): SoftwareVersion {
  return version;
}

/** Whether a replica runs `version`; true for any where it is undefined. */
export function hasVersion(
  replica: ListedReplica,
  version: SoftwareVersion | undefined,
): boolean {
  return version === undefined || getSoftwareVersion(replica) === version;
}

/** Warm-up as the replica itself reports it. */
export interface ReplicaWarmUp {
  /** Milliseconds that were left when the entry was written. */
  leftMs: number;
  /** Revision of the entry; the same entry carries nothing new. */
  revision: number;
}

/** All replicas at one position. */
export interface ReplicaList extends ListPosition {
  replicas: ListedReplica[];
  /**
   * Data centres that the operator has evacuated, whose replicas get nothing
   * new; none where it is left out. They are part of the list so that both are
   * passed on together and never return to an older state.
   */
  evacuated?: readonly DataCentre[];
}

/**
 * Called when a replica has announced, to this VM or another, that it leaves.
 */
export type OnLeaving = (replica: VmId) => void;

/**
 * A replica that has announced that it leaves, and the revision of the
 * reporter's list, in the era that comes with the entries: the notice does not
 * apply to a process that was listed or started later.
 */
export type LeavingEntry = [replica: VmId, revision: number];

/** What a VM does not use although its list shows it as ready. */
export interface Withheld {
  replicas: ReadonlySet<VmId>;
  dataCentres: ReadonlySet<DataCentre>;
}

const NONE_WITHHELD: Withheld = {
  replicas: new Set(),
  dataCentres: new Set(),
};

/** The newest list that this VM has, indexed by id and by pool. */
export class ReplicaDirectory {
  #list: ReplicaList = { revision: 0, replicas: [] };
  #from: VmId | "store" = "store";
  #byId = new Map<VmId, ListedReplica>();
  #evacuated: ReadonlySet<DataCentre> = new Set();
  #ready = new Map<PoolName, ListedReplica[]>();
  /** Where the current process of each replica was first listed. */
  #listedSince = new Map<VmId, ListPosition>();
  /** Replicas of earlier lists that are gone, the newest last. */
  readonly #former = new Map<VmId, ListedReplica>();
  readonly #leaving = new Set<VmId>();
  /**
   * Replicas that a newer list than this one shows as leaving, and its position.
   */
  readonly #leftLater = new Map<VmId, ListPosition>();
  #withheld = NONE_WITHHELD;
  readonly #onLeaving: OnLeaving;

  constructor(onLeaving: OnLeaving) {
    this.#onLeaving = onLeaving;
  }

  static create(onLeaving: OnLeaving = () => {}): ReplicaDirectory {
    return new ReplicaDirectory(onLeaving);
  }

  get revision(): number {
    return this.#list.revision;
  }

  get position(): ListPosition {
    const { era, revision } = this.#list;
    return { era, revision };
  }

  getList(): ReplicaList {
    return this.#list;
  }

  /** The list of `ageMs`, for the log. */
  buildView(ageMs: number): ListView {
    const { revision } = this.#list;
    return { era: getEra(this.#list), revision, ageMs, from: this.#from };
  }

  /**
   * Applies `list`, which `from` gave; returns false if an equal or newer one is
   * there.
   */
  apply(list: ReplicaList, from: VmId | "store" = "store"): boolean {
    if (!isNewer(list, this.#list)) return false;
    this.#from = from;
    const replicas = list.replicas
      .filter((each) => this.#canList(each))
      .map((each) => this.#withStart(each));
    this.#listedSince = this.#buildListedSince(replicas, list);
    this.#list = { ...list, replicas };
    this.#evacuated = new Set(list.evacuated);
    const before = this.#byId;
    this.#byId = new Map(replicas.map((each) => [each.id, each]));
    this.#updateFormer(before);
    for (const id of this.#leaving) {
      const { era, revision } = list;
      const isSame = this.#isListedAt(id, { era, revision: revision - 1 });
      if (!isSame) this.#leaving.delete(id);
    }
    for (const [id, position] of this.#leftLater) {
      if (!isNewer(position, list)) this.#leftLater.delete(id);
    }
    this.#ready = this.#buildReady();
    return true;
  }

  /**
   * Records replicas that newer lists of other VMs, of an era, show as leaving;
   * returns those that this VM took for ready.
   */
  noteLeftLater(
    entries: readonly LeavingEntry[],
    era: number | undefined,
  ): LeavingEntry[] {
    const added = entries.filter(([id, revision]) =>
      isNewer({ era, revision }, this.#list) && this.isReady(id)
    );
    if (added.length === 0) return added;
    for (const [id, revision] of added) {
      this.#leftLater.set(id, { era, revision });
    }
    this.#ready = this.#buildReady();
    return added;
  }

  /** Records a replica's notice to this VM that it leaves. */
  noteLeaving(id: VmId): void {
    this.notePeerLeaving([[id, this.revision]], this.#list.era);
  }

  /**
   * Records the notices that replicas gave to other VMs, with lists of an era.
   */
  notePeerLeaving(
    entries: readonly LeavingEntry[],
    era: number | undefined,
  ): void {
    const added = entries.filter(([id, revision]) =>
      !this.#leaving.has(id) && this.#isListedAt(id, { era, revision })
    );
    if (added.length === 0) return;
    for (const [id] of added) this.#leaving.add(id);
    this.#ready = this.#buildReady();
    for (const [id] of added) this.#onLeaving(id);
  }

  /** Replicas that have announced that they leave but are listed as ready. */
  listLeaving(): LeavingEntry[] {
    return [...this.#leaving]
      .filter((id) => this.#byId.get(id)?.state === "ready")
      .map((id) => [id, this.revision]);
  }

  /** Replicas that are listed and leave, or that were listed before. */
  listLeft(): ListedReplica[] {
    const leaving = [...this.#byId.values()]
      .filter((replica) => this.#isLeaving(replica));
    return [...leaving, ...this.#former.values()];
  }

  /** Replaces what is withheld. */
  setWithheld(withheld: Withheld): void {
    this.#withheld = withheld;
    this.#ready = this.#buildReady();
  }

  find(id: VmId): ListedReplica | undefined {
    return this.#byId.get(id);
  }

  /** A replica of this list, or one that is gone since an earlier one. */
  findFormer(id: VmId): ListedReplica | undefined {
    return this.#byId.get(id) ?? this.#former.get(id);
  }

  /** Replicas of the pool that take new work. */
  listReady(pool: PoolName): readonly ListedReplica[] {
    return this.#ready.get(pool) ?? [];
  }

  /** Other replicas of the same pool that take new work. */
  listOthers(id: VmId): VmId[] {
    const pool = this.#byId.get(id)?.pool;
    if (pool === undefined) return [];
    return this.listReady(pool).map((each) => each.id)
      .filter((other) => other !== id);
  }

  /** Pools with replicas that take new work. */
  listPools(): PoolName[] {
    return [...this.#ready.keys()];
  }

  /**
   * Whether the listed process of `id` is the one that started at `startedAt`;
   * true where either start is unknown.
   */
  isIncarnation(id: VmId, startedAt: number | undefined): boolean {
    const known = this.#byId.get(id)?.startedAt;
    return startedAt === undefined || known === undefined ||
      known === startedAt;
  }

  /** Whether `id` still takes new work. */
  isReady(id: VmId): boolean {
    const replica = this.#byId.get(id);
    return replica !== undefined && this.#canTakeWork(replica);
  }

  /** Whether `id` is gone, draining, or has announced that it leaves. */
  hasLeft(id: VmId): boolean {
    const replica = this.#byId.get(id);
    return replica === undefined || this.#isLeaving(replica);
  }

  /**
   * Whether a replica is part of the new list. One that another VM retains does
   * not return to a VM that has dropped it.
   */
  #canList({ id, isRetained }: ListedReplica): boolean {
    const isFirstList = this.#list.revision === 0;
    return isRetained !== true || isFirstList || this.#byId.has(id);
  }

  /** Keeps the known start where an entry has none. */
  #withStart(replica: ListedReplica): ListedReplica {
    const startedAt = replica.startedAt ??
      this.#byId.get(replica.id)?.startedAt;
    return startedAt === undefined ? replica : { ...replica, startedAt };
  }

  #updateFormer(before: ReadonlyMap<VmId, ListedReplica>): void {
    for (const [id, replica] of before) {
      if (!this.#byId.has(id)) this.#former.set(id, replica);
    }
    for (const id of this.#former.keys()) {
      const isOver = this.#former.size > MAX_FORMER;
      if (isOver || this.#byId.has(id)) this.#former.delete(id);
    }
  }

  #buildListedSince(
    replicas: readonly ListedReplica[],
    { era, revision }: ListPosition,
  ): Map<VmId, ListPosition> {
    const position = { era, revision };
    return new Map(replicas.map(({ id, startedAt }) => {
      const before = this.#byId.get(id);
      const isSame = before !== undefined && before.startedAt === startedAt;
      return [id, isSame ? this.#listedSince.get(id) ?? position : position];
    }));
  }

  /** Whether the process that is listed now was listed at `position`. */
  #isListedAt(id: VmId, position: ListPosition): boolean {
    const since = this.#listedSince.get(id);
    return since !== undefined && comparePositions(position, since) >= 0;
  }

  #buildReady(): Map<PoolName, ListedReplica[]> {
    const ready = new Map<PoolName, ListedReplica[]>();
    for (const replica of this.#byId.values()) {
      if (!this.#canTakeWork(replica)) continue;
      const known = ready.get(replica.pool) ?? [];
      known.push(replica);
      ready.set(replica.pool, known);
    }
    return ready;
  }

  #canTakeWork(replica: ListedReplica): boolean {
    return !this.#isLeaving(replica) &&
      !this.#evacuated.has(replica.dataCentre) &&
      !this.#withheld.dataCentres.has(replica.dataCentre);
  }

  #isLeaving({ id, state }: ListedReplica): boolean {
    return state !== "ready" || this.#leaving.has(id) ||
      this.#leftLater.has(id) || this.#withheld.replicas.has(id);
  }
}
