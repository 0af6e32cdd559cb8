import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { LocalRates } from "../../../src/process/scheduler/local_rates.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const UPSTREAM = toId<VmId>("upstream-0");
const STEP_MS = 50;
const LIMIT_PER_S = 4;

function note(rates: LocalRates, requestsPerS: number | undefined): void {
  rates.noteSignals(UPSTREAM, {
    requestsPerS,
    isLeaving: false,
    backOffMs: 0,
    unreadable: [],
  });
}

// Guards against each VM using the whole limit while no owner answers.
it("a VM without an owner keeps to its part of a limit", async () => {
  const clock = VirtualClock.create();
  const rates = LocalRates.create(clock);
  note(rates, LIMIT_PER_S);
  let sent = 0;
  for (let at = 0; at < 20_000; at += STEP_MS) {
    if (rates.hasRoom(UPSTREAM, 1 / 8)) {
      rates.addSent(UPSTREAM);
      sent += 1;
    }
    await clock.run(STEP_MS);
  }
  expect(sent).toBeGreaterThanOrEqual(9);
  expect(sent).toBeLessThanOrEqual(11);
});

it("a limit ends with an answer that names none, or with its upstream", () => {
  const rates = LocalRates.create(VirtualClock.create());
  const isOpen = () => rates.hasRoom(UPSTREAM, 1);
  note(rates, LIMIT_PER_S);
  rates.addSent(UPSTREAM);
  note(rates, undefined);
  expect(isOpen()).toBe(false);
  note(rates, Infinity);
  expect(isOpen()).toBe(true);
  note(rates, LIMIT_PER_S);
  rates.addSent(UPSTREAM);
  rates.dropUnlisted(() => false);
  expect(isOpen()).toBe(true);
});
