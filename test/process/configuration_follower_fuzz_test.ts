/**
 * Followers under random publications and faults. A VM's version must never
 * decrease and must be one that was validly published. Once the faults end, all
 * VMs must have the same version and accept a new one.
 *
 * @module
 */
import fc from "fast-check";
import { expect, it } from "vitest";
import { startVm, VirtualFleet } from "../../standin/virtual_fleet.ts";
import type { FleetVm } from "../../standin/virtual_fleet.ts";
import { buildBadRecords, buildRecords } from "../support/fleet_records.ts";
import { isEverywhere, toVmId } from "../support/fleet_steps.ts";

const VMS = 4;
const RUNS = 60;
const LAST_VERSION = 1_000;
const RECOVERY_MS = 30_000;

/** Versions that may be active, according to what was published. */
interface Model {
  valid: Set<number>;
}

/** A fleet, and the versions that were active in each incarnation of a VM. */
interface Real {
  fleet: VirtualFleet;
  incarnations: number[][];
}

type Step = (model: Model, real: Real) => Promise<void> | void;

class StepCommand implements fc.AsyncCommand<Model, Real> {
  readonly #text: string;
  readonly #step: Step;

  constructor(text: string, step: Step) {
    this.#text = text;
    this.#step = step;
  }

  check(): boolean {
    return true;
  }

  async run(model: Model, real: Real): Promise<void> {
    await this.#step(model, real);
    await real.fleet.clock.run(200);
    checkIncarnations(model, real);
  }

  toString(): string {
    return this.#text;
  }
}

function checkIncarnations(model: Model, real: Real): void {
  for (const versions of real.incarnations) {
    expect(versions).toEqual([...versions].sort((a, b) => a - b));
    for (const version of versions) expect(model.valid).toContain(version);
  }
}

function recordIncarnation(real: Real, vm: FleetVm): void {
  const versions: number[] = [];
  real.incarnations.push(versions);
  vm.follower.onSnapshot((snapshot) => versions.push(snapshot.version));
  startVm(vm);
}

const VM = fc.integer({ min: 0, max: VMS - 1 });

const publish = fc.tuple(
  fc.integer({ min: 1, max: 9 }),
  fc.integer({ min: 1, max: 2 }),
  fc.boolean(),
).map(([version, variant, isGood]) =>
  new StepCommand(
    `publish ${version} variant ${variant} ${isGood ? "good" : "bad"}`,
    (model, { fleet }) => {
      if (isGood) model.valid.add(version);
      const build = isGood ? buildRecords : buildBadRecords;
      fleet.service.putVersion(version, build(variant));
    },
  )
);

const outage = fc.boolean().map((isDown) =>
  new StepCommand(`service ${isDown ? "down" : "up"}`, (_, { fleet }) => {
    fleet.service.isDown = isDown;
  })
);

const cut = fc.tuple(VM, VM).map(([a, b]) =>
  new StepCommand(`cut ${a} ${b}`, (_, { fleet }) => {
    if (a !== b) fleet.network.cut(toVmId(a), toVmId(b));
  })
);

const heal = fc.constant(
  new StepCommand("heal", (_, { fleet }) => fleet.network.heal()),
);

const pause = fc.tuple(VM, fc.boolean()).map(([vm, isPaused]) =>
  new StepCommand(`${isPaused ? "pause" : "resume"} ${vm}`, (_, { fleet }) => {
    if (isPaused) fleet.network.pause(toVmId(vm));
    else fleet.network.resume(toVmId(vm));
  })
);

const restart = VM.map((index) =>
  new StepCommand(`restart ${index}`, (_, real) => {
    const { fleet } = real;
    const { listed } = fleet.vms.get(toVmId(index))!;
    fleet.stopVm(listed.id);
    recordIncarnation(real, fleet.addVm(listed));
  })
);

const wait = fc.integer({ min: 1, max: 20 }).map((seconds) =>
  new StepCommand(`wait ${seconds} s`, async (_, { fleet }) => {
    await fleet.clock.run(seconds * 1_000);
  })
);

const noise = fc.tuple(
  fc.constantFrom(0, 0.2),
  fc.constantFrom(0, 0.3),
).map(([loss, duplicates]) =>
  new StepCommand(`loss ${loss}, duplicates ${duplicates}`, (_, { fleet }) => {
    fleet.network.setLossRate(loss);
    fleet.network.setDuplicateRate(duplicates);
  })
);

const allCommands = fc.commands(
  [publish, publish, outage, cut, heal, pause, restart, wait, noise],
  { maxCommands: 25 },
);

it("versions never decrease and converge once the faults end", async () => {
  await fc.assert(
    fc.asyncProperty(allCommands, fc.nat(), async (commands, seed) => {
      const fleet = VirtualFleet.create({ count: VMS, dataCentres: 2, seed });
      const real: Real = { fleet, incarnations: [] };
      const model: Model = { valid: new Set() };
      for (const vm of fleet.list()) recordIncarnation(real, vm);
      await fc.asyncModelRun(() => ({ model, real }), commands);
      await endFaults(fleet);
      const states = fleet.list().map((vm) => {
        const { configVersion, configDigest } = vm.follower.getVersions();
        return `${configVersion} ${configDigest}`;
      });
      expect(new Set(states).size).toBe(1);
      model.valid.add(LAST_VERSION);
      fleet.service.putVersion(LAST_VERSION, buildRecords(1));
      await fleet.runUntil(() => isEverywhere(fleet, LAST_VERSION), 5_000);
      checkIncarnations(model, real);
      for (const vm of fleet.list()) fleet.stopVm(vm.listed.id);
    }),
    { numRuns: RUNS, seed: 21 },
  );
});

async function endFaults(fleet: VirtualFleet): Promise<void> {
  fleet.network.heal();
  fleet.network.setLossRate(0);
  fleet.network.setDuplicateRate(0);
  fleet.service.isDown = false;
  for (let vm = 0; vm < VMS; vm += 1) fleet.network.resume(toVmId(vm));
  await fleet.clock.run(RECOVERY_MS);
}
