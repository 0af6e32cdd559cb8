/**
 * Whether a VM is of use to callers yet.
 *
 * @module
 */
import type { HealthAnswer } from "../connection/index.ts";
import type { ShardId } from "../ids.ts";
import type { Environment } from "./environment.ts";
import type { VmRuntime } from "./runtime.ts";
import { buildShardKey, listNonEmptyShards } from "./scheduler/index.ts";

/** Decides what `/readyz` says. */
export class Readiness {
  readonly #environment: Environment;
  readonly #runtime: VmRuntime;
  #wasSettled = false;

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
    // Once ready, a VM that takes over one more shard stays so: the fleet's
    // other shards are served as before.
    this.#wasSettled ||= this.#hasSettledShards();
    if (this.#wasSettled) return { ok: true, detail: "Serving" };
    return { ok: false, detail: "Its shards do not grant slots yet" };
  }

  /**
   * Whether every shard that this VM owns grants slots. A new owner settles
   * first. Were the VM called ready before, requests whose target is shorter
   * than the settling would be refused though all upstreams idle.
   */
  #hasSettledShards(): boolean {
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
