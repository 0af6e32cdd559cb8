/**
 * Answers calls of other VMs in this process.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import {
  type AcquireAnswer,
  type AcquireCall,
  type ClaimAnswer,
  type ClaimCall,
  type HandOverCall,
  type LimitAnswer,
  type LimitCall,
  PeerApi,
  type ProbeAnswer,
  type ProbeCall,
  type RequestStatusAnswer,
  type RequestStatusCall,
  type SettleCall,
  type SnapshotAnswer,
  type SnapshotCall,
  type StatsAnswer,
  type SuspectsCall,
  type SyncAnswer,
  type SyncCall,
} from "./peer_api.ts";
import type { ConfigurationFollower } from "./configuration_follower.ts";
import type { RequestStatusFinder } from "./request_status_finder.ts";
import type { WorkspaceLimits } from "./limits/index.ts";
import type { Prober } from "./prober.ts";
import type { RequestQuarantine, SuspectEntry } from "./quarantine/index.ts";
import type { ProcessExecutionClaims } from "./execution_claims.ts";
import type { ShardOwners } from "./scheduler/index.ts";

/** Components of a process that answer calls of other VMs. */
export interface LocalPeerComponents {
  owners: ShardOwners;
  prober: Prober;
  follower: ConfigurationFollower;
  limits: WorkspaceLimits;
  claims: ProcessExecutionClaims;
  requestStatusFinder: RequestStatusFinder;
  quarantine: RequestQuarantine;
  collectStats: () => StatsAnswer;
  checkReach: (upstream: VmId) => Promise<boolean>;
}

/** Dispatches calls of other VMs to the components of this process. */
export class LocalPeer extends PeerApi {
  readonly #getComponents: () => LocalPeerComponents;

  constructor(getComponents: () => LocalPeerComponents) {
    super();
    this.#getComponents = getComponents;
  }

  /**
   * `getComponents` is called for each call, because the components call this
   * VM's own `LocalPeer` as well.
   */
  static create(getComponents: () => LocalPeerComponents): LocalPeer {
    return new LocalPeer(getComponents);
  }

  acquire(call: AcquireCall): Promise<AcquireAnswer> {
    return this.#getComponents().owners.acquire(call);
  }

  async syncLeases(call: SyncCall): Promise<SyncAnswer> {
    return await this.#getComponents().owners.syncLeases(call);
  }

  async probe(call: ProbeCall): Promise<ProbeAnswer> {
    return await this.#getComponents().prober.answerProbe(call);
  }

  probeVia(target: VmId, call: ProbeCall): Promise<boolean> {
    return this.#getComponents().prober.answerProbeVia(target, call);
  }

  async fetchSnapshot(call: SnapshotCall): Promise<SnapshotAnswer> {
    return await this.#getComponents().follower.answerSnapshot(call);
  }

  async leaseLimit(call: LimitCall): Promise<LimitAnswer> {
    return await this.#getComponents().limits.answerLeaseLimit(call);
  }

  async claimRun(call: ClaimCall): Promise<ClaimAnswer> {
    return await this.#getComponents().claims.handleClaim(call);
  }

  async settleRun(call: SettleCall): Promise<void> {
    await this.#getComponents().claims.handleSettlement(call);
  }

  async findFate(call: RequestStatusCall): Promise<RequestStatusAnswer> {
    return await this.#getComponents().requestStatusFinder.handleStatusCall(
      call,
    );
  }

  async handOver(call: HandOverCall): Promise<boolean> {
    return await this.#getComponents().owners.handOver(call);
  }

  async collectStats(): Promise<StatsAnswer> {
    return await this.#getComponents().collectStats();
  }

  async noteSuspects(
    { from, entries, reports = [], answers = [] }: SuspectsCall,
  ): Promise<SuspectEntry[]> {
    const { quarantine } = this.#getComponents();
    const news = { entries, reports, answers };
    return await quarantine.mergeNews(from.vm, news).entries;
  }

  async checkReach(upstream: VmId): Promise<boolean> {
    return await this.#getComponents().checkReach(upstream);
  }
}
