/**
 * A membership view that a benchmark or test sets directly.
 *
 * @module
 */
import type { PoolName, VmId } from "../../src/ids.ts";
import { MembershipView } from "../../src/process/membership_view.ts";
import type {
  ListedVm,
  MembershipList,
} from "../../src/version/membership_list.ts";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A membership whose list and member states change only by its setters. */
export class FakeMembership extends MembershipView {
  #list: MembershipList;
  readonly #unreachable = new Set<VmId>();
  readonly #callbacks: (() => void)[] = [];

  constructor(list: MembershipList) {
    super();
    this.#list = list;
  }

  static create(list: MembershipList): FakeMembership {
    return new FakeMembership(list);
  }

  setList(list: MembershipList): void {
    this.#list = list;
    this.#announceChange();
  }

  setReachable(vms: readonly VmId[], isReachable: boolean): void {
    for (const vm of vms) {
      if (isReachable) this.#unreachable.delete(vm);
      else this.#unreachable.add(vm);
    }
    this.#announceChange();
  }

  override getList(): MembershipList {
    return this.#list;
  }

  override findVm(vm: VmId): ListedVm | undefined {
    return this.#list.vms.find(({ id }) => id === vm);
  }

  override listEntryVms(): ListedVm[] {
    return this.#list.vms.filter(({ role }) => role === "entry");
  }

  override listUpstreams(pool: PoolName): ListedVm[] {
    return this.#list.vms.filter((vm) => vm.pool === pool);
  }

  override isReachable(vm: VmId): boolean {
    return !this.#unreachable.has(vm);
  }

  override isDraining(): boolean {
    return false;
  }

  override findOwner(key: string): VmId | undefined {
    return this.#findFirst(key, (vm) => this.isReachable(vm));
  }

  override findListedOwner(key: string): VmId | undefined {
    return this.#findFirst(key, () => true);
  }

  override onChange(callback: () => void): void {
    this.#callbacks.push(callback);
  }

  #findFirst(key: string, check: (vm: VmId) => boolean): VmId | undefined {
    let first: { vm: VmId; score: number } | undefined;
    for (const { id } of this.listEntryVms()) {
      const score = computeScore(`${key}@${id}`);
      if (!check(id)) continue;
      if (first === undefined || score > first.score) first = { vm: id, score };
    }
    return first?.vm;
  }

  #announceChange(): void {
    for (const callback of this.#callbacks) callback();
  }
}

function computeScore(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return (hash ^ (hash >>> 12)) >>> 0;
}
