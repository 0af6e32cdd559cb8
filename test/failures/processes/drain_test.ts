/**
 * Guards against a draining VM that cuts streams, loses or reorders queued
 * requests, or never exits. A VM that owns a shard's queue is drained, by
 * SIGTERM or by the operator's call, with long streams in flight and requests
 * of other VMs waiting. It must finish its streams, hand over the queue to the
 * next owner with the waiters' ages, and keep serving until the TTL of its
 * address has expired at the callers.
 *
 * @module
 */
import { afterEach, expect, inject, it } from "vitest";
import { type CallResult, sendChat } from "../../support/process_calls.ts";
import { ProcessFleet, waitUntil } from "../../support/process_fleet.ts";

const ENTRIES_TTL_MS = 2_000;
const GRACE_MS = 30_000;
const EVENT_MS = 20_000;
const ENTRY_REMOVAL_MS = 5_000;
const WAITERS = 3;

let fleet: ProcessFleet | undefined;

afterEach(() => fleet?.close());

function checkAnswered(ended: CallResult): void {
  const found = JSON.stringify(ended.result);
  expect(ended.outcome, found).toMatchObject({ kind: "answered" });
}

for (const trigger of ["SIGTERM", "the operator"] as const) {
  it(`a VM drained by ${trigger} finishes its work and hands over its queue`, async () => {
    fleet = await ProcessFleet.create({
      program: inject("daemonProgram"),
      vms: 4,
      engines: 1,
      engine: { baseMs: 20, perRunningMs: 0 },
      records: { engineSlots: 2, engines: 1 },
      entriesTtlMs: ENTRIES_TTL_MS,
      graceMs: GRACE_MS,
    });
    const { core } = fleet.engines[0]!;
    const leaving = await fleet.findOwner("engines");
    const others = fleet.vms.filter((vm) => vm !== leaving);
    // One slot becomes free well before the other, so that the waiters run one
    // after another and complete in the order of the queue.
    const streams = [300, 500].map((tokens) =>
      sendChat(leaving.port, { tokens, name: `stream-${tokens}` })
    );
    await waitUntil("the streams", EVENT_MS, () => core.running === 2);

    const order: string[] = [];
    const waiters: Promise<void>[] = [];
    const addWaiter = (name: string, port: number) => {
      waiters.push(
        sendChat(port, { tokens: 20, name }).then((ended) => {
          checkAnswered(ended);
          order.push(name);
        }),
      );
    };
    for (let index = 0; index < WAITERS; index++) {
      addWaiter(`waiter-${index}`, others[index % others.length]!.port);
      await waitUntil(`waiter ${index} in the queue`, EVENT_MS, async () => {
        const { shards } = await leaving.fetchStatus();
        const shard = shards.find(({ shard }) => shard.startsWith("engines"))!;
        const counts = Object.values(shard.waiting_by_rank);
        return counts.reduce((sum, count) => sum + count, 0) > index;
      });
    }

    const startedAt = performance.now();
    if (trigger === "SIGTERM") leaving.drain();
    else await leaving.startDrain();
    await waitUntil("the queue to be handed over", EVENT_MS, () => {
      return leaving.readLog().includes(
        `event=shard_handed_over shard=engines/0`,
      );
    });
    expect(leaving.readLog()).toMatch(
      /shard_handed_over shard=engines\/0 .*waiters=3/,
    );
    // A caller that received the address just before.
    addWaiter("kept-address", leaving.port);
    await waitUntil("entries without the VM", ENTRY_REMOVAL_MS, async () => {
      const answers = await Promise.all(
        others.map((vm) => vm.fetchEntries()),
      );
      return answers.flat().every(({ vm }) => vm !== leaving.id);
    });

    for (const one of await Promise.all(streams)) checkAnswered(one);
    await Promise.all(waiters);
    expect(order).toEqual([
      "waiter-0",
      "waiter-1",
      "waiter-2",
      "kept-address",
    ]);
    await waitUntil("the process to end", GRACE_MS, () => leaving.hasEnded);
    expect(performance.now() - startedAt).toBeLessThan(GRACE_MS);
    expect(leaving.exitCode).toBe(0);
    expect(leaving.readLog()).not.toContain("drain_cut");
    const runs = core.listRequestIds().flatMap((id) => [...core.listRuns(id)]);
    expect(runs.filter(({ end }) => end !== "stop")).toEqual([]);
  });
}
