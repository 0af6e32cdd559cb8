/**
 * Faults of VMs, links, upstreams and the platform as events.
 *
 * @module
 */
import fc from "fast-check";
import { match } from "ts-pattern";
import type { EngineCore } from "../../standin/engine_core.ts";
import type { ServiceFault } from "../../standin/service_core.ts";
import type { ListedVm } from "../../src/version/index.ts";
import type { Disturbance } from "./disturbances.ts";
import type { RequestShape } from "./fuzz_request.ts";
import type { FuzzVm } from "./fuzz_vm.ts";
import type { FuzzWorld } from "./fuzz_world.ts";
import type { FuzzService } from "./fuzz_upstreams.ts";

/** The begin or end of a fault. */
export type FaultEvent =
  | { kind: "engine"; index: number; fault: EngineFault }
  | { kind: "plain_service"; index: number; fault: PlainServiceFault }
  | { kind: "vm"; index: number; fault: VmFault }
  | { kind: "link"; from: number; to: number; fault: LinkFault }
  | { kind: "platform"; fault: PlatformFault }
  | { kind: "listed"; index: number; fault: ListFault };

const ENGINE_FAULTS = [
  "crash",
  "crash_soon",
  "start_again",
  "stall",
  "silence",
  "silent_next",
  "refuse",
  "slow",
  "fast",
  "late_reports",
  "no_reports",
  "reports",
  "leaving",
  "staying",
] as const;
type EngineFault = typeof ENGINE_FAULTS[number];

const PLAIN_SERVICE_FAULTS = [
  "not_started",
  "cut_before",
  "cut_after",
  "hang",
  "failed",
  "slow",
  "fast",
  "down",
  "up",
] as const;
type PlainServiceFault = typeof PLAIN_SERVICE_FAULTS[number];

const VM_FAULTS = [
  "pause",
  "resume",
  "pause_past_leases",
  "kill",
  "replace",
  "drain",
] as const;
type VmFault = typeof VM_FAULTS[number];

const LINK_FAULTS = [
  "cut",
  "heal",
  "heal_all",
  "slow",
  "loss",
  "duplicates",
  "clean",
] as const;
type LinkFault = typeof LINK_FAULTS[number];

const PLATFORM_FAULTS = [
  "new_version",
  "two_versions",
  "invalid_version",
  "old_version",
  "down",
  "up",
] as const;
type PlatformFault = typeof PLATFORM_FAULTS[number];

const LIST_FAULTS = ["leaving", "live", "same"] as const;
type ListFault = typeof LIST_FAULTS[number];

const SLOW_FACTOR = 8;
const SLOW_WORK_MS = 1_200;
const STALL_MS = 4_000;
const LATE_REPORTS_MS = 6_000;
const CRASH_TOKENS = 7;
const SLOW_LINK_MS = 300;
const PAST_LEASES_MS = 6_500;
/** Times within a call to another VM, which takes 1 ms with its answer. */
const BEFORE_PAUSE_MS = [0.2, 0.6, 0.9];
const REQUESTS_BEFORE_PAUSE = 6;
const SHORT_SHAPE: RequestShape = {
  classIndex: 0,
  workspaceIndex: 0,
  tokens: 9,
  promptTokens: 0,
  streamed: true,
  once: false,
};
const LOSS_RATE = 0.2;
const DUPLICATE_RATE = 0.5;

const INDEX = fc.nat({ max: 9 });

/** Arbitrary faults. */
export const FAULTS: fc.Arbitrary<FaultEvent>[] = [
  fc.record({
    kind: fc.constant("engine" as const),
    index: INDEX,
    fault: fc.constantFrom(...ENGINE_FAULTS),
  }),
  fc.record({
    kind: fc.constant("plain_service" as const),
    index: INDEX,
    fault: fc.constantFrom(...PLAIN_SERVICE_FAULTS),
  }),
  fc.record({
    kind: fc.constant("vm" as const),
    index: INDEX,
    fault: fc.constantFrom(...VM_FAULTS),
  }),
  fc.record({
    kind: fc.constant("link" as const),
    from: INDEX,
    to: INDEX,
    fault: fc.constantFrom(...LINK_FAULTS),
  }),
  fc.record({
    kind: fc.constant("platform" as const),
    fault: fc.constantFrom(...PLATFORM_FAULTS),
  }),
  fc.record({
    kind: fc.constant("listed" as const),
    index: INDEX,
    fault: fc.constantFrom(...LIST_FAULTS),
  }),
];

/** Faults of upstreams alone: VMs, links and clocks are undisturbed. */
export const UPSTREAM_FAULTS: fc.Arbitrary<FaultEvent>[] = [
  FAULTS[0]!,
  FAULTS[1]!,
  FAULTS[5]!,
];

/** Begins or ends one fault. */
export async function applyFault(
  event: FaultEvent,
  world: FuzzWorld,
): Promise<void> {
  await match(event)
    .with({ kind: "engine" }, ({ index, fault }) => {
      applyEngineFault(world, index, fault);
    })
    .with({ kind: "plain_service" }, ({ index, fault }) => {
      applyPlainServiceFault(world, index, fault);
    })
    .with({ kind: "vm" }, ({ index, fault }) => {
      return applyVmFault(world, index, fault);
    })
    .with({ kind: "link" }, (link) => applyLinkFault(world, link))
    .with({ kind: "platform" }, ({ fault }) => {
      return applyPlatformFault(world, fault);
    })
    .with({ kind: "listed" }, ({ index, fault }) => {
      applyListFault(world, index, fault);
    })
    .exhaustive();
}

/** Ends every fault and resumes paused VMs. */
export function removeAllFaults(world: FuzzWorld): void {
  world.upstreams.removeFaults();
  world.network.heal();
  world.network.setLossRate(0);
  world.network.setDuplicateRate(0);
  setAllDelays(world, 0.5);
  world.service.isDown = false;
  world.putList(world.list.vms.map((vm) => ({ ...vm, state: "live" })));
  world.putVersion(Math.max(...world.versions.keys()));
  for (const vm of world.listLiveVms()) resumeVm(world, vm.id);
  world.leavingSince.clear();
  world.disturbances.clear();
  for (const kind of ENDED_DISTURBANCES) world.disturbances.note(kind);
}

const ENDED_DISTURBANCES: readonly Disturbance[] = [
  "upstream",
  "list",
  "version",
];

function applyEngineFault(
  world: FuzzWorld,
  index: number,
  fault: EngineFault,
): void {
  const { engines, unreported } = world.upstreams;
  const [id, core] = [...engines][index % engines.size]!;
  world.disturbances.note("upstream");
  if (fault === "crash" || fault === "no_reports" || fault === "late_reports") {
    world.leavingSince.delete(id);
  }
  if (fault !== "start_again" && fault !== "fast" && fault !== "reports") {
    world.disturbances.add("upstream");
  }
  match(fault)
    .with("crash", () => core.setCrashAfter(0))
    .with("crash_soon", () => core.setCrashAfter(CRASH_TOKENS))
    .with("start_again", () => restartEngine(core))
    .with("stall", () => core.setStall(STALL_MS))
    .with("silence", () => core.silenceRunningRequests())
    .with("silent_next", () => core.silenceNextRequests(1))
    .with("refuse", () => core.refuseNextRequests(2))
    .with("slow", () => setSpeed(core, SLOW_FACTOR))
    .with("fast", () => setSpeed(core, 1))
    .with("late_reports", () => {
      core.options.loadLagMs = LATE_REPORTS_MS;
    })
    .with("no_reports", () => unreported.add(id))
    .with("reports", () => unreported.delete(id))
    .with("leaving", () => {
      const isReported = !core.isCrashed && !unreported.has(id) &&
        core.options.loadLagMs < LATE_REPORTS_MS;
      if (isReported) noteLeaving(world, id);
      core.setLeaving(true);
    })
    .with("staying", () => {
      core.setLeaving(false);
      world.leavingSince.delete(id);
    })
    .exhaustive();
}

function restartEngine(core: EngineCore): void {
  if (core.isCrashed) core.restart();
}

function setSpeed(core: EngineCore, factor: number): void {
  core.options.speedFactor = factor;
}

function noteLeaving(world: FuzzWorld, id: ListedVm["id"]): void {
  if (world.leavingSince.has(id)) return;
  world.leavingSince.set(id, world.clock.now());
}

function applyPlainServiceFault(
  world: FuzzWorld,
  index: number,
  fault: PlainServiceFault,
): void {
  const { services } = world.upstreams;
  const service = [...services.values()][index % services.size]!;
  if (fault === "fast" || fault === "up") world.disturbances.note("upstream");
  else world.disturbances.add("upstream");
  match(fault)
    .with("slow", () => {
      service.workMs = SLOW_WORK_MS;
    })
    .with("fast", () => {
      service.workMs = 20;
    })
    .with("down", () => {
      service.isDown = true;
    })
    .with("up", () => {
      service.isDown = false;
    })
    .otherwise((next) => addServiceFault(service, next));
}

function addServiceFault(service: FuzzService, fault: ServiceFault): void {
  service.faults.push(fault);
}

async function applyVmFault(
  world: FuzzWorld,
  index: number,
  fault: VmFault,
): Promise<void> {
  const entries = world.listEntries();
  const listed = entries[index % entries.length]!;
  const vm = world.findVm(listed.id);
  if (fault === "replace") {
    if (vm !== undefined) endVm(world, listed.id);
    world.startVm(listed);
    return;
  }
  if (vm === undefined) return;
  await match(fault)
    .with("pause", () => pauseVm(world, vm))
    .with("pause_past_leases", () => pausePastLeases(world, vm, index))
    .with("resume", () => resumeVm(world, vm.id))
    .with("kill", () => endVm(world, vm.id))
    .with("drain", async () => {
      if (!vm.isUp) return;
      world.disturbances.note("drain");
      void vm.runtime.startDraining();
      await world.run(1);
    })
    .exhaustive();
}

/** Pauses the VM between a request's call for a slot and its answer. */
async function pausePastLeases(
  world: FuzzWorld,
  vm: FuzzVm,
  index: number,
): Promise<void> {
  if (!vm.isUp) return;
  const shape = { ...SHORT_SHAPE, classIndex: index };
  for (let request = 0; request < REQUESTS_BEFORE_PAUSE; request++) {
    world.send(vm, world.buildRequest(shape));
    await world.run(BEFORE_PAUSE_MS[index % BEFORE_PAUSE_MS.length]!);
  }
  pauseVm(world, vm);
  await world.run(PAST_LEASES_MS);
  resumeVm(world, vm.id);
}

function pauseVm(world: FuzzWorld, vm: FuzzVm): void {
  if (vm.isPaused) return;
  vm.pause();
  world.disturbances.add("paused");
}

function resumeVm(world: FuzzWorld, id: ListedVm["id"]): void {
  const vm = world.findVm(id);
  if (vm === undefined || !vm.isPaused) return;
  vm.resume();
  world.disturbances.remove("paused");
}

function endVm(world: FuzzWorld, id: ListedVm["id"]): void {
  const vm = world.findVm(id)!;
  if (vm.isPaused) world.disturbances.remove("paused");
  vm.destroy();
  world.disturbances.note("killed");
}

function applyLinkFault(
  world: FuzzWorld,
  link: Extract<FaultEvent, { kind: "link" }>,
): void {
  const entries = world.listEntries();
  const from = entries[link.from % entries.length]!.id;
  const to = entries[link.to % entries.length]!.id;
  const { network, disturbances } = world;
  match(link.fault)
    .with("cut", () => {
      if (from === to) return;
      network.cut(from, to);
      disturbances.add("link");
    })
    .with("heal", () => {
      network.heal(from, to);
      disturbances.note("link");
    })
    .with("heal_all", () => {
      network.heal();
      disturbances.note("link");
    })
    .with("slow", () => {
      network.setDelay(from, to, SLOW_LINK_MS);
      disturbances.add("link");
    })
    .with("loss", () => {
      network.setLossRate(LOSS_RATE);
      disturbances.add("loss");
    })
    .with("duplicates", () => network.setDuplicateRate(DUPLICATE_RATE))
    .with("clean", () => {
      network.setLossRate(0);
      network.setDuplicateRate(0);
      setAllDelays(world, 0.5);
      disturbances.note("loss");
    })
    .exhaustive();
}

function setAllDelays(world: FuzzWorld, ms: number): void {
  const entries = world.listEntries();
  for (const from of entries) {
    for (const to of entries) world.network.setDelay(from.id, to.id, ms);
  }
}

async function applyPlatformFault(
  world: FuzzWorld,
  fault: PlatformFault,
): Promise<void> {
  const highest = Math.max(...world.versions.keys());
  await match(fault)
    .with("new_version", () => {
      world.disturbances.note("version");
      world.putVersion(highest + 1);
    })
    .with("two_versions", () => putTwoVersions(world, highest))
    .with("invalid_version", () => world.putVersion(highest + 1, false))
    .with("old_version", () => world.putVersion(Math.max(1, highest - 1)))
    .with("down", () => {
      world.service.isDown = true;
      world.disturbances.add("service");
    })
    .with("up", () => {
      world.service.isDown = false;
      world.disturbances.remove("service");
    })
    .exhaustive();
}

/** Publishes two versions, so that answers with the first may be late. */
async function putTwoVersions(world: FuzzWorld, highest: number) {
  world.disturbances.add("link");
  const entries = world.listEntries();
  for (const from of entries) {
    for (const to of entries) {
      const ms = world.random.nextInt(SLOW_LINK_MS);
      world.network.setDelay(from.id, to.id, ms);
    }
  }
  world.putVersion(highest + 1);
  await world.run(world.random.nextInt(2 * SLOW_LINK_MS));
  world.putVersion(highest + 2);
}

/** Changes an upstream's state on the list, or only the list's revision. */
function applyListFault(
  world: FuzzWorld,
  index: number,
  fault: ListFault,
): void {
  const upstreams = world.list.vms.filter(({ role }) => role === "upstream");
  const chosen = upstreams[index % upstreams.length]!;
  world.disturbances.note("list");
  const isLeaving = fault === "leaving";
  if (isLeaving) noteLeaving(world, chosen.id);
  if (fault === "live") world.leavingSince.delete(chosen.id);
  world.putList(world.list.vms.map((vm) => {
    if (fault === "same" || vm.id !== chosen.id) return vm;
    return { ...vm, state: isLeaving ? "leaving" : "live" };
  }));
}
