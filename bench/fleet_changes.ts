/**
 * Measures how long changes take to be known everywhere, in virtual time:
 * versions, dead VMs, drains, upstreams that leave, and false suspicion.
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

/** Milliseconds of virtual time. */
export interface Spread {
  p50: number;
  p99: number;
  worst: number;
  runs: number;
}

/** How a fleet's change is measured. */
export interface ChangeOptions {
  vms: number;
  runs: number;
  seed: number;
}

/** From publication to in force on the last VM; `readers` reach the service. */
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

/** From the end of an owner's process to another owner at every VM. */
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

/** From silence of a VM on every link until all others hold it for dead. */
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

/** From the start of a VM's drain until all others know. */
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

/** From an upstream's own word at one VM until none gives it new work. */
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

/** From the start of a VM with an empty memory until it can serve. */
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

/** Wrong suspicions and deaths of VMs that are well, an hour and VM. */
export async function collectFalseDeaths(
  options: { vms: number; seed: number; lossRate: number; ms: number },
): Promise<{ deathsPerVmHour: number }> {
  const fleet = await startFleet(options.vms, options.seed);
  fleet.network.setLossRate(options.lossRate);
  let deaths = 0;
  const ids = fleet.list().map((vm) => vm.listed.id);
  for (const { membership } of fleet.list()) {
    let known = 0;
    membership.onChange(() => {
      const now = ids.filter((id) => !membership.isReachable(id)).length;
      if (now > known) deaths += now - known;
      known = now;
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
