/**
 * Guards against an engine that unloads a model it has just loaded, and against
 * two VMs that alternately load different versions on it. A pool's engine
 * controller is stopped (SIGSTOP) with a command due; the list then selects
 * another controller, which loads another version, and the old one resumes with
 * its planned command and the outdated list. Engines of some pools ignore the
 * fencing number and would execute the late command.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, inject, it } from "vitest";
import { computeRendezvousOrder } from "../../../src/process/rendezvous.ts";
import { toId, type VmId } from "../../../src/ids.ts";
import { ProcessFleet, waitUntil } from "../../support/process_fleet.ts";

const PAUSE_MS = 4_000;
const AFTER_WAKING_MS = 6_000;
/** A new controller waits 15 s before it commands engines without fencing. */
const NEXT_CONTROLLER_MS = 40_000;
const CONTROLLER_KEY = "orders:engines";

let fleet: ProcessFleet | undefined;

afterEach(() => fleet?.close());

for (const fencing of ["checked", "ignored"] as const) {
  it(`a resumed controller sends no late command where fencing is ${fencing}`, async () => {
    fleet = await ProcessFleet.create({
      program: inject("daemonProgram"),
      vms: 4,
      engines: 1,
      engine: { fencing, loadModelMs: 100 },
      records: { engines: 1, fencing },
    });
    const { core } = fleet.engines[0]!;
    const listLoads = () =>
      core.listCommands().filter(({ command }) => command.action === "load");
    const vms = fleet.vms.map(({ id }) => toId<VmId>(id));
    const [controllerId] = computeRendezvousOrder(CONTROLLER_KEY, vms);
    const controller = fleet.getVm(controllerId!);
    // Past that wait, so that the controller's next round would send a command.
    if (fencing === "ignored") await sleep(16_000);

    const second = fleet.announceRecords({ modelVersion: "2" });
    await waitUntil("the controller to apply the version", 10_000, async () => {
      const status = await controller.fetchStatus();
      return status.config_version >= second;
    });
    controller.stop();
    const before = listLoads().length;
    fleet.announceRecords({ modelVersion: "3" });
    const revision = fleet.announceStates({ [controller.id]: "leaving" });
    await sleep(PAUSE_MS);
    await waitUntil("the next controller's command", NEXT_CONTROLLER_MS, () => {
      return listLoads().some(({ command }) => command.version === "3");
    });

    controller.resume();
    await sleep(AFTER_WAKING_MS);
    // An engine that checks the fencing number refuses a late command. One that
    // ignores the number must not be sent any.
    const since = listLoads().slice(before)
      .filter(({ accepted }) => accepted || fencing === "ignored");
    expect(since.map(({ command }) => command.version)).toEqual(["3"]);
    expect(since[0]!.command.fencing).toBe(revision);
    const held = core.getLoad().models.map(({ version }) => version);
    expect(held).toContain("3");
    expect(held).not.toContain("2");
  });
}
