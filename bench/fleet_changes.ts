/**
 * Measures how long changes take to reach all VMs, in virtual time:
 * configuration versions, dead VMs, drains and leaving upstreams. Also measures
 * false suspicions.
 *
 * @module
 */
import { toId } from "../src/ids.ts";
import type { PoolName, VmId } from "../src/ids.ts";
import type { ListedVm } from "../src/version/index.ts";
import { startVm, VirtualFleet } from "../standin/virtual_fleet.ts";
import { buildExampleRecords } from "./support/fleet_records.ts";

const START_MS = 15_000;
const BETWEEN_CHANGES_MS = 2_137;
const LIMIT_MS = 120_000;
const VERSION_STEP_MS = 1;
const POOL = toId<PoolName>("pool");
const UPSTREAM = toId<VmId>("up-0");
const KEY = "pool/0";

/** Quantiles in milliseconds of virtual time. */
export interface Spread {
  p50: number;
  p99: number;
  worst: number;
  runs: number;
}

/** Options of a measurement. */
export interface ChangeOptions {
  vms: number;
  runs: number;
  seed: number;
}

/**
 * Time from publication until the version is active on all VMs; only
 * `readers` VMs reach the service.
 */
export async function collectVersionTimes(
  options: ChangeOptions & { readers?: number },
): Promise<Spread> {
  const fleet = await startFleet(options.vms, options.seed);
  if (options.readers !== undefined) {
    const ids = fleet.list().map((vm) => vm.listed.id);
    fleet.service.reachableBy = new Set(ids.slice(0, options.readers));
    await fleet.clock.run(START_MS);
  }
  const times: number[] = [];
  for (let version = 2; version <= options.runs + 1; version += 1) {
    fleet.service.putVersion(version, buildExampleRecords(version));
    times.push(
      await fleet.runUntil(
        () => fleet.listVersions().every((one) => one === version),
        LIMIT_MS,
        VERSION_STEP_MS,
      ),
    );
    await fleet.clock.run(BETWEEN_CHANGES_MS);
  }
  stopAll(fleet);
  return computeSpread(times);
}

/** Time from the end of an owner's process until all VMs use another owner. */
export function collectOwnerLostTimes(options: ChangeOptions): Promise<Spread> {
  return collectTimes(options, async (fleet) => {
    const owner = fleet.list()[0]!.membership.findOwner(KEY)!;
    fleet.stopVm(owner);
    return await fleet.runUntil(
      () => fleet.list().every((vm) => vm.membership.findOwner(KEY) !== owner),
      LIMIT_MS,
    );
  });
}

/** Time from the isolation of a VM until all others consider it unreachable. */
export function collectSilenceTimes(options: ChangeOptions): Promise<Spread> {
  return collectTimes(options, async (fleet) => {
    const [silent, ...others] = fleet.list();
    const id = silent!.listed.id;
    fleet.network.cutBetween([id], others.map((vm) => vm.listed.id));
    return await fleet.runUntil(
      () => others.every((vm) => !vm.membership.isReachable(id)),
      LIMIT_MS,
    );
  });
}

/** Time from the start of a VM's drain until all VMs have been notified. */
export function collectDrainTimes(options: ChangeOptions): Promise<Spread> {
  return collectTimes(options, async (fleet) => {
    const [draining] = fleet.list();
    draining!.prober.startDraining();
    const id = draining!.listed.id;
    return await fleet.runUntil(
      () => fleet.list().every((vm) => vm.membership.isDraining(id)),
      LIMIT_MS,
    );
  });
}

/** Time from an upstream's notice at one VM until no VM sends it new work. */
export function collectLeavingTimes(
  options: ChangeOptions,
): Promise<Spread> {
  return collectTimes(options, async (fleet) => {
    fleet.list()[0]!.membership.noteUpstreamLeaving(UPSTREAM);
    return await fleet.runUntil(
      () =>
        fleet.list().every((vm) =>
          vm.membership.listUpstreams(POOL).length === 0
        ),
      LIMIT_MS,
    );
  });
}

/**
 * Time from the restart of a VM without state until it is ready, with the
 * service down.
 */
export function collectRestartTimes(options: ChangeOptions): Promise<Spread> {
  return collectTimes(options, async (fleet) => {
    fleet.service.isDown = true;
    const { listed } = fleet.list()[0]!;
    fleet.stopVm(listed.id);
    const restarted = fleet.addVm(listed);
    startVm(restarted);
    return await fleet.runUntil(() => restarted.follower.isReady(), LIMIT_MS);
  });
}

/** Rate at which healthy VMs are considered unreachable, per VM and hour. */
export async function collectFalseDeaths(
  options: { vms: number; seed: number; lossRate: number; ms: number },
): Promise<{ deathsPerVmHour: number }> {
  const fleet = await startFleet(options.vms, options.seed);
  fleet.network.setLossRate(options.lossRate);
  let deaths = 0;
  const ids = fleet.list().map((vm) => vm.listed.id);
  for (const { membership } of fleet.list()) {
    let unreachableCount = 0;
    membership.onChange(() => {
      const now = ids.filter((id) => !membership.isReachable(id)).length;
      if (now > unreachableCount) deaths += now - unreachableCount;
      unreachableCount = now;
    });
  }
  await fleet.clock.run(options.ms);
  stopAll(fleet);
  const vmHours = options.vms * options.ms / 3_600_000;
  return { deathsPerVmHour: deaths / vmHours };
}

async function collectTimes(
  options: ChangeOptions,
  measure: (fleet: VirtualFleet) => Promise<number>,
): Promise<Spread> {
  const times: number[] = [];
  for (let run = 0; run < options.runs; run += 1) {
    const fleet = await startFleet(options.vms, options.seed + run);
    times.push(await measure(fleet));
    stopAll(fleet);
  }
  return computeSpread(times);
}

async function startFleet(count: number, seed: number): Promise<VirtualFleet> {
  const fleet = VirtualFleet.create({ count, seed });
  const listed = fleet.list().map((vm) => vm.listed);
  fleet.service.putVersion(1, buildExampleRecords(1));
  fleet.service.putList(2, [...listed, buildUpstream(listed[0]!)]);
  fleet.startAll();
  await fleet.clock.run(START_MS);
  return fleet;
}

function buildUpstream(like: ListedVm): ListedVm {
  return { ...like, id: UPSTREAM, role: "upstream", peerPort: 0, pool: POOL };
}

function stopAll(fleet: VirtualFleet): void {
  for (const vm of fleet.list()) fleet.stopVm(vm.listed.id);
}

function computeSpread(times: number[]): Spread {
  const sorted = [...times].sort((left, right) => left - right);
  const at = (share: number) =>
    Math.round(sorted[Math.ceil(share * sorted.length) - 1]!);
  return { p50: at(0.5), p99: at(0.99), worst: at(1), runs: sorted.length };
}
