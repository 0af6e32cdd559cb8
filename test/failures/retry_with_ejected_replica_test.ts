/**
 * Symptom: a reminder waited for good at the head of an empty queue, with free
 * slots beside it; its caller never heard anything.
 *
 * Sequence: of a service's two replicas, one failed and was ejected. A reminder
 * was granted the other, which refused the connection; nothing was sent, so the
 * reminder came back to the queue to be tried on a replica that had not failed
 * it. No other work came.
 *
 * Cause: only the ejected replica could serve it, ejected replicas are given
 * work that may be repeated alone, as a probe, and a reminder may not be. The
 * replica that nobody could probe counted as one that serves, so the reminder
 * was not refused either.
 */
import { expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import type { AcquireCall } from "../../src/process/peer_api.ts";
import {
  buildCall,
  buildClass,
  createOwnerHarness,
  type OwnerHarness,
} from "../process/scheduler/fixtures.ts";

const FIRST = toId<VmId>("upstream-0");
const SECOND = toId<VmId>("upstream-1");
const ONCE: Partial<AcquireCall> = { avoid: [SECOND], idempotent: false };
const UNSERVED_MS = 5_000;
const MAX_PROBE_MS = 60_000;

it("probes with any work where nothing in service could serve it", async () => {
  const bench = await createEjected();
  const once = buildCall("reminder", { ...ONCE, holdMs: 60_000 });
  bench.acquire(once);
  await bench.clock.run(UNSERVED_MS);
  expect(bench.leases.get(once.ticket)?.upstream).toBe(FIRST);
});

it("refuses in seconds what only a replica not due for a probe serves", async () => {
  const bench = await createEjected();
  // Each probe that fails makes the next one wait longer than the last.
  for (let probes = 0; probes < 3; probes++) {
    const probe = buildCall("lookup");
    await bench.clock.run(MAX_PROBE_MS);
    bench.acquire(probe);
    await bench.clock.run(1);
    expect(bench.leases.get(probe.ticket)?.upstream).toBe(FIRST);
    bench.release(probe, { state: "failed" });
  }
  const once = buildCall("reminder", { ...ONCE, holdMs: 60_000 });
  bench.acquire(once);
  await bench.clock.run(UNSERVED_MS);
  expect(bench.refused.get(once.ticket)).toBe("no_upstream");
});

it("does not probe with work that is not to be repeated otherwise", async () => {
  const bench = await createEjected();
  await bench.clock.run(UNSERVED_MS);
  const once = buildCall("reminder", { idempotent: false });
  bench.acquire(once);
  await bench.clock.run(1);
  expect(bench.leases.get(once.ticket)?.upstream).toBe(SECOND);
});

/** An owner of two replicas, the first of them ejected for its failures. */
async function createEjected(): Promise<OwnerHarness> {
  const bench = await createOwnerHarness({
    classes: [buildClass("lookup"), buildClass("reminder")],
    replicas: 2,
  });
  for (let failures = 0; failures < 2; failures++) {
    const call = buildCall("lookup", { avoid: [SECOND] });
    bench.acquire(call);
    await bench.clock.run(1);
    bench.release(call, { state: "failed" });
  }
  await bench.clock.run(1_100);
  return bench;
}
