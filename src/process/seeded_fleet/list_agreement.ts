/**
 * Compares the list of this VM with those of the others by their digests.
 *
 * A list of a known position is not fetched, and an answer of the store without a
 * change confirms it. So an entry that one VM lacks stays unknown there until it
 * is written again, unless VMs compare what they hold.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { formatNames } from "../format_names.ts";
import type { Log } from "../log.ts";
import {
  computeListDigest,
  type ListDigest,
} from "../placement/list_digest.ts";
import {
  isSamePosition,
  type ListPosition,
} from "../placement/list_position.ts";
import type { ReplicaList } from "../placement/replica_list.ts";
import { RepeatedEvent } from "../repeated_event.ts";
import { type FleetHeartbeat, getListPosition } from "./fleet_message.ts";
import type { FleetPeers } from "./fleet_peers.ts";

/** VMs are a few lists behind each other while entries change. */
const MAX_OWN_LISTS = 8;
/** A change reaches all VMs within moments. */
const LOGGED_AFTER_MS = 300;
/** Heartbeats may come thousands of times a second. */
const LOG_CHECK_INTERVAL_MS = 100;

/** Options of `ListAgreement`. */
export interface ListAgreementOptions {
  clock: Clock;
  log: Log;
  peers: FleetPeers;
}

/** A VM whose list differs. */
export interface DifferingVm {
  vm: VmId;
  /** Time since the first of the comparisons in a row that show it. */
  forMs: number;
}

interface OwnList {
  position: ListPosition;
  digest: ListDigest;
}

/** Result of the last comparison with a VM, and since when it has been so. */
interface Comparison {
  isSame: boolean;
  since: number;
  at: number;
}

/** Which other VMs have other lists at a position that this VM has had. */
export class ListAgreement {
  readonly #options: ListAgreementOptions;
  /** Lists of this VM, the newest last. */
  #own: OwnList[] = [];
  readonly #compared = new Map<VmId, Comparison>();
  readonly #differ: RepeatedEvent;
  /** `Clock.now()` since which VMs differ, if that was logged. */
  #loggedSince: number | undefined;
  #logCheckedAt = -Infinity;

  constructor(options: ListAgreementOptions) {
    this.#options = options;
    this.#differ = RepeatedEvent.create("lists_differ", options);
  }

  static create(options: ListAgreementOptions): ListAgreement {
    return new ListAgreement(options);
  }

  /** Digest of this VM's list; undefined before the first. */
  get digest(): ListDigest | undefined {
    return this.#own.at(-1)?.digest;
  }

  /** Live VMs whose lists differ. */
  listDiffering(): DifferingVm[] {
    const now = this.#options.clock.now();
    return this.#listCompared()
      .filter(([, { isSame }]) => !isSame)
      .map(([vm, { since }]) => ({ vm, forMs: Math.round(now - since) }));
  }

  /** Live VMs that have the same list, or had at the last comparison. */
  listAgreeing(): VmId[] {
    return this.#listCompared()
      .filter(([, { isSame }]) => isSame)
      .map(([vm]) => vm);
  }

  /** Whether a VM had another list at the last comparison. */
  isDiffering(vm: VmId): boolean {
    return this.#compared.get(vm)?.isSame === false;
  }

  /** Live VMs that were compared since the first of them differed. */
  countCompared(): { differing: number; agreeing: number } {
    const compared = this.#listCompared().map(([, each]) => each);
    const differing = compared.filter(({ isSame }) => !isSame);
    const since = Math.min(...differing.map((each) => each.since));
    const agreeing = compared.filter(({ isSame, at }) => isSame && at >= since);
    return { differing: differing.length, agreeing: agreeing.length };
  }

  /** The longest time for which a VM has differed; 0 if none does. */
  getDifferingMs(): number {
    return Math.max(0, ...this.listDiffering().map(({ forMs }) => forMs));
  }

  /** Records the list that this VM has now. */
  noteOwn(list: ReplicaList): void {
    const { era, revision } = list;
    const own = {
      position: { era, revision },
      digest: computeListDigest(list),
    };
    if (this.#isCorrection(own)) {
      this.#own = [];
      this.#compared.clear();
    }
    this.#own = [...this.#own, own].slice(-MAX_OWN_LISTS);
  }

  /** Compares the list of another VM, if this one has had its position. */
  noteHeartbeat(heartbeat: FleetHeartbeat): void {
    const { vm, listDigest } = heartbeat;
    if (listDigest === undefined) return;
    const position = getListPosition(heartbeat);
    const own = this.#own
      .findLast((each) => isSamePosition(each.position, position));
    if (own === undefined) return;
    const isSame = own.digest === listDigest;
    const before = this.#compared.get(vm);
    const now = this.#options.clock.now();
    const since = before?.isSame === isSame ? before.since : now;
    this.#compared.set(vm, { isSame, since, at: now });
    if (!isSame || this.#loggedSince !== undefined) this.#writeDiffering();
  }

  /** Whether a list replaces another one of the same revision of the store. */
  #isCorrection({ position, digest }: OwnList): boolean {
    const before = this.#own.at(-1);
    if (before === undefined || before.digest === digest) return false;
    return isSamePosition(toStored(before.position), toStored(position));
  }

  #listCompared(): [VmId, Comparison][] {
    const live = this.#options.peers.listLive()
      .map(({ heartbeat }) => heartbeat.vm);
    return live.flatMap((vm) => {
      const compared = this.#compared.get(vm);
      return compared === undefined ? [] : [[vm, compared]];
    });
  }

  #writeDiffering(): void {
    const { clock, log } = this.#options;
    const isDue = clock.now() - this.#logCheckedAt >= LOG_CHECK_INTERVAL_MS;
    if (!isDue) return;
    this.#logCheckedAt = clock.now();
    const differing = this.listDiffering();
    const forMs = this.getDifferingMs();
    if (differing.length === 0) {
      if (this.#loggedSince === undefined) return;
      const afterMs = Math.round(clock.now() - this.#loggedSince);
      log.info("lists_agree", { after_ms: afterMs });
      this.#loggedSince = undefined;
      return;
    }
    if (forMs < LOGGED_AFTER_MS) return;
    this.#loggedSince ??= clock.now() - forMs;
    const own = this.#own.at(-1);
    this.#differ.note({
      vms: formatNames(differing.map(({ vm }) => vm)),
      count: differing.length,
      agreeing: this.listAgreeing().length,
      for_ms: forMs,
      list_era: own?.position.era,
      list_revision: own?.position.revision,
    });
  }
}

/** The position of the store's list that a list was made from. */
function toStored({ era, revision }: ListPosition): ListPosition {
  return { era, revision: Math.floor(revision) };
}
