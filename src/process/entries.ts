/**
 * Selection of the entry VMs that a caller should connect to.
 *
 * @module
 */
import type { DataCentre, VmId } from "../ids.ts";
import type { ListedVm } from "../version/index.ts";
import type { MembershipView } from "./membership_view.ts";
import type { Random } from "./random.ts";

/** How long a caller may cache an answer. */
const ENTRIES_TTL_MS = 10_000;

const DEFAULT_LIMIT = 4;
/** Weight of a VM in the caller's data centre; others have weight 1. */
const LOCAL_WEIGHT = 16;

/** Parameters of a selection. */
export interface EntriesQuery {
  view: MembershipView;
  random: Random;
  /** The caller's data centre, if it states one. */
  dataCentre?: DataCentre | undefined;
  /** Maximum number of entries. */
  limit?: number | undefined;
}

/** Address of an entry VM. */
export interface Entry {
  vm: VmId;
  dataCentre: DataCentre;
  address: string;
  port: number;
}

/** Entries, in the order in which to try them. */
export interface EntriesAnswer {
  entries: Entry[];
  ttlMs: number;
}

/**
 * Chooses entries in a weighted random order that prefers the caller's data
 * centre. Entries that are draining or considered dead are left out while
 * enough others remain. The answer is empty only if no entry VM is listed.
 */
export function chooseEntries(query: EntriesQuery): EntriesAnswer {
  const { view } = query;
  const limit = Math.max(1, query.limit ?? DEFAULT_LIMIT);
  const listed = view.listEntryVms();
  const notDraining = listed.filter((vm) => !view.isDraining(vm.id));
  const reachable = notDraining.filter((vm) => view.isReachable(vm.id));
  const unreachable = notDraining.filter((vm) => !view.isReachable(vm.id));
  const ordered = toWeightedShuffle(reachable, query);
  // A VM that reaches less than half of the fleet may itself be partitioned.
  // Its callers also get the unreachable VMs, after the reachable ones, so that
  // they are not all sent to the few VMs on its side.
  if (reachable.length * 2 < notDraining.length || reachable.length === 0) {
    ordered.push(...toWeightedShuffle(unreachable, query));
  }
  if (ordered.length === 0) ordered.push(...toWeightedShuffle(listed, query));
  const entries = takeWithUnreachable(ordered, reachable.length, limit).map(
    toEntry,
  );
  return { entries, ttlMs: ENTRIES_TTL_MS };
}

/**
 * Takes the first `limit` VMs. If unreachable VMs follow the reachable ones,
 * the last place is reserved for one of them.
 */
function takeWithUnreachable(
  ordered: ListedVm[],
  reachableCount: number,
  limit: number,
): ListedVm[] {
  const reservesLast = ordered.length > reachableCount &&
    reachableCount >= limit && limit > 1;
  if (!reservesLast) return ordered.slice(0, limit);
  return [...ordered.slice(0, limit - 1), ordered[reachableCount]!];
}

/** Shuffles so that greater weights tend to come first. */
function toWeightedShuffle(vms: ListedVm[], query: EntriesQuery): ListedVm[] {
  const { random, dataCentre } = query;
  const scored = vms.map((vm) => {
    const weight = vm.dataCentre === dataCentre ? LOCAL_WEIGHT : 1;
    // Exponential race: the smallest sample of Exp(weight) comes first.
    return { vm, score: -Math.log(1 - random.next()) / weight };
  });
  return scored.sort((left, right) => left.score - right.score)
    .map(({ vm }) => vm);
}

function toEntry(vm: ListedVm): Entry {
  return {
    vm: vm.id,
    dataCentre: vm.dataCentre,
    address: vm.address,
    port: vm.port,
  };
}
