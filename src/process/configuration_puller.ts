/**
 * Fetches newer configurations and lists from other VMs.
 *
 * @module
 */
import { toError } from "../errors.ts";
import type { VmId } from "../ids.ts";
import type { PeerVersions } from "./configuration_exchange.ts";
import type { Environment } from "./environment.ts";
import type { FleetMembership } from "./fleet_membership.ts";
import { withTimeout } from "./with_timeout.ts";
import type { SnapshotAnswer } from "./peer_api.ts";

/** Peers asked at a start, and how long their answers are waited for. */
const FIRST_PEERS = 8;
const FIRST_WAIT_MS = 2_000;

/** What a puller needs. */
export interface PullerOptions {
  environment: Environment;
  membership: FleetMembership;
  seeds: readonly VmId[];
  getVersions: () => PeerVersions;
  /** Whether steps will do in place of all records. */
  takesSteps: () => boolean;
  onAnswer: (vm: VmId, answer: SnapshotAnswer) => void;
}

/** Asks one peer at a time, as their probes tell of something newer. */
export class PeerPuller {
  readonly #options: PullerOptions;
  #running: Promise<void> | undefined;
  #next: VmId | undefined;
  #isStopped = false;

  constructor(options: PullerOptions) {
    this.#options = options;
  }

  static create(options: PullerOptions): PeerPuller {
    return new PeerPuller(options);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Fetches from `vm`; resolves when what was asked for came or could not. */
  async fetchFrom(vm: VmId): Promise<void> {
    this.#next = vm;
    this.#running ??= this.#runAll().finally(() => {
      this.#running = undefined;
    });
    await this.#running;
  }

  /** Asks several peers at once, as a VM that has just started. */
  async fetchFirst(): Promise<void> {
    const { environment } = this.#options;
    const asked = this.#chooseFirstPeers().map((vm) => this.#fetchOne(vm));
    if (asked.length === 0) return;
    const all = Promise.all(asked);
    await withTimeout(all, FIRST_WAIT_MS, environment.clock);
  }

  async #runAll(): Promise<void> {
    while (this.#next !== undefined) {
      const vm = this.#next;
      this.#next = undefined;
      await this.#fetchOne(vm);
    }
  }

  async #fetchOne(vm: VmId): Promise<void> {
    const { environment, getVersions, takesSteps, onAnswer } = this.#options;
    if (this.#isStopped) return;
    const own = getVersions();
    try {
      const answer = await environment.peers.getPeer(vm).fetchSnapshot({
        from: { vm: environment.vm, incarnation: environment.incarnation },
        after: own.configVersion,
        digest: own.configDigest,
        listAfter: own.listRevision,
        takesSteps: takesSteps(),
      });
      if (!this.#isStopped) onAnswer(vm, answer);
    } catch (error) {
      environment.log.debug("snapshot_not_fetched", {
        peer: vm,
        error: toError(error).message,
      });
    }
  }

  #chooseFirstPeers(): VmId[] {
    const { environment, membership, seeds } = this.#options;
    const listed = membership.listEntryVms().map((vm) => vm.id);
    const others = new Set([...seeds, ...listed]);
    others.delete(environment.vm);
    return environment.random.pickSample([...others], FIRST_PEERS);
  }
}
