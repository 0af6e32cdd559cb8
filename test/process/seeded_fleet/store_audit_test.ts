import { expect, it } from "vitest";
import { StoreAudit } from "../../../src/process/seeded_fleet/store_audit.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const WATCH_MS = 1_000;
const MINUTE_MS = 60_000;
/** For control at a VM of the target size, in a second. */
const CONTROL_BYTES = 21_000;

// Guards against a VM that reads everything with each watch of a store whose
// revision grows without a change.
it.each([1_000, 10_000, 30_000, 750_000])(
  "reads after incomplete answers are bounded for a state of %i bytes",
  async (sizeBytes) => {
    const clock = VirtualClock.create();
    const audit = StoreAudit.create(clock);
    audit.noteSize(sizeBytes);
    let reads = 0;
    expect(audit.takeIncompleteRead()).toBe(true);
    for (let ms = 0; ms < 10 * MINUTE_MS; ms += WATCH_MS) {
      if (audit.takeIncompleteRead()) reads += 1;
      await clock.run(WATCH_MS);
    }
    const seconds = 10 * MINUTE_MS / 1_000;
    expect(reads * sizeBytes / seconds).toBeLessThan(CONTROL_BYTES);
    expect(reads).toBeGreaterThan(0);
  },
);

// Guards against reads of the whole state that take more than a VM may receive
// for control, and against a small fleet that learns of a lost change too late.
it.each([[1_000, 1_000], [10_000, 1_000], [30_000, 3_000], [750_000, 75_000]])(
  "a state of %i bytes is read every %i ms",
  async (sizeBytes, intervalMs) => {
    const clock = VirtualClock.create();
    const audit = StoreAudit.create(clock);
    audit.noteBegun();
    audit.noteSize(sizeBytes);
    await clock.run(intervalMs - 1);
    expect(audit.checkDue(true)).toBe(false);
    await clock.run(1);
    expect(audit.checkDue(true)).toBe(true);
  },
);

// Guards against many VMs that read everything at one moment, since each of them
// takes itself for the auditor for a while.
it("a VM that becomes the auditor waits an interval", async () => {
  const clock = VirtualClock.create();
  const audit = StoreAudit.create(clock);
  await clock.run(MINUTE_MS);
  expect(audit.checkDue(false)).toBe(false);
  expect(audit.checkDue(true)).toBe(false);
  await clock.run(WATCH_MS);
  expect(audit.checkDue(true)).toBe(true);
});
