/**
 * What one VM knows of the replicas' work, and the updates on it that VMs
 * exchange.
 *
 * @module
 */
import { toId, type VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import {
  BrittleReplicas,
  type BrittleReplicasOptions,
  type RejectionEntry,
} from "./brittle_replicas.ts";
import { CallTimes } from "./call_times.ts";
import {
  type PlacementEntry,
  PrefixIndex,
  type ReadEntry,
} from "./prefix_index.ts";
import { PrefillShares } from "./prefill_shares.ts";
import { type OnBackOff, ReplicaBackOffs } from "./replica_back_offs.ts";
import { ReplicaHealth, type ResultEntry } from "./replica_health.ts";
import { type LoadEntry, ReplicaLoads } from "./replica_loads.ts";
import { SilentLog } from "../log.ts";
import { type Random, SystemRandom } from "../random.ts";
import { LastSends } from "./last_sends.ts";
import { LinkChecks, type LinkChecksOptions } from "./link_checks.ts";
import { ReplicaLinks, type ReplicaLinksOptions } from "./replica_links.ts";
import { ReplicaLiveness } from "./replica_liveness.ts";
import {
  ResponseProbes,
  type ResponseProbesOptions,
} from "./response_probes.ts";
import type { ListedReplica } from "./replica_list.ts";
import {
  type RateLimitEntry,
  ReplicaRateLimits,
  type ReplicaRateLimitsOptions,
} from "./replica_rate_limits.ts";
import { ReplicaSpeeds, type SpeedEntry } from "./replica_speed.ts";
import {
  TransportFailures,
  type UnreachedEntry,
} from "./transport_failures.ts";
import { RoomQueue } from "./room_queue.ts";
import { UnansweredRequests } from "./unanswered_requests.ts";
import { UnlistedReplicas } from "./unlisted_replicas.ts";
import { WorkspaceShares } from "./workspace_shares.ts";
import { SlowStart, type SlowStartOptions } from "./slow_start.ts";
import { VersionWaits } from "./version_waits.ts";

/**
 * Update for the other VMs. Loads and limits are repeated; everything else is
 * sent once.
 */
export interface PlacementUpdate {
  loads: LoadEntry[];
  results: ResultEntry[];
  unreached: UnreachedEntry[];
  speeds: SpeedEntry[];
  placements: PlacementEntry[];
  reads: ReadEntry[];
  limits: RateLimitEntry[];
  rejections: RejectionEntry[];
}

/** What the state needs to know of this VM's connections to replicas. */
export interface PlacementLinksOptions
  extends
    Omit<ReplicaLinksOptions, "clock">,
    Pick<LinkChecksOptions, "isListening" | "listPools"> {
  random: Random;
  findReplica: (replica: VmId) => ListedReplica | undefined;
}

/** Options of `PlacementState`. */
export interface PlacementStateOptions {
  clock: Clock;
  /** Called when there is an update to send. */
  onUpdate: () => void;
  onEjected: (replica: VmId, forMs: number) => void;
  onBackOff?: OnBackOff;
  /** Omitted where connections are not observed. */
  links?: PlacementLinksOptions;
  /** Omitted where replicas are not asked whether they respond. */
  probes?: Omit<ResponseProbesOptions, "clock" | "liveness">;
  /** Omitted where no replica needs a warm-up. */
  slowStart?: Omit<SlowStartOptions, "clock">;
  /** Omitted where no replica is brittle. */
  brittle?: Omit<BrittleReplicasOptions, "clock" | "loads">;
  /** Omitted by a VM without a fleet. */
  rateLimits?: Omit<ReplicaRateLimitsOptions, "clock">;
}

const NO_WARM_UP: Omit<SlowStartOptions, "clock"> = {
  vm: toId<VmId>("none"),
  excess: { ratio: 1, slack: 0 },
  getWarmUp: () => undefined,
  getRole: () => ({ role: "equal", others: [] }),
};

const NO_FLEET: Omit<ReplicaRateLimitsOptions, "clock"> = {
  getRole: () => ({ role: "equal", others: [] }),
  countReachable: () => 0,
  onChange: () => {},
};

const NOT_BRITTLE: Omit<BrittleReplicasOptions, "clock" | "loads"> = {
  vm: toId<VmId>("none"),
  listReady: () => [],
  getRole: () => ({ role: "equal", others: [] }),
  onChange: () => {},
};

const NO_LINKS: PlacementLinksOptions = {
  random: SystemRandom.create(),
  listReady: () => [],
  listPools: () => [],
  findReplica: () => undefined,
  isListening: () => Promise.resolve(true),
  onChange: () => {},
};

/** State that the choice of a replica is based on. */
export class PlacementState {
  readonly loads: ReplicaLoads;
  readonly health: ReplicaHealth;
  readonly speeds: ReplicaSpeeds;
  readonly prefixes: PrefixIndex;
  readonly prefills: PrefillShares;
  readonly callTimes = CallTimes.create();
  readonly shares: WorkspaceShares;
  readonly liveness: ReplicaLiveness;
  readonly probes: ResponseProbes | undefined;
  readonly unanswered: UnansweredRequests;
  readonly lastSends: LastSends;
  readonly slowStart: SlowStart;
  readonly rateLimits: ReplicaRateLimits;
  readonly backOffs: ReplicaBackOffs;
  readonly brittle: BrittleReplicas;
  readonly rooms: RoomQueue;
  readonly versionWaits: VersionWaits;
  readonly links: ReplicaLinks;
  readonly checks: LinkChecks;
  readonly failures: TransportFailures;
  readonly #unlisted: UnlistedReplicas;

  constructor(options: PlacementStateOptions) {
    const { clock, onUpdate, onEjected, onBackOff = () => {} } = options;
    const { slowStart = NO_WARM_UP, rateLimits = NO_FLEET } = options;
    const { links = NO_LINKS, brittle = NOT_BRITTLE } = options;
    this.loads = ReplicaLoads.create(clock, onUpdate);
    this.health = ReplicaHealth.create(clock, (replica, forMs) => {
      this.slowStart.noteFailing(replica, forMs);
      onEjected(replica, forMs);
      onUpdate();
    });
    this.speeds = ReplicaSpeeds.create(clock);
    this.prefixes = PrefixIndex.create(clock);
    this.prefills = PrefillShares.create(clock);
    this.liveness = ReplicaLiveness.create(clock);
    const { liveness } = this;
    this.probes = options.probes &&
      ResponseProbes.create({ ...options.probes, clock, liveness });
    this.unanswered = UnansweredRequests.create({
      clock,
      log: options.probes?.log ?? SilentLog.create(),
      liveness,
      checkResponse: (replica) =>
        this.probes?.check(replica) ?? Promise.resolve(true),
    });
    this.lastSends = LastSends.create(clock);
    this.shares = WorkspaceShares.create(clock);
    this.slowStart = SlowStart.create({ clock, ...slowStart });
    this.backOffs = ReplicaBackOffs.create(clock, onBackOff);
    this.brittle = BrittleReplicas.create({
      clock,
      ...brittle,
      loads: this.loads,
    });
    this.rooms = RoomQueue.create(clock);
    this.versionWaits = VersionWaits.create(options.clock);
    this.#unlisted = UnlistedReplicas.create(clock);
    this.links = ReplicaLinks.create({ clock, ...links });
    this.checks = LinkChecks.create({ clock, ...links, links: this.links });
    this.failures = TransportFailures.create({
      health: this.health,
      links: this.links,
      checks: this.checks,
      findReplica: links.findReplica,
    });
    this.rateLimits = ReplicaRateLimits.create({
      clock,
      ...rateLimits,
      onChange: (replica, requestsPerS) => {
        rateLimits.onChange(replica, requestsPerS);
        onUpdate();
      },
    });
  }

  static create(options: PlacementStateOptions): PlacementState {
    return new PlacementState(options);
  }

  /**
   * Takes this VM's own loads, and what it has not sent to the other VMs yet.
   */
  takeUpdate(): PlacementUpdate {
    return {
      loads: this.loads.listOwn(),
      results: this.health.takeUnsent(),
      unreached: this.failures.takeUnsent(),
      speeds: this.speeds.takeUnsent(),
      placements: this.prefixes.takeUnsent(),
      reads: this.prefixes.takeUnsentPrefilled(),
      limits: this.rateLimits.listUpdates(),
      rejections: this.brittle.takeUnsent(),
    };
  }

  /** Applies an update from another VM. */
  applyUpdate(vm: VmId, update: PlacementUpdate): void {
    this.loads.putPeerLoads(vm, update.loads);
    this.health.notePeerResults(update.results);
    void this.failures.notePeers(update.unreached);
    this.speeds.notePeerSpeeds(update.speeds);
    this.prefixes.notePeerPlacements(update.placements);
    this.prefixes.notePeerPrefilled(update.reads);
    this.rateLimits.applyUpdates(vm, update.limits);
    this.brittle.notePeers(update.rejections);
    for (const [replica, , prefillTokens] of update.placements) {
      const msPerToken = this.speeds.getMsPerToken(replica);
      this.prefills.addPrefill(replica, prefillTokens * msPerToken);
    }
  }

  /** Records whether a new connection to the replica was established. */
  noteConnection(replica: ListedReplica, isEstablished: boolean): void {
    if (isEstablished) {
      this.links.noteOpened(replica);
      return;
    }
    this.links.noteFailed(replica);
    void this.checks.startRechecks(replica);
  }

  /** Ends all checks of links. */
  stop(): void {
    this.checks.stop();
  }

  /** Whether this VM may place one more request there now. */
  hasCapacity(replica: ListedReplica): boolean {
    return this.slowStart.hasCapacity(replica) &&
      this.rateLimits.hasCapacity(replica) &&
      this.brittle.hasCapacity(replica);
  }

  /** Counts a request that this VM placed there. */
  addSent(replica: ListedReplica): void {
    this.slowStart.addSent(replica);
    this.rateLimits.addSent(replica);
  }

  /** Forgets everything about a replica whose process was replaced. */
  dropReplica(replica: VmId): void {
    const isOther = (id: VmId) => id !== replica;
    this.loads.dropOwn(replica);
    this.#dropObserved(isOther);
    this.#dropAsked(isOther);
  }

  /**
   * Forgets replicas that are no longer listed; what they asked for only later.
   */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    this.#dropObserved(isListed);
    this.#dropAsked((id) => this.#unlisted.noteListing(id, isListed(id)));
    this.#unlisted.dropExpired();
  }

  #dropObserved(isListed: (replica: VmId) => boolean): void {
    this.health.dropUnlisted(isListed);
    this.speeds.dropUnlisted(isListed);
    this.prefixes.dropUnlisted(isListed);
    this.prefills.dropUnlisted(isListed);
    this.liveness.dropUnlisted(isListed);
    this.probes?.dropUnlisted(isListed);
    this.lastSends.dropUnlisted(isListed);
    this.links.dropUnlisted(isListed);
  }

  /** Forgets what replicas have asked for in their answers. */
  #dropAsked(isListed: (replica: VmId) => boolean): void {
    this.rateLimits.dropUnlisted(isListed);
    this.backOffs.dropUnlisted(isListed);
    this.brittle.dropUnlisted(isListed);
  }
}
