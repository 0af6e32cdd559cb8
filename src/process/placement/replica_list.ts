/**
 * The replicas of each pool, as the platform publishes them.
 *
 * @module
 */
import type { DataCentre, PoolName, VmId } from "../../ids.ts";

/** One replica. It may start again under the same id, with nothing cached. */
export interface ListedReplica {
  id: VmId;
  pool: PoolName;
  /** IP address. */
  address: string;
  port: number;
  dataCentre: DataCentre;
  /** Requests that it runs at once. */
  slots: number;
  /** `draining` takes no new work. */
  state: "ready" | "draining";
  /**
   * When its process started, in Unix milliseconds of its own clock. Another
   * value is another incarnation; undefined where it never said.
   */
  startedAt?: number | undefined;
  /** What its entry says of its warm-up; undefined once it is warm. */
  warmUp?: ReplicaWarmUp | undefined;
}

/** A replica's own word on its warm-up. */
export interface ReplicaWarmUp {
  /** Milliseconds that it lasted on when the entry was written. */
  leftMs: number;
  /** Of the entry; the same entry says nothing new. */
  revision: number;
}

/** All replicas at one revision; a higher revision is newer. */
export interface ReplicaList {
  revision: number;
  replicas: ListedReplica[];
  /**
   * Data centres whose replicas are to get nothing new, by the operator's
   * order; none where it is left out. It is part of the list so that both are
   * handed on together and never go back to an older state.
   */
  evacuated?: readonly DataCentre[];
}

/** Hears that a replica said that it leaves, while it is listed as ready. */
export type OnLeaving = (replica: VmId) => void;

/** The newest list that this VM has, with look-ups. */
export class ReplicaDirectory {
  #list: ReplicaList = { revision: 0, replicas: [] };
  #byId = new Map<VmId, ListedReplica>();
  #evacuated: ReadonlySet<DataCentre> = new Set();
  #ready = new Map<PoolName, ListedReplica[]>();
  /** Replicas that leave by their own word. */
  readonly #leaving = new Set<VmId>();
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

  getList(): ReplicaList {
    return this.#list;
  }

  /** Takes `list` unless an equal or newer one is there. */
  apply(list: ReplicaList): boolean {
    if (list.revision <= this.#list.revision) return false;
    const replicas = list.replicas.map((each) => this.#withStart(each));
    this.#dropEnded(replicas);
    this.#list = { ...list, replicas };
    this.#evacuated = new Set(list.evacuated);
    this.#byId = new Map(replicas.map((each) => [each.id, each]));
    this.#ready = new Map();
    for (const replica of replicas) {
      if (!this.#canTakeWork(replica)) continue;
      const known = this.#ready.get(replica.pool) ?? [];
      known.push(replica);
      this.#ready.set(replica.pool, known);
    }
    return true;
  }

  /** The word of a process that is gone says nothing of the next one. */
  #dropEnded(replicas: readonly ListedReplica[]): void {
    const startedAt = new Map(
      replicas.map((each) => [each.id, each.startedAt]),
    );
    for (const id of this.#leaving) {
      const isSame = startedAt.has(id) &&
        startedAt.get(id) === this.#byId.get(id)?.startedAt;
      if (!isSame) this.#leaving.delete(id);
    }
  }

  /** Takes in a replica's own word that it leaves. */
  noteLeaving(id: VmId): void {
    if (!this.isReady(id) || this.#leaving.has(id)) return;
    this.#leaving.add(id);
    this.#onLeaving(id);
  }

  /** Replicas that leave by their own word and are listed as ready. */
  listLeaving(): VmId[] {
    return [...this.#leaving].filter((id) => this.isReady(id));
  }

  /** An entry without a start says nothing of a new one. */
  #withStart(replica: ListedReplica): ListedReplica {
    const startedAt = replica.startedAt ??
      this.#byId.get(replica.id)?.startedAt;
    return startedAt === undefined ? replica : { ...replica, startedAt };
  }

  find(id: VmId): ListedReplica | undefined {
    return this.#byId.get(id);
  }

  /** The pool's replicas that take new work. */
  listReady(pool: PoolName): readonly ListedReplica[] {
    return this.#ready.get(pool) ?? [];
  }

  /** Whether `id` is the incarnation that started then, as far as is known. */
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

  #canTakeWork({ state, dataCentre }: ListedReplica): boolean {
    return state === "ready" && !this.#evacuated.has(dataCentre);
  }
}
