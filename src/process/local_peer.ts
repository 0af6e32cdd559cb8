/**
 * This VM's own answers to the others.
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

/** The parts of a process that answer other VMs. */
export interface LocalPeerParts {
  owners: ShardOwners;
  prober: Prober;
  follower: ConfigurationFollower;
  limits: WorkspaceLimits;
  claims: ProcessExecutionClaims;
  requestStatusFinder: RequestStatusFinder;
  quarantine: RequestQuarantine;
  collectStats: () => StatsAnswer;
}

/** Answers peers' calls from the parts of this process. */
export class LocalPeer extends PeerApi {
  readonly #getParts: () => LocalPeerParts;

  constructor(getParts: () => LocalPeerParts) {
    super();
    this.#getParts = getParts;
  }

  /** `getParts` is asked at each call, since parts also call this VM itself. */
  static create(getParts: () => LocalPeerParts): LocalPeer {
    return new LocalPeer(getParts);
  }

  acquire(call: AcquireCall): Promise<AcquireAnswer> {
    return this.#getParts().owners.acquire(call);
  }

  async syncLeases(call: SyncCall): Promise<SyncAnswer> {
    return await this.#getParts().owners.syncLeases(call);
  }

  async probe(call: ProbeCall): Promise<ProbeAnswer> {
    return await this.#getParts().prober.answerProbe(call);
  }

  probeVia(target: VmId, call: ProbeCall): Promise<boolean> {
    return this.#getParts().prober.answerProbeVia(target, call);
  }

  async fetchSnapshot(call: SnapshotCall): Promise<SnapshotAnswer> {
    return await this.#getParts().follower.answerSnapshot(call);
  }

  async leaseLimit(call: LimitCall): Promise<LimitAnswer> {
    return await this.#getParts().limits.answerLeaseLimit(call);
  }

  async claimRun(call: ClaimCall): Promise<ClaimAnswer> {
    return await this.#getParts().claims.handleClaim(call);
  }

  async settleRun(call: SettleCall): Promise<void> {
    await this.#getParts().claims.handleSettlement(call);
  }

  async findFate(call: RequestStatusCall): Promise<RequestStatusAnswer> {
    return await this.#getParts().requestStatusFinder.handleStatusCall(call);
  }

  async handOver(call: HandOverCall): Promise<boolean> {
    return await this.#getParts().owners.handOver(call);
  }

  async collectStats(): Promise<StatsAnswer> {
    return await this.#getParts().collectStats();
  }

  async noteSuspects({ from, entries }: SuspectsCall): Promise<SuspectEntry[]> {
    return await this.#getParts().quarantine.mergeEntries(from.vm, entries);
  }
}
