/**
 * All that one VM knows of replicas' work, and what it tells the others of it.
 *
 * @module
 */
import { toId, type VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import {
  type PlacementEntry,
  PrefixIndex,
  type ReadEntry,
} from "./prefix_index.ts";
import { PrefillShares } from "./prefill_shares.ts";
import { type OnBackOff, ReplicaBackOffs } from "./replica_back_offs.ts";
import { ReplicaHealth, type ResultEntry } from "./replica_health.ts";
import { type LoadEntry, ReplicaLoads } from "./replica_loads.ts";
import { ReplicaLiveness } from "./replica_liveness.ts";
import type { ListedReplica } from "./replica_list.ts";
import {
  type RateLimitEntry,
  ReplicaRateLimits,
  type ReplicaRateLimitsOptions,
} from "./replica_rate_limits.ts";
import { ReplicaSpeeds, type SpeedEntry } from "./replica_speed.ts";
import { SlowStart, type SlowStartOptions } from "./slow_start.ts";

/** What VMs tell each other; all but the loads is told once. */
export interface PlacementUpdate {
  loads: LoadEntry[];
  results: ResultEntry[];
  speeds: SpeedEntry[];
  placements: PlacementEntry[];
  reads: ReadEntry[];
  limits: RateLimitEntry[];
}

/** What a state needs. */
export interface PlacementStateOptions {
  clock: Clock;
  /** Hears that there is something to tell. */
  onUpdate: () => void;
  onEjected: (replica: VmId, forMs: number) => void;
  onBackOff?: OnBackOff;
  /** Left out where no replica needs a warm-up. */
  slowStart?: Omit<SlowStartOptions, "clock">;
  /** Left out by a VM without a fleet. */
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

/** The parts that the choice of a replica goes by. */
export class PlacementState {
  readonly loads: ReplicaLoads;
  readonly health: ReplicaHealth;
  readonly speeds: ReplicaSpeeds;
  readonly prefixes: PrefixIndex;
  readonly prefills: PrefillShares;
  readonly liveness: ReplicaLiveness;
  readonly slowStart: SlowStart;
  readonly rateLimits: ReplicaRateLimits;
  readonly backOffs: ReplicaBackOffs;

  constructor(options: PlacementStateOptions) {
    const { clock, onUpdate: onNews, onEjected, onBackOff = () => {} } =
      options;
    const { slowStart = NO_WARM_UP, rateLimits = NO_FLEET } = options;
    this.loads = ReplicaLoads.create(clock, onNews);
    this.health = ReplicaHealth.create(clock, (replica, forMs) => {
      this.slowStart.noteFailing(replica, forMs);
      onEjected(replica, forMs);
      onNews();
    });
    this.speeds = ReplicaSpeeds.create(clock);
    this.prefixes = PrefixIndex.create(clock);
    this.prefills = PrefillShares.create(clock);
    this.liveness = ReplicaLiveness.create(clock);
    this.slowStart = SlowStart.create({ clock, ...slowStart });
    this.backOffs = ReplicaBackOffs.create(clock, onBackOff);
    this.rateLimits = ReplicaRateLimits.create({
      clock,
      ...rateLimits,
      onChange: (replica, requestsPerS) => {
        rateLimits.onChange(replica, requestsPerS);
        onNews();
      },
    });
  }

  static create(options: PlacementStateOptions): PlacementState {
    return new PlacementState(options);
  }

  /** This VM's own loads, and what the others were not told yet. */
  takeUpdate(): PlacementUpdate {
    return {
      loads: this.loads.listOwn(),
      results: this.health.takeUnsent(),
      speeds: this.speeds.takeUnsent(),
      placements: this.prefixes.takeUnsent(),
      reads: this.prefixes.takeUnsentReads(),
      limits: this.rateLimits.listUpdates(),
    };
  }

  /** Takes in what another VM told. */
  applyUpdate(vm: VmId, news: PlacementUpdate): void {
    this.loads.putPeer(vm, news.loads);
    this.health.notePeerResults(news.results);
    this.speeds.notePeerSpeeds(news.speeds);
    this.prefixes.notePeerPlacements(news.placements);
    this.prefixes.notePeerReads(news.reads);
    this.rateLimits.applyUpdates(vm, news.limits);
    for (const [replica, , readTokens] of news.placements) {
      const msPerToken = this.speeds.getMsPerToken(replica);
      this.prefills.addPrefill(replica, readTokens * msPerToken);
    }
  }

  /** Whether one more request of this VM's decision may go there now. */
  hasRoom(replica: ListedReplica): boolean {
    return this.slowStart.hasRoom(replica) && this.rateLimits.hasRoom(replica);
  }

  /** A request goes there by this VM's decision. */
  addSent(replica: ListedReplica): void {
    this.slowStart.addSent(replica);
    this.rateLimits.addSent(replica);
  }

  /** Forgets all of one replica, whose process is another one now. */
  dropReplica(replica: VmId): void {
    this.loads.dropOwn(replica);
    this.dropUnlisted((id) => id !== replica);
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    this.health.dropUnlisted(isListed);
    this.speeds.dropUnlisted(isListed);
    this.prefixes.dropUnlisted(isListed);
    this.prefills.dropUnlisted(isListed);
    this.liveness.dropUnlisted(isListed);
    this.rateLimits.dropUnlisted(isListed);
    this.backOffs.dropUnlisted(isListed);
  }
}
