/**
 * Symptom: in the first seconds of a fresh fleet, requests with a short target
 * are refused as `deadline_passed` though every upstream idles.
 *
 * Sequence: all VMs start, each says that it is ready, callers send look-ups.
 *
 * Cause: the owners of the shards are new and grant nothing until they have
 * settled, which takes longer than the whole target of such a request.
 *
 * @module
 */
import { afterEach, expect, inject, it } from "vitest";
import { sendLookup } from "../../support/process_calls.ts";
import { ProcessFleet } from "../../support/process_fleet.ts";

let fleet: ProcessFleet | undefined;

afterEach(() => fleet?.close());

it("serves a look-up as soon as the fleet says that it is ready", async () => {
  fleet = await ProcessFleet.create({
    program: inject("daemonProgram"),
    vms: 4,
  });
  const ended = await Promise.all(
    fleet.vms.map((vm, index) => sendLookup(vm.port, `ready-${index}`)),
  );
  expect(ended.map(({ outcome }) => outcome.kind)).toEqual(
    ended.map(() => "answered"),
  );
});
