/**
 * What one VM knows of the replicas' work, and the updates on it that VMs
 * exchange.
 *
 * @module
 */
import { toId, type VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
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
import { ReplicaLinks, type ReplicaLinksOptions } from "./replica_links.ts";
import { ReplicaLiveness } from "./replica_liveness.ts";
import type { ListedReplica } from "./replica_list.ts";
import {
  type RateLimitEntry,
  ReplicaRateLimits,
  type ReplicaRateLimitsOptions,
} from "./replica_rate_limits.ts";
import { ReplicaSpeeds, type SpeedEntry } from "./replica_speed.ts";
import { WorkspaceShares } from "./workspace_shares.ts";
import { SlowStart, type SlowStartOptions } from "./slow_start.ts";

/**
 * Update for the other VMs. Loads and limits are repeated; everything else is
 * sent once.
 */
export interface PlacementUpdate {
  loads: LoadEntry[];
  results: ResultEntry[];
  speeds: SpeedEntry[];
  placements: PlacementEntry[];
  reads: ReadEntry[];
  limits: RateLimitEntry[];
}

/** Options of `PlacementState`. */
export interface PlacementStateOptions {
  clock: Clock;
  /** Called when there is an update to send. */
  onUpdate: () => void;
  onEjected: (replica: VmId, forMs: number) => void;
  onBackOff?: OnBackOff;
  /** Omitted where connections are not observed. */
  links?: Omit<ReplicaLinksOptions, "clock">;
  /** Omitted where no replica needs a warm-up. */
  slowStart?: Omit<SlowStartOptions, "clock">;
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

const NO_LINKS: Omit<ReplicaLinksOptions, "clock"> = {
  listReady: () => [],
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
  readonly slowStart: SlowStart;
  readonly rateLimits: ReplicaRateLimits;
  readonly backOffs: ReplicaBackOffs;
  readonly links: ReplicaLinks;

  constructor(options: PlacementStateOptions) {
    const { clock, onUpdate, onEjected, onBackOff = () => {} } = options;
    const { slowStart = NO_WARM_UP, rateLimits = NO_FLEET } = options;
    const { links = NO_LINKS } = options;
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
    this.shares = WorkspaceShares.create(clock);
    this.slowStart = SlowStart.create({ clock, ...slowStart });
    this.backOffs = ReplicaBackOffs.create(clock, onBackOff);
    this.links = ReplicaLinks.create({ clock, ...links });
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
      speeds: this.speeds.takeUnsent(),
      placements: this.prefixes.takeUnsent(),
      reads: this.prefixes.takeUnsentPrefilled(),
      limits: this.rateLimits.listUpdates(),
    };
  }

  /** Applies an update from another VM. */
  applyUpdate(vm: VmId, update: PlacementUpdate): void {
    this.loads.putPeerLoads(vm, update.loads);
    this.health.notePeerResults(update.results);
    this.speeds.notePeerSpeeds(update.speeds);
    this.prefixes.notePeerPlacements(update.placements);
    this.prefixes.notePeerPrefilled(update.reads);
    this.rateLimits.applyUpdates(vm, update.limits);
    for (const [replica, , prefillTokens] of update.placements) {
      const msPerToken = this.speeds.getMsPerToken(replica);
      this.prefills.addPrefill(replica, prefillTokens * msPerToken);
    }
  }

  /** Whether this VM may place one more request there now. */
  hasCapacity(replica: ListedReplica): boolean {
    return this.slowStart.hasCapacity(replica) &&
      this.rateLimits.hasCapacity(replica);
  }

  /** Counts a request that this VM placed there. */
  addSent(replica: ListedReplica): void {
    this.slowStart.addSent(replica);
    this.rateLimits.addSent(replica);
  }

  /** Forgets everything about a replica whose process was replaced. */
  dropReplica(replica: VmId): void {
    this.loads.dropOwn(replica);
    this.dropUnlisted((id) => id !== replica);
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    this.health.dropUnlisted(isListed);
    this.speeds.dropUnlisted(isListed);
    this.prefixes.dropUnlisted(isListed);
    this.prefills.dropUnlisted(isListed);
    this.liveness.dropUnlisted(isListed);
    this.rateLimits.dropUnlisted(isListed);
    this.backOffs.dropUnlisted(isListed);
    this.links.dropUnlisted(isListed);
  }
}
