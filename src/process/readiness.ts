/**
 * Readiness check of a VM.
 *
 * @module
 */
import type { HealthAnswer } from "../connection/index.ts";
import type { ShardId } from "../ids.ts";
import type { Environment } from "./environment.ts";
import type { VmRuntime } from "./runtime.ts";
import { buildShardKey, listNonEmptyShards } from "./scheduler/index.ts";

/** Computes the result of `/readyz`. */
export class Readiness {
  readonly #environment: Environment;
  readonly #runtime: VmRuntime;
  #wasReady = false;

  constructor(environment: Environment, runtime: VmRuntime) {
    this.#environment = environment;
    this.#runtime = runtime;
  }

  static create(environment: Environment, runtime: VmRuntime): Readiness {
    return new Readiness(environment, runtime);
  }

  check(): HealthAnswer {
    if (!this.#runtime.follower.isReady()) {
      return { ok: false, detail: "No configuration yet" };
    }
    if (this.#runtime.isDraining) return { ok: false, detail: "Draining" };
    // A ready VM that takes over another shard stays ready, since requests for
    // all other shards are served as before.
    this.#wasReady ||= this.#canGrantAllShards();
    if (this.#wasReady) return { ok: true, detail: "Serving" };
    return { ok: false, detail: "Owned shards do not grant slots yet" };
  }

  /**
   * Whether every shard that this VM owns grants slots. A new owner does not
   * during its grace period; if the VM were ready then, requests with a target
   * shorter than the rest of that period would be refused with idle upstreams.
   */
  #canGrantAllShards(): boolean {
    const owners = this.#runtime.owners.listOwners();
    return this.#listOwnShards().every((shard) =>
      owners.some((owner) => owner.shard === shard && owner.canGrant)
    );
  }

  #listOwnShards(): ShardId[] {
    const { membership } = this.#runtime;
    const pools = [...this.#runtime.getSnapshot()?.pools.values() ?? []];
    return pools
      .flatMap((pool) =>
        listNonEmptyShards(pool, membership.listUpstreams(pool.name))
      )
      .filter((shard) =>
        membership.findOwner(buildShardKey(shard)) === this.#environment.vm
      );
  }
}
