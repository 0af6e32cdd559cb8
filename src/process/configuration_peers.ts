/**
 * Which versions the other VMs were last heard to have.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { PeerVersions } from "./configuration_exchange.ts";
import type { Environment } from "./environment.ts";
import type { MembershipView } from "./membership_view.ts";

/** What a VM was last heard to have. */
export interface PeerVersionEntry {
  vm: VmId;
  version: number;
  digest: string | undefined;
  /** From whom it has that version; undefined where it did not say. */
  from: string | undefined;
  listRevision: number;
  /** Time since it was first heard to have that version. */
  sinceMs: number;
}

type Heard = Omit<PeerVersionEntry, "sinceMs"> & { heardAt: number };

/** Keeps the last word of each listed VM. */
export class PeerVersionBook {
  readonly #environment: Environment;
  readonly #membership: MembershipView;
  readonly #heard = new Map<VmId, Heard>();

  constructor(
    options: { environment: Environment; membership: MembershipView },
  ) {
    this.#environment = options.environment;
    this.#membership = options.membership;
  }

  static create(
    options: { environment: Environment; membership: MembershipView },
  ): PeerVersionBook {
    return new PeerVersionBook(options);
  }

  /** Takes in what `vm` says that it has. */
  note(vm: VmId, versions: PeerVersions): void {
    if (this.#membership.findVm(vm) === undefined) return;
    const known = this.#heard.get(vm);
    const isSame = known?.version === versions.configVersion &&
      known.digest === versions.configDigest;
    this.#heard.set(vm, {
      vm,
      version: versions.configVersion,
      digest: versions.configDigest,
      from: versions.configFrom,
      listRevision: versions.listRevision,
      heardAt: isSame ? known.heardAt : this.#environment.clock.now(),
    });
  }

  /** What each VM was last heard to have. */
  list(): PeerVersionEntry[] {
    const now = this.#environment.clock.now();
    return [...this.#heard.values()].map(({ heardAt, ...entry }) => ({
      ...entry,
      sinceMs: now - heardAt,
    }));
  }

  /** Forgets the VMs that are not in the list any more. */
  removeUnlisted(): void {
    for (const vm of this.#heard.keys()) {
      if (this.#membership.findVm(vm) === undefined) this.#heard.delete(vm);
    }
  }
}
