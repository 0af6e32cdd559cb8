/**
 * Tells replicas that have crashed from replicas that this VM cannot reach.
 *
 * A VM whose links to the replicas are cut loses the connections of all its
 * requests and finds no replica listening. If each of them counted as a crash,
 * the whole fleet would quarantine these requests.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { Log } from "./log.ts";
import type { Random } from "./random.ts";

/** Other VMs that are asked whether they reach a replica. */
const MAX_ASKED_VMS = 3;
/** Other replicas by which this VM tells whether its own links work. */
const MAX_CHECKED_REPLICAS = 3;

/** Options of `CrashCheck`. */
export interface CrashCheckOptions {
  log: Log;
  random: Random;
  /** Whether this VM reaches a replica now; never rejects. */
  checkReach: (replica: VmId) => Promise<boolean>;
  /** Other replicas of the same pool that take new work. */
  listOthers: (replica: VmId) => readonly VmId[];
  /** Other VMs that are live. */
  listPeers: () => VmId[];
  /** Whether another VM reaches a replica; rejects if it does not answer. */
  fetchReach: (peer: VmId, replica: VmId) => Promise<boolean>;
}

/** Checks replicas whose connections were lost. */
export class CrashCheck {
  readonly #options: CrashCheckOptions;

  constructor(options: CrashCheckOptions) {
    this.#options = options;
  }

  static create(options: CrashCheckOptions): CrashCheck {
    return new CrashCheck(options);
  }

  /**
   * Whether no VM reaches the replica, while this one reaches another of its
   * pool, or no VM that answers does. Never rejects.
   */
  async hasCrashed(id: VmId): Promise<boolean> {
    const { random, checkReach, listOthers, listPeers } = this.#options;
    if (await checkReach(id)) return this.#noteAlive(id, "listening");
    const others = random.pickSample(listOthers(id), MAX_CHECKED_REPLICAS);
    const peers = random.pickSample(listPeers(), MAX_ASKED_VMS);
    const [hasLinks, reached] = await Promise.all([
      others.length === 0 || this.#isAnyReached(others),
      this.#fetchReached(peers, [id]),
    ]);
    if (reached.includes(true)) return this.#noteAlive(id, "reached_elsewhere");
    if (hasLinks || await this.#isPoolDown(peers, others)) return true;
    return this.#noteAlive(id, "no_links");
  }

  #noteAlive(replica: VmId, reason: string): boolean {
    this.#options.log.info("crash_not_confirmed", { replica, reason });
    return false;
  }

  async #isAnyReached(replicas: readonly VmId[]): Promise<boolean> {
    const { checkReach } = this.#options;
    return (await Promise.all(replicas.map(checkReach))).includes(true);
  }

  /**
   * Whether other VMs reach none of the replicas either: then it is the replicas
   * that are down, and not this VM's links.
   */
  async #isPoolDown(
    peers: readonly VmId[],
    replicas: readonly VmId[],
  ): Promise<boolean> {
    const reached = await this.#fetchReached(peers, replicas);
    return reached.length > 0 && !reached.includes(true);
  }

  /** What the VMs that answer say about each of the replicas. */
  async #fetchReached(
    peers: readonly VmId[],
    replicas: readonly VmId[],
  ): Promise<boolean[]> {
    const { fetchReach } = this.#options;
    const answers = await Promise.allSettled(
      peers.flatMap((peer) => replicas.map((each) => fetchReach(peer, each))),
    );
    return answers.flatMap((answer) =>
      answer.status === "fulfilled" ? [answer.value] : []
    );
  }
}
