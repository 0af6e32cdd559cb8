/**
 * The configuration service and the membership list, without sockets.
 *
 * @module
 */

/** A published index of record groups. */
export interface PublishedIndex {
  version: number;
  groups: Record<string, number>;
}

/** A published membership list; VMs have the format of docs/PLATFORM.md. */
export interface PublishedList {
  revision: number;
  vms: unknown[];
}

/** A fault injected into all reads. */
export type PlatformFault = "none" | "down" | "stale";

interface Change {
  promise: Promise<void>;
  resolve: () => void;
}

/** Published versions; older ones are kept for the `stale` fault. */
export class PlatformCore {
  readonly #indexes: PublishedIndex[] = [];
  readonly #lists: PublishedList[] = [];
  readonly #groups = new Map<string, unknown[]>();
  #change = buildChange();
  #fault: PlatformFault = "none";
  #staleIndex: PublishedIndex | undefined;
  #staleList: PublishedList | undefined;
  #calls = 0;

  static create(): PlatformCore {
    return new PlatformCore();
  }

  get fault(): PlatformFault {
    return this.#fault;
  }

  /** Number of calls so far; a watch counts once, however long it waits. */
  get calls(): number {
    return this.#calls;
  }

  /** Counts one call. */
  noteCall(): void {
    this.#calls++;
  }

  /** Publishes groups under the next version; other groups keep theirs. */
  addVersion(groups: Record<string, unknown[]>): number {
    const last = this.#indexes.at(-1);
    const version = (last?.version ?? 0) + 1;
    const index = { version, groups: { ...last?.groups } };
    for (const [name, records] of Object.entries(groups)) {
      index.groups[name] = version;
      this.#groups.set(formatGroupKey(name, version), records);
    }
    this.#indexes.push(index);
    this.#announceChange();
    return version;
  }

  /** Publishes the given index and its groups unchanged. */
  setIndex(index: PublishedIndex, groups: Record<string, unknown[]>): void {
    for (const [name, records] of Object.entries(groups)) {
      const version = index.groups[name] ?? index.version;
      this.#groups.set(formatGroupKey(name, version), records);
    }
    this.#indexes.push(index);
    this.#announceChange();
  }

  /** Publishes a list under the next revision. */
  addList(vms: unknown[]): number {
    const revision = (this.#lists.at(-1)?.revision ?? 0) + 1;
    this.#lists.push({ revision, vms });
    this.#announceChange();
    return revision;
  }

  /** Sets the fault; `stale` serves the state of `behind` publications ago. */
  setFault(fault: PlatformFault, behind = 1): void {
    this.#fault = fault;
    this.#staleIndex = this.#indexes.at(-1 - behind) ?? this.#indexes[0];
    this.#staleList = this.#lists.at(-1 - behind) ?? this.#lists[0];
    this.#announceChange();
  }

  getIndex(): PublishedIndex | undefined {
    return this.#fault === "stale" ? this.#staleIndex : this.#indexes.at(-1);
  }

  getList(): PublishedList | undefined {
    return this.#fault === "stale" ? this.#staleList : this.#lists.at(-1);
  }

  findGroup(name: string, version: number): unknown[] | undefined {
    return this.#groups.get(formatGroupKey(name, version));
  }

  /** Resolves at the next change of an index, a list or the fault. */
  waitForChange(): Promise<void> {
    return this.#change.promise;
  }

  #announceChange(): void {
    const change = this.#change;
    this.#change = buildChange();
    change.resolve();
  }
}

function formatGroupKey(name: string, version: number): string {
  return `${name}/${version}`;
}

function buildChange(): Change {
  let resolve = () => {};
  const promise = new Promise<void>((onChange) => {
    resolve = onChange;
  });
  return { promise, resolve };
}
