/**
 * Judges a soak at size by what replicas received and what VMs logged.
 *
 * @module
 */
import type { SoakVm } from "../soak_vm.ts";
import type { FleetAtSize, StreamCounts } from "./fleet_at_size.ts";
import type {
  ArrivalAfterLeaving,
  Leaving,
  ObserverReport,
} from "./observer.ts";

/** Crashes and time after which a part that causes them must be held. */
const KNOWN_CRASHES = 5;
const STABLE_WINDOW_MS = 3_000;
const LOG_LINES = 40;
const LOG_MARGIN_MS = 1_000;
const LEAVING_LINE =
  /event=replica_(?:changed|left_heard) replica=(\S+) (?:change=(?:draining|gone)|revision=)/;
/** The first list of a process, with the replicas that are leaving in it. */
const FIRST_LIST_LINE = /event=replicas_listed .*leaving=(\S+)/;
const LAG_LINE = /event=state_applied_late .*lag_ms=(\d+) list_age_ms=(\d+)$/;
const LEFT_OUT_LINE = /event=log_lines_left_out .*state=[1-9]/;
/** Left out lines are counted within this time. */
const LEFT_OUT_WINDOW_MS = 1_100;
const STATE_LINE =
  /event=(peer_fetch|store_|replica_changed|replica_left|state_|leaving_)/;

/** A request that reached a leaving replica too late. */
export interface LateArrival extends ArrivalAfterLeaving {
  vm: string;
  isInTouch: boolean;
  log: string[];
}

/** A VM that learned of a leaving, and the time after it. */
interface Learnt {
  vm: SoakVm;
  replica: string;
  /** Time of day of the leaving. */
  at: number;
  afterMs: number;
  /** Whether an earlier line on it may have been left out. */
  isUnseen: boolean;
}

/** What became of requests with a part that crashes replicas. */
export interface PoisonReport {
  arrivals: number;
  crashes: number;
  /** Arrivals from VMs in touch, 3 s after the fifth crash and later. */
  late: string[];
  /** Sound requests that were refused since a part is held. */
  heldSound: string[];
}

/** The result of a soak at size. */
export interface AtSizeReport
  extends
    Omit<ObserverReport, "afterLeaving" | "leaves" | "poison" | "crashes"> {
  poison: PoisonReport;
  leaves: number;
  sent: number;
  /** Streams that broke; none may hold events of two versions. */
  streams: StreamCounts;
  statuses: Record<string, number>;
  /** Cuts under which callers of the VMs concerned were served far worse. */
  badCuts: string[];
  faults: Record<string, number>;
  maxAfterMs: number;
  late: LateArrival[];
  /** Times after which VMs in touch knew of a leaving, in milliseconds. */
  learnt: { count: number; median: number; p999: number; max: number };
  /** VMs in touch that knew of a leaving too late. */
  lateVms: { vm: string; replica: string; afterMs: number; log: string[] }[];
  /** Pairs of VM and leaving whose lines may have been left out of the log. */
  unseen: number;
  /**
   * By how much VMs in touch took their list to be younger than they had known
   * of a newer one, where they wrote it, in milliseconds.
   */
  understated: { count: number; max: number };
  /** See `ProcessorQuota.maxHeldMs`. */
  maxHeldMs: number;
  /** Datagrams to VMs that found a full receive buffer. */
  droppedDatagrams: number;
  /** Log events of all VMs by name. */
  events: Record<string, number>;
}

/** Builds the report of a soak that has ended. */
export function buildReport(
  fleet: FleetAtSize,
  observed: ObserverReport,
  /** A replica may get requests for this long after the store's word. */
  drainMs: number,
): AtSizeReport {
  const { afterLeaving, leaves, poison, crashes, ...figures } = observed;
  const pairs = fleet.vms.flatMap((vm) => listLearnt(fleet, vm, leaves));
  const learnt = pairs.filter(({ isUnseen }) => !isUnseen);
  return {
    ...figures,
    poison: buildPoisonReport(fleet, { poison, crashes }),
    leaves: leaves.length,
    sent: fleet.sent,
    streams: fleet.streams,
    statuses: fleet.statuses,
    badCuts: fleet.listBadCuts(),
    faults: fleet.faults,
    maxAfterMs: Math.round(
      Math.max(0, ...afterLeaving.map(({ afterMs }) => afterMs)),
    ),
    learnt: computeQuantiles(learnt),
    lateVms: learnt.filter(({ afterMs }) => afterMs > drainMs).map(
      buildLateVm,
    ),
    unseen: pairs.length - learnt.length,
    late: afterLeaving.filter(({ afterMs }) => afterMs > drainMs)
      .map((arrival) => buildLateArrival(fleet, arrival)),
    understated: computeUnderstated(fleet),
    maxHeldMs: fleet.maxHeldMs,
    droppedDatagrams: fleet.droppedDatagrams,
    events: countEvents(fleet.vms),
  };
}

function buildPoisonReport(
  fleet: FleetAtSize,
  { poison, crashes }: Pick<ObserverReport, "poison" | "crashes">,
): PoisonReport {
  const fifth = crashes.toSorted((a, b) => a - b)[KNOWN_CRASHES - 1];
  const knownAt = (fifth ?? Infinity) + STABLE_WINDOW_MS;
  const late = poison.filter(({ at, requestId }) => {
    const name = requestId.split("~")[0]!;
    const vm = fleet.vms.find((each) => each.name === name)!;
    return at > knownAt && fleet.isInTouch(vm, at);
  });
  return {
    arrivals: poison.length,
    crashes: crashes.length,
    late: late.map(({ requestId }) => requestId),
    heldSound: fleet.heldSound,
  };
}

/** When a VM wrote that it knows of each leaving, where it was in touch. */
function listLearnt(
  fleet: FleetAtSize,
  vm: SoakVm,
  leaves: readonly Leaving[],
): Learnt[] {
  const knownAt = new Map<string, number>();
  const leftOutAt: number[] = [];
  for (const line of vm.readLog()) {
    if (LEFT_OUT_LINE.test(line)) leftOutAt.push(readTime(line));
    for (const replica of listLeaving(line)) {
      if (!knownAt.has(replica)) knownAt.set(replica, readTime(line));
    }
  }
  return leaves.flatMap(({ replica, at }) => {
    const known = knownAt.get(replica);
    const isCounted = known !== undefined && fleet.isInTouch(vm, at) &&
      fleet.isInTouch(vm, known);
    if (!isCounted) return [];
    const isUnseen = leftOutAt.some((time) =>
      time >= at && time <= known + LEFT_OUT_WINDOW_MS
    );
    return [{ vm, replica, at, afterMs: known - at, isUnseen }];
  });
}

/** Replicas of which a line tells that they leave. */
function listLeaving(line: string): string[] {
  const changed = LEAVING_LINE.exec(line)?.[1];
  if (changed !== undefined) return [changed];
  return FIRST_LIST_LINE.exec(line)?.[1]?.replaceAll('"', "").split(",") ?? [];
}

function computeQuantiles(learnt: readonly Learnt[]): AtSizeReport["learnt"] {
  const times = learnt.map(({ afterMs }) => afterMs).toSorted((a, b) => a - b);
  const getQuantile = (share: number) =>
    Math.round(times[Math.floor(share * (times.length - 1))] ?? 0);
  return {
    count: times.length,
    median: getQuantile(0.5),
    p999: getQuantile(0.999),
    max: getQuantile(1),
  };
}

function buildLateVm(
  { vm, replica, at, afterMs }: Learnt,
): AtSizeReport["lateVms"][number] {
  const log = vm.readLog().filter((line) =>
    STATE_LINE.test(line) && isBetween(line, at, at + afterMs)
  );
  return { vm: vm.name, replica, afterMs, log: log.slice(-LOG_LINES) };
}

function buildLateArrival(
  fleet: FleetAtSize,
  arrival: ArrivalAfterLeaving,
): LateArrival {
  const { requestId, replica, at, afterMs } = arrival;
  const name = requestId.split("~")[0]!;
  const vm = fleet.vms.find((each) => each.name === name)!;
  const log = vm.readLog().filter((line) =>
    line.includes(requestId) ||
    line.includes(`event=replica_changed replica=${replica} `) ||
    STATE_LINE.test(line) && isBetween(line, at - afterMs, at)
  );
  return {
    ...arrival,
    vm: name,
    isInTouch: fleet.isInTouch(vm, at),
    log: log.slice(-LOG_LINES),
  };
}

function computeUnderstated(
  fleet: FleetAtSize,
): AtSizeReport["understated"] {
  const times = fleet.vms.flatMap((vm) =>
    vm.readLog().flatMap((line) => {
      const [, lagMs, ageMs] = LAG_LINE.exec(line) ?? [];
      return lagMs === undefined || !fleet.isInTouch(vm, readTime(line))
        ? []
        : [Number(lagMs) - Number(ageMs)];
    })
  ).filter((ms) => ms > 0);
  return { count: times.length, max: Math.max(0, ...times) };
}

function countEvents(vms: readonly SoakVm[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const line of vms.flatMap((vm) => vm.readLog())) {
    const event = /event=(\S+)/.exec(line)?.[1];
    if (event !== undefined) counts[event] = (counts[event] ?? 0) + 1;
  }
  return counts;
}

function isBetween(line: string, from: number, to: number): boolean {
  const time = readTime(line);
  return time >= from - LOG_MARGIN_MS && time <= to + LOG_MARGIN_MS;
}

/** Time of day of a log line. */
function readTime(line: string): number {
  return Date.parse(/time=(\S+)/.exec(line)?.[1] ?? "");
}
