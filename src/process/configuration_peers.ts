/**
 * Configuration versions that the other VMs last reported.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { PeerVersions } from "./configuration_exchange.ts";
import type { Environment } from "./environment.ts";
import type { MembershipView } from "./membership_view.ts";

/** Last reported version of a VM. */
export interface PeerVersionEntry {
  vm: VmId;
  version: number;
  digest: string | undefined;
  /** Source from which the VM received the version, if reported. */
  from: string | undefined;
  listRevision: number;
  /** Time since the VM first reported that version. */
  sinceMs: number;
}

type ReceivedEntry = Omit<PeerVersionEntry, "sinceMs"> & { receivedAt: number };

/** Last reported version of each listed VM. */
export class PeerVersionTable {
  readonly #environment: Environment;
  readonly #membership: MembershipView;
  readonly #entries = new Map<VmId, ReceivedEntry>();

  constructor(
    options: { environment: Environment; membership: MembershipView },
  ) {
    this.#environment = options.environment;
    this.#membership = options.membership;
  }

  static create(
    options: { environment: Environment; membership: MembershipView },
  ): PeerVersionTable {
    return new PeerVersionTable(options);
  }

  /** Records the versions that `vm` reports. */
  note(vm: VmId, versions: PeerVersions): void {
    if (this.#membership.findVm(vm) === undefined) return;
    const known = this.#entries.get(vm);
    const isSame = known?.version === versions.configVersion &&
      known.digest === versions.configDigest;
    this.#entries.set(vm, {
      vm,
      version: versions.configVersion,
      digest: versions.configDigest,
      from: versions.configFrom,
      listRevision: versions.listRevision,
      receivedAt: isSame ? known.receivedAt : this.#environment.clock.now(),
    });
  }

  /** Lists the last reported version of each VM. */
  list(): PeerVersionEntry[] {
    const now = this.#environment.clock.now();
    return [...this.#entries.values()].map(({ receivedAt, ...entry }) => ({
      ...entry,
      sinceMs: now - receivedAt,
    }));
  }

  /** Removes the VMs that are no longer in the membership list. */
  removeUnlisted(): void {
    for (const vm of this.#entries.keys()) {
      if (this.#membership.findVm(vm) === undefined) this.#entries.delete(vm);
    }
  }
}
