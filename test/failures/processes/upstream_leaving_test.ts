/**
 * Guards against new work for an upstream that is about to stop, which would be
 * lost with it. Under steady load through every VM, an engine is marked as
 * leaving on the published list or in its own load report. Each VM acts on its
 * own copy of the list, and only the shard's owner fetches load reports: the
 * notice must reach all VMs within a few seconds.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, inject, it } from "vitest";
import {
  type CallResult,
  fetchRequestId,
  listRuns,
  sendChat,
} from "../../support/process_calls.ts";
import { ProcessFleet, waitUntil } from "../../support/process_fleet.ts";

/** "After a few seconds". */
const NOTICED_MS = 5_000;
const WATCHED_MS = 8_000;
const SEND_INTERVAL_MS = 40;
const EVENT_MS = 20_000;

let fleet: ProcessFleet | undefined;

afterEach(() => fleet?.close());

for (const source of ["the list", "its load report"] as const) {
  it(`an engine marked as leaving by ${source} gets no new work`, async () => {
    fleet = await ProcessFleet.create({
      program: inject("daemonProgram"),
      vms: 4,
      engine: { baseMs: 10, perRunningMs: 0 },
    });
    const { core } = fleet.engines[0]!;
    const { vms } = fleet;
    const sent: Promise<CallResult>[] = [];
    let isOver = false;
    const load = (async () => {
      for (let index = 0; !isOver; index++) {
        const { port } = vms[index % vms.length]!;
        sent.push(sendChat(port, { tokens: 5, name: `load-${index}` }));
        await sleep(SEND_INTERVAL_MS);
      }
    })();
    // Some of them continue while the engine leaves: they must not be cut.
    const ids = await Promise.all(vms.map((vm) => fetchRequestId(vm.port)));
    const long = vms.map((vm, index) =>
      sendChat(vm.port, {
        tokens: 500,
        name: `long-${index}`,
        requestId: ids[index]!,
      })
    );
    await waitUntil("a long stream on the engine", EVENT_MS, () => {
      return ids.some((id) => core.listRuns(id).length > 0);
    });

    const leftAt = performance.now();
    if (source === "the list") fleet.announceStates({ "engine-1": "leaving" });
    else core.setLeaving(true);
    let count = core.listRequestIds().length;
    let lastNewAt = leftAt;
    while (performance.now() - leftAt < WATCHED_MS) {
      const now = core.listRequestIds().length;
      if (now > count) lastNewAt = performance.now();
      count = now;
      await sleep(10);
    }
    isOver = true;
    await load;
    expect(lastNewAt - leftAt).toBeLessThan(NOTICED_MS);
    for (const one of await Promise.all([...sent, ...long])) {
      const found = JSON.stringify(one.result);
      expect(one.outcome, found).toMatchObject({ kind: "answered" });
    }
    for (const id of ids) {
      expect(listRuns(fleet.engines, id)).toHaveLength(1);
    }
  });
}
