/**
 * A routed VM's part in placing the requests of a large fleet: it asks owners,
 * and answers those who take it for one.
 *
 * @module
 */
import type { PoolName, VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import {
  type Placement,
  type PlacementRequest,
  type PlacementState,
  ReplicaChooser,
  type ReplicaDirectory,
} from "./placement/index.ts";
import {
  type AnswerMessage,
  type AskMessage,
  findDuty,
  type FleetPeer,
  type FleetPeers,
  type FleetWork,
  isSmallFleet,
  listDuties,
  listPlacersOf,
  type OwnerCandidate,
  PlacementAsker,
} from "./seeded_fleet/index.ts";

/** What the part needs. */
export interface OwnedPlacementOptions {
  vm: VmId;
  clock: Clock;
  log: Log;
  replicas: ReplicaDirectory;
  placement: PlacementState;
  peers: FleetPeers;
  /** This VM, as others rank it. */
  getSelf: () => OwnerCandidate & { isServing: boolean };
  send: (to: FleetPeer, message: AskMessage) => void;
}

/** Asks and answers. */
export class OwnedPlacement {
  readonly #options: OwnedPlacementOptions;
  readonly #asker: PlacementAsker;
  readonly #chooser: ReplicaChooser;

  constructor(options: OwnedPlacementOptions) {
    const { vm, clock, log, replicas, placement, send } = options;
    this.#options = options;
    this.#chooser = ReplicaChooser.create(replicas, placement);
    this.#asker = PlacementAsker.create({
      vm,
      clock,
      log,
      listPlacers: (pool) => this.#listPlacersBefore(pool),
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
  async askOwner(request: PlacementRequest): Promise<Placement | undefined> {
    if (isSmallFleet(this.#countVms())) return undefined;
    const placed = await this.#asker.ask(request);
    if (placed === undefined) return undefined;
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
    if (placement === undefined) return { kind: "answer", ask };
    const { replica, ...placed } = placement;
    return { kind: "answer", ask, placed: { ...placed, replica: replica.id } };
  }

  noteAnswer(answer: AnswerMessage): void {
    this.#asker.noteAnswer(answer);
  }

  /** This VM's work, to be told to those that place requests. */
  takeWork(): FleetWork {
    return { ...this.#options.placement.takeNews(), ...this.#asker.numbers };
  }

  /** Takes in what another VM told of its work. */
  noteWork(vm: VmId, work: FleetWork): void {
    const { placement } = this.#options;
    placement.loads.answered.settle(vm, work.lastAsk, work.openAsks);
    placement.noteNews(vm, work);
  }

  /** Everybody who places requests of any pool; undefined for all VMs. */
  listPlacers(): Set<VmId> | undefined {
    const count = this.#countVms();
    if (isSmallFleet(count)) return undefined;
    const candidates = this.#listCandidates();
    const placers = listDuties(count)
      .flatMap((duty) => listPlacersOf(duty, candidates));
    return new Set(placers);
  }

  /** Who is to be asked for a pool, up to this VM itself. */
  #listPlacersBefore(pool: PoolName): FleetPeer[] {
    const { vm, peers } = this.#options;
    const duty = findDuty(pool, listDuties(this.#countVms()));
    const placers = listPlacersOf(duty, this.#listCandidates());
    const ownIndex = placers.indexOf(vm);
    const before = ownIndex < 0 ? placers : placers.slice(0, ownIndex);
    return before.map((each) => peers.find(each))
      .filter((peer) => peer !== undefined);
  }

  #listCandidates(): OwnerCandidate[] {
    const { getSelf, peers } = this.#options;
    const self = getSelf();
    const others = peers.listLive().map(({ beat }) => beat)
      .filter(({ isServing, isDraining }) => isServing && !isDraining);
    return self.isServing ? [...others, self] : others;
  }

  #countVms(): number {
    return 1 + this.#options.peers.listLive().length;
  }
}
