/**
 * Placement of requests in a large fleet: requests placements from pool owners,
 * and answers such requests where this VM is an owner.
 *
 * @module
 */
import type { PoolName, VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import type { Random } from "./random.ts";
import {
  type Locality,
  type OwnerDecision,
  type PlacementRequest,
  type PlacementRole,
  type PlacementState,
  ReplicaChooser,
  type ReplicaDirectory,
} from "./placement/index.ts";
import {
  type FleetMember,
  type FleetPeer,
  type FleetPeers,
  isSmallFleet,
  type PlacementAnswerMessage,
  PlacementRequester,
  type PlacementRequestMessage,
  PoolOwners,
  type WorkReport,
  type WorkUpdate,
} from "./seeded_fleet/index.ts";

/** Result of `formatLoads` for a VM without work. */
const NO_LOADS = "[[],[],[]]";

/** Options of `OwnedPlacement`. */
export interface OwnedPlacementOptions {
  vm: VmId;
  clock: Clock;
  log: Log;
  replicas: ReplicaDirectory;
  locality: Locality;
  random: Random;
  placement: PlacementState;
  peers: FleetPeers;
  /** Whether the settings name other VMs. */
  hasSeeds: () => boolean;
  /** This VM as a candidate for owner. */
  getSelf: () => FleetMember;
  send: (to: FleetPeer, message: PlacementRequestMessage) => void;
}

/** Requests and answers placements. */
export class OwnedPlacement {
  readonly #options: OwnedPlacementOptions;
  readonly #requester: PlacementRequester;
  readonly #chooser: ReplicaChooser;
  #owners: PoolOwners | undefined;
  /**
   * The loads that were last sent to each group of owners, by its partitions.
   */
  #lastSentLoads = new Map<string, string>();

  constructor(options: OwnedPlacementOptions) {
    const { vm, clock, log, replicas, placement, send } = options;
    this.#options = options;
    this.#chooser = ReplicaChooser.create(replicas, placement, options);
    this.#requester = PlacementRequester.create({
      vm,
      clock,
      log,
      listOwners: (pool) => this.#listOwnersBefore(pool),
      send,
    });
  }

  static create(options: OwnedPlacementOptions): OwnedPlacement {
    return new OwnedPlacement(options);
  }

  /**
   * Requests a placement from the pool's owner. Resolves to undefined if this
   * VM is the owner, if there is none, or if it does not answer.
   */
  async fetchPlacement(request: PlacementRequest): Promise<OwnerDecision> {
    if (this.#findOwners() === undefined) return undefined;
    const placed = await this.#requester.fetchPlacement(request);
    if (placed === undefined || placed === "full") return placed;
    const { replicas } = this.#options;
    const replica = replicas.find(placed.replica);
    // VMs learn of added and removed replicas at different times, so this one
    // may not list the owner's choice, or not as ready.
    if (replica === undefined || !replicas.isReady(replica.id)) {
      return undefined;
    }
    return { ...placed, replica };
  }

  answerRequest(message: PlacementRequestMessage): PlacementAnswerMessage {
    const { vm, ask } = message;
    const placement = this.#chooser.chooseFor(vm, ask, message);
    if (placement === undefined) {
      return {
        kind: "answer",
        ask,
        isFull: this.#chooser.hasCandidates(message),
      };
    }
    const { replica, ...placed } = placement;
    return {
      kind: "answer",
      ask,
      placed: { ...placed, replica: replica.id },
      isFull: false,
    };
  }

  noteAnswer(answer: PlacementAnswerMessage): void {
    this.#requester.noteAnswer(answer);
  }

  /** Work of this VM for each group of owners, limited to their pools. */
  takeWorkUpdates(): WorkUpdate[] {
    const { placement, replicas } = this.#options;
    const update = placement.takeUpdate();
    const leaving = replicas.listLeaving();
    const work = { ...update, ...this.#requester.requestNumbers, leaving };
    const owners = this.#findOwners();
    if (owners === undefined) {
      return [{ owners: undefined, work, isNew: true }];
    }
    const sentLoads = new Map<string, string>();
    const workUpdates = owners.groups.map(({ partitions, vms }) => {
      const part = this.#pickWork(work, partitions);
      const key = partitions.join();
      const loads = formatLoads(part);
      sentLoads.set(key, loads);
      const isNew = loads !== (this.#lastSentLoads.get(key) ?? NO_LOADS) ||
        [part.results, part.speeds, part.placements, part.reads]
          .some((entries) => entries.length > 0);
      return { owners: vms, work: part, isNew };
    });
    this.#lastSentLoads = sentLoads;
    return workUpdates;
  }

  /** Records that the last work report of `vm` still holds. */
  noteAlive(vm: VmId): void {
    this.#options.placement.loads.notePeerAlive(vm);
  }

  /** Applies another VM's work report. */
  applyWork(vm: VmId, work: WorkReport): void {
    const { placement, replicas } = this.#options;
    replicas.notePeerLeaving(work.leaving);
    placement.loads.unreported.settle(vm, work.lastAsk, work.openAsks);
    placement.applyUpdate(vm, work);
  }

  /**
   * Role of this VM in the placement of a pool's requests, and the other VMs.
   */
  getRole(pool: PoolName): PlacementRole {
    const { vm, peers } = this.#options;
    const others = peers.listKnown();
    if (others.length === 0 && this.#options.hasSeeds()) {
      return { role: "unsettled", others };
    }
    if (this.#findOwners()?.listOwners(pool).includes(vm)) {
      return { role: "owner", others };
    }
    // A VM that knows of only a few others in a large fleet is cut off; the
    // others have owners.
    const isEqual = isSmallFleet(1 + others.length);
    return { role: isEqual ? "equal" : "alone", others };
  }

  /** VMs that place requests of any pool; undefined if every VM does. */
  listOwners(): ReadonlySet<VmId> | undefined {
    return this.#findOwners()?.owners;
  }

  /** Owners that precede this VM for a pool; all owners if it is none. */
  #listOwnersBefore(pool: PoolName): FleetPeer[] {
    const { vm, peers } = this.#options;
    const owners = this.#findOwners()?.listOwners(pool) ?? [];
    const ownIndex = owners.indexOf(vm);
    const before = ownIndex < 0 ? owners : owners.slice(0, ownIndex);
    return before.map((each) => peers.find(each))
      .filter((peer) => peer !== undefined);
  }

  /**
   * The current owners; undefined in a fleet that needs none. They are computed
   * again only when a VM is added, removed or changed: ordering 195 VMs for
   * each request took 0.08 ms of processor time.
   */
  #findOwners(): PoolOwners | undefined {
    const { getSelf, peers } = this.#options;
    const self = getSelf();
    const key =
      `${peers.revision} ${self.isServing} ${self.isDraining} ${self.isPrimed}`;
    if (this.#owners?.key !== key) {
      const live = peers.listLive().map(({ heartbeat }) => heartbeat);
      this.#owners = PoolOwners.create(key, [...live, self]);
    }
    return this.#owners.isNeeded ? this.#owners : undefined;
  }

  /** The part of `work` that concerns the pools of `partitions`. */
  #pickWork(work: WorkReport, partitions: readonly string[]): WorkReport {
    const { replicas } = this.#options;
    const isIncluded = ([replica]: readonly [VmId, ...unknown[]]) => {
      const pool = replicas.find(replica)?.pool;
      return pool !== undefined &&
        partitions.includes(this.#owners?.findPartition(pool) ?? "");
    };
    return {
      ...work,
      loads: work.loads.filter(isIncluded),
      results: work.results.filter(isIncluded),
      speeds: work.speeds.filter(isIncluded),
      placements: work.placements.filter(isIncluded),
      reads: work.reads.filter(isIncluded),
      limits: work.limits.filter(isIncluded),
      leaving: work.leaving.filter(isIncluded),
    };
  }
}

/**
 * Formats the entries that every report repeats, to detect whether any of them
 * changed.
 */
function formatLoads({ loads, limits, leaving }: WorkReport): string {
  const sent = limits.map((
    [replica, requestsPerS, _ageMs, count],
  ) => [replica, requestsPerS, count]);
  return JSON.stringify([loads, sent, leaving.map(([replica]) => replica)]);
}
