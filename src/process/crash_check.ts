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
import type { LinkChecks, ReplicaDirectory } from "./placement/index.ts";
import type { Random } from "./random.ts";

/** Other VMs that are asked whether they reach a replica. */
const MAX_ASKED_VMS = 3;

/** Options of `CrashCheck`. */
export interface CrashCheckOptions {
  random: Random;
  checks: LinkChecks;
  replicas: ReplicaDirectory;
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
   * pool, if there is any. Never rejects.
   */
  async hasCrashed(id: VmId): Promise<boolean> {
    const { checks, replicas } = this.#options;
    if (await checks.check(id)) return false;
    const replica = replicas.find(id);
    if (replica === undefined) return true;
    const isAlone = replicas.listReady(replica.pool)
      .every((other) => other.id === id);
    const [hasLinks, isReached] = await Promise.all([
      isAlone || checks.checkOthers(replica),
      this.#isReachedElsewhere(id),
    ]);
    return hasLinks && !isReached;
  }

  async #isReachedElsewhere(replica: VmId): Promise<boolean> {
    const { random, listPeers, fetchReach } = this.#options;
    const asked = random.pickSample(listPeers(), MAX_ASKED_VMS);
    const answers = await Promise.allSettled(
      asked.map((peer) => fetchReach(peer, replica)),
    );
    return answers.some((answer) =>
      answer.status === "fulfilled" && answer.value
    );
  }
}
