/**
 * Which entry VMs a caller should connect to.
 *
 * @module
 */
import type { DataCentre, VmId } from "../ids.ts";
import type { ListedVm } from "../version/index.ts";
import type { MembershipView } from "./membership_view.ts";
import type { Random } from "./random.ts";

/** How long a caller may hold an answer. */
const ENTRIES_TTL_MS = 10_000;

const DEFAULT_LIMIT = 4;
/** A VM in the caller's data centre against one elsewhere. */
const LOCAL_WEIGHT = 16;

/** What is asked for. */
export interface EntriesQuery {
  view: MembershipView;
  random: Random;
  /** The caller's data centre, where it says so. */
  dataCentre?: DataCentre | undefined;
  /** How many entries the caller can use. */
  limit?: number | undefined;
}

/** One address to connect to. */
export interface Entry {
  vm: VmId;
  dataCentre: DataCentre;
  address: string;
  port: number;
}

/** Entries in the order in which to try them. */
export interface EntriesAnswer {
  entries: Entry[];
  ttlMs: number;
}

/**
 * Chooses entries in a weighted random order, the caller's data centre first
 * by weight. Entries that drain or are believed dead are left out while enough
 * others are there; the answer is empty only if no entry VM is known at all.
 */
export function chooseEntries(query: EntriesQuery): EntriesAnswer {
  const { view } = query;
  const limit = Math.max(1, query.limit ?? DEFAULT_LIMIT);
  const listed = view.listEntryVms();
  const staying = listed.filter((vm) => !view.isDraining(vm.id));
  const reachable = staying.filter((vm) => view.isReachable(vm.id));
  const unreachable = staying.filter((vm) => !view.isReachable(vm.id));
  const ordered = toWeightedOrder(reachable, query);
  // A VM that sees less than half of the fleet may be the one cut off: its
  // callers would all be sent to the few VMs on its side. They get the others
  // as well, after those that surely answer.
  if (reachable.length * 2 < staying.length || reachable.length === 0) {
    ordered.push(...toWeightedOrder(unreachable, query));
  }
  if (ordered.length === 0) ordered.push(...toWeightedOrder(listed, query));
  const entries = chooseMixed(ordered, reachable.length, limit).map(toEntry);
  return { entries, ttlMs: ENTRIES_TTL_MS };
}

/** The first `limit`, with one place kept for those past `sure`, if any. */
function chooseMixed(
  ordered: ListedVm[],
  sure: number,
  limit: number,
): ListedVm[] {
  const hasOthers = ordered.length > sure && sure >= limit && limit > 1;
  if (!hasOthers) return ordered.slice(0, limit);
  return [...ordered.slice(0, limit - 1), ordered[sure]!];
}

/** A random order in which greater weights tend to come first. */
function toWeightedOrder(vms: ListedVm[], query: EntriesQuery): ListedVm[] {
  const { random, dataCentre } = query;
  const scored = vms.map((vm) => {
    const weight = vm.dataCentre === dataCentre ? LOCAL_WEIGHT : 1;
    // The exponential race: the least of Exp(weight) comes first.
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
