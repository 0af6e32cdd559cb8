/**
 * A routed VM's part in placing the requests of a large fleet: it asks owners,
 * and answers those who take it for one.
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
  type AnswerMessage,
  type AskMessage,
  type FleetMember,
  type FleetPeer,
  type FleetPeers,
  type FleetWork,
  isSmallFleet,
  PlacementAsker,
  PoolOwners,
  type WorkShare,
} from "./seeded_fleet/index.ts";

/** As `formatLoads` gives it for a VM without work. */
const NO_LOADS = "[[],[],[]]";

/** What the part needs. */
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
  /** This VM, as others rank it. */
  getSelf: () => FleetMember;
  send: (to: FleetPeer, message: AskMessage) => void;
}

/** Asks and answers. */
export class OwnedPlacement {
  readonly #options: OwnedPlacementOptions;
  readonly #asker: PlacementAsker;
  readonly #chooser: ReplicaChooser;
  #owners: PoolOwners | undefined;
  /** The loads that were told last, by the duties of those that were told. */
  #toldLoads = new Map<string, string>();

  constructor(options: OwnedPlacementOptions) {
    const { vm, clock, log, replicas, placement, send } = options;
    this.#options = options;
    this.#chooser = ReplicaChooser.create(replicas, placement, options);
    this.#asker = PlacementAsker.create({
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
   * Asks the pool's owner where a request should go. Undefined where this VM
   * is the owner, where there is none, and where it is silent.
   */
  async askOwner(request: PlacementRequest): Promise<OwnerDecision> {
    if (this.#findOwners() === undefined) return undefined;
    const placed = await this.#asker.ask(request);
    if (placed === undefined || placed === "full") return placed;
    const { replicas } = this.#options;
    const replica = replicas.find(placed.replica);
    // One VM may have read of a replica that comes or leaves before another.
    if (replica === undefined || !replicas.isReady(replica.id)) {
      return undefined;
    }
    return { ...placed, replica };
  }

  answerAsk(message: AskMessage): AnswerMessage {
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

  noteAnswer(answer: AnswerMessage): void {
    this.#asker.noteAnswer(answer);
  }

  /** This VM's work, to be told to those that place requests of its pools. */
  takeWork(): WorkShare[] {
    const { placement, replicas } = this.#options;
    const news = placement.takeUpdate();
    const leaving = replicas.listLeaving();
    const work = { ...news, ...this.#asker.numbers, leaving };
    const owners = this.#findOwners();
    if (owners === undefined) {
      return [{ owners: undefined, work, isNew: true }];
    }
    const told = new Map<string, string>();
    const shares = owners.groups.map(({ duties, vms }) => {
      const part = this.#pickWork(work, duties);
      const key = duties.join();
      const loads = formatLoads(part);
      told.set(key, loads);
      const isNew = loads !== (this.#toldLoads.get(key) ?? NO_LOADS) ||
        [part.results, part.speeds, part.placements, part.reads]
          .some((entries) => entries.length > 0);
      return { owners: vms, work: part, isNew };
    });
    this.#toldLoads = told;
    return shares;
  }

  /** Takes in that what `vm` told of its work still holds. */
  noteAlive(vm: VmId): void {
    this.#options.placement.loads.notePeerAlive(vm);
  }

  /** Takes in what another VM told of its work. */
  noteWork(vm: VmId, work: FleetWork): void {
    const { placement, replicas } = this.#options;
    replicas.notePeerLeaving(work.leaving);
    placement.loads.unreported.settle(vm, work.lastAsk, work.openAsks);
    placement.applyUpdate(vm, work);
  }

  /** Who decides on a pool's requests beside this VM. */
  getShare(pool: PoolName): PlacementRole {
    const { vm, peers } = this.#options;
    const others = peers.listKnown();
    if (others.length === 0 && this.#options.hasSeeds()) {
      return { role: "unsettled", others };
    }
    if (this.#findOwners()?.listOwners(pool).includes(vm)) {
      return { role: "owner", others };
    }
    // One that hears few of a large fleet is cut off: the others have owners.
    const isEqual = isSmallFleet(1 + others.length);
    return { role: isEqual ? "equal" : "alone", others };
  }

  /** Everybody who places requests of any pool; undefined for all VMs. */
  listOwners(): ReadonlySet<VmId> | undefined {
    return this.#findOwners()?.owners;
  }

  /** Who is to be asked for a pool, up to this VM itself. */
  #listOwnersBefore(pool: PoolName): FleetPeer[] {
    const { vm, peers } = this.#options;
    const owners = this.#findOwners()?.listOwners(pool) ?? [];
    const ownIndex = owners.indexOf(vm);
    const before = ownIndex < 0 ? owners : owners.slice(0, ownIndex);
    return before.map((each) => peers.find(each))
      .filter((peer) => peer !== undefined);
  }

  /**
   * The owners of this moment; undefined in a fleet that needs none. They are
   * found anew only when somebody comes, leaves or changes: to order all VMs
   * for each request took 0.08 ms of processor time among 195 of them.
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

  /** The part that regards the pools of some duties. */
  #pickWork(work: FleetWork, duties: readonly string[]): FleetWork {
    const { replicas } = this.#options;
    const isPart = ([replica]: readonly [VmId, ...unknown[]]) => {
      const pool = replicas.find(replica)?.pool;
      return pool !== undefined &&
        duties.includes(this.#owners?.findDuty(pool) ?? "");
    };
    return {
      ...work,
      loads: work.loads.filter(isPart),
      results: work.results.filter(isPart),
      speeds: work.speeds.filter(isPart),
      placements: work.placements.filter(isPart),
      reads: work.reads.filter(isPart),
      limits: work.limits.filter(isPart),
      leaving: work.leaving.filter(isPart),
    };
  }
}

/** What is told again and again, as text that shows whether any of it changed. */
function formatLoads({ loads, limits, leaving }: FleetWork): string {
  const sent = limits.map((
    [replica, requestsPerS, _ageMs, count],
  ) => [replica, requestsPerS, count]);
  return JSON.stringify([loads, sent, leaving.map(([replica]) => replica)]);
}
