/**
 * Symptom: an engine unloads the model that was just loaded, or two VMs load
 * different versions on it by turns.
 *
 * Sequence: the VM that gives a pool's orders is stopped (SIGSTOP) with an
 * order due; the list names another giver and the records another version; the
 * new giver loads it; the old one is continued.
 *
 * Cause: the woken process still holds the order that it had planned and the
 * list that named it. Engines of some pools ignore the fencing number and
 * would carry the late order out.
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
/** The quiet time for engines that ignore the number is 15 s. */
const NEXT_GIVER_MS = 40_000;
const ORDERS_KEY = "orders:engines";

let fleet: ProcessFleet | undefined;

afterEach(() => fleet?.close());

for (const fencing of ["checked", "ignored"] as const) {
  it(`a paused giver wakes without orders where fencing is ${fencing}`, async () => {
    fleet = await ProcessFleet.create({
      program: inject("daemonProgram"),
      vms: 4,
      engines: 1,
      engine: { fencing, loadModelMs: 100 },
      records: { engines: 1, fencing },
    });
    const { core } = fleet.engines[0]!;
    const listOrders = () =>
      core.listCommands().filter(({ command: order }) =>
        order.action === "load"
      );
    const vms = fleet.vms.map(({ id }) => toId<VmId>(id));
    const [giverId] = computeRendezvousOrder(ORDERS_KEY, vms);
    const giver = fleet.getVm(giverId!);
    // Past the quiet time, so that the giver's next round would order.
    if (fencing === "ignored") await sleep(16_000);

    const second = fleet.announceRecords({ modelVersion: "2" });
    await waitUntil("the giver to know the version", 10_000, async () => {
      const status = await giver.fetchStatus();
      return status.config_version >= second;
    });
    giver.stop();
    const before = listOrders().length;
    fleet.announceRecords({ modelVersion: "3" });
    const revision = fleet.announceStates({ [giver.id]: "leaving" });
    await sleep(PAUSE_MS);
    await waitUntil("the next giver's order", NEXT_GIVER_MS, () => {
      return listOrders().some(({ command: order }) => order.version === "3");
    });

    giver.resume();
    await sleep(AFTER_WAKING_MS);
    // An engine that checks the number may still be sent a late order; it
    // refuses it. One that ignores the number must not be sent any.
    const since = listOrders().slice(before)
      .filter(({ accepted }) => accepted || fencing === "ignored");
    expect(since.map(({ command: order }) => order.version)).toEqual(["3"]);
    expect(since[0]!.command.fencing).toBe(revision);
    const held = core.getLoad().models.map(({ version }) => version);
    expect(held).toContain("3");
    expect(held).not.toContain("2");
  });
}
