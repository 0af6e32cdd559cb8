/**
 * Guards against a request that waits forever although slots are free. One of a
 * service's two replicas is ejected; a non-idempotent request is granted the
 * other, which refuses the connection, so it is queued again for a replica that
 * has not failed it. Only the ejected replica is left, and ejected replicas are
 * probed with idempotent requests only. Without other work nothing probes it,
 * and as it counted as available, the request was not refused either.
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
const NON_IDEMPOTENT: Partial<AcquireCall> = {
  avoid: [SECOND],
  idempotent: false,
};
const UNSERVED_TIMEOUT_MS = 5_000;
const MAX_PROBE_MS = 60_000;

it("probes with any request where no other replica can serve it", async () => {
  const harness = await createOwnerWithEjectedReplica();
  const nonIdempotent = buildCall("reminder", {
    ...NON_IDEMPOTENT,
    holdMs: 60_000,
  });
  harness.acquire(nonIdempotent);
  await harness.clock.run(UNSERVED_TIMEOUT_MS);
  expect(harness.leases.get(nonIdempotent.ticket)?.upstream).toBe(FIRST);
});

it("refuses within seconds where the only replica is not due for a probe", async () => {
  const harness = await createOwnerWithEjectedReplica();
  // Each failed probe increases the delay before the next one.
  for (let probes = 0; probes < 3; probes++) {
    const probe = buildCall("lookup");
    await harness.clock.run(MAX_PROBE_MS);
    harness.acquire(probe);
    await harness.clock.run(1);
    expect(harness.leases.get(probe.ticket)?.upstream).toBe(FIRST);
    harness.release(probe, { state: "failed" });
  }
  const nonIdempotent = buildCall("reminder", {
    ...NON_IDEMPOTENT,
    holdMs: 60_000,
  });
  harness.acquire(nonIdempotent);
  await harness.clock.run(UNSERVED_TIMEOUT_MS);
  expect(harness.refused.get(nonIdempotent.ticket)).toBe("no_upstream");
});

it("does not probe with a non-idempotent request otherwise", async () => {
  const harness = await createOwnerWithEjectedReplica();
  await harness.clock.run(UNSERVED_TIMEOUT_MS);
  const nonIdempotent = buildCall("reminder", { idempotent: false });
  harness.acquire(nonIdempotent);
  await harness.clock.run(1);
  expect(harness.leases.get(nonIdempotent.ticket)?.upstream).toBe(SECOND);
});

/** An owner of two replicas, the first of them ejected after failures. */
async function createOwnerWithEjectedReplica(): Promise<OwnerHarness> {
  const harness = await createOwnerHarness({
    classes: [buildClass("lookup"), buildClass("reminder")],
    replicas: 2,
  });
  for (let failures = 0; failures < 2; failures++) {
    const call = buildCall("lookup", { avoid: [SECOND] });
    harness.acquire(call);
    await harness.clock.run(1);
    harness.release(call, { state: "failed" });
  }
  await harness.clock.run(1_100);
  return harness;
}
