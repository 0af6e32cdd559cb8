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

/** Peers that are queried after a start, and the timeout for all of them. */
const STARTUP_PEERS = 8;
const STARTUP_TIMEOUT_MS = 2_000;

/**
 * A call that is open for so long does not keep others from being sent: the
 * connection may be silent, and the call ends only after seconds.
 */
const HEDGE_AFTER_MS = 250;
const MAX_OPEN_CALLS = 4;

/** Options of `PeerPuller`. */
export interface PullerOptions {
  environment: Environment;
  membership: FleetMembership;
  seeds: readonly VmId[];
  getVersions: () => PeerVersions;
  /** Whether deltas are accepted in place of the full records. */
  acceptsDeltas: () => boolean;
  onAnswer: (vm: VmId, answer: SnapshotAnswer) => void;
}

/**
 * Fetches from a peer when its probe reports newer versions; from several at a
 * time only while they do not answer.
 */
export class PeerPuller {
  readonly #options: PullerOptions;
  #running: Promise<void> | undefined;
  #nextPeer: VmId | undefined;
  #open = 0;
  #lastCallAt = -Infinity;
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

  /** Fetches from `vm`; resolves on success and on failure. */
  async fetchFrom(vm: VmId): Promise<void> {
    this.#nextPeer = vm;
    if (this.#isCallDue()) this.#running = this.#runAll();
    await this.#running;
  }

  /** Fetches from several peers at once, after a start. */
  async fetchAtStartup(): Promise<void> {
    const { environment } = this.#options;
    const fetches = this.#chooseStartupPeers().map((vm) => this.#fetchOne(vm));
    if (fetches.length === 0) return;
    const all = Promise.all(fetches);
    await withTimeout(all, STARTUP_TIMEOUT_MS, environment.clock);
  }

  #isCallDue(): boolean {
    if (this.#open === 0) return true;
    const sinceMs = this.#options.environment.clock.now() - this.#lastCallAt;
    return this.#open < MAX_OPEN_CALLS && sinceMs >= HEDGE_AFTER_MS;
  }

  async #runAll(): Promise<void> {
    this.#open += 1;
    while (this.#nextPeer !== undefined) {
      const vm = this.#nextPeer;
      this.#nextPeer = undefined;
      this.#lastCallAt = this.#options.environment.clock.now();
      await this.#fetchOne(vm);
    }
    this.#open -= 1;
  }

  async #fetchOne(vm: VmId): Promise<void> {
    const { environment, getVersions, acceptsDeltas, onAnswer } = this.#options;
    if (this.#isStopped) return;
    const own = getVersions();
    try {
      const answer = await environment.peers.getPeer(vm).fetchSnapshot({
        from: { vm: environment.vm, incarnation: environment.incarnation },
        after: own.configVersion,
        digest: own.configDigest,
        listAfter: own.listRevision,
        takesSteps: acceptsDeltas(),
      });
      if (!this.#isStopped) onAnswer(vm, answer);
    } catch (error) {
      environment.log.debug("snapshot_not_fetched", {
        peer: vm,
        error: toError(error).message,
      });
    }
  }

  #chooseStartupPeers(): VmId[] {
    const { environment, membership, seeds } = this.#options;
    const listed = membership.listEntryVms().map((vm) => vm.id);
    const others = new Set([...seeds, ...listed]);
    others.delete(environment.vm);
    return environment.random.pickSample([...others], STARTUP_PEERS);
  }
}
