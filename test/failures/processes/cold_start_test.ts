/**
 * Guards against a fresh fleet that refuses requests with a short target as
 * `deadline_passed` although every upstream is idle. New shard owners grant
 * nothing until they have settled, which takes longer than the whole target of
 * such a request.
 *
 * @module
 */
import { afterEach, expect, inject, it } from "vitest";
import { sendLookup } from "../../support/process_calls.ts";
import { ProcessFleet } from "../../support/process_fleet.ts";

let fleet: ProcessFleet | undefined;

afterEach(() => fleet?.close());

it("serves a look-up as soon as the fleet reports ready", async () => {
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
